/** The VMs of the drill and the stand-ins that they depend on. */

import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {request} from 'undici';
import {FakeEngine, startFakeEngine} from '@radishyoke/fakes/fake_engine';
import {FakeLog, startFakeLog} from '@radishyoke/fakes/fake_log';
import {FakeService, startFakeService} from '@radishyoke/fakes/fake_service';
import {FakeVmList, startFakeVmList} from '@radishyoke/fakes/fake_vm_list';
import {
  FakeWeightStore,
  startFakeWeightStore,
} from '@radishyoke/fakes/fake_weight_store';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import {HEADERS} from '@radishyoke/shared/header';
import {
  toDataCentreId,
  toEndpointId,
  toIncarnationId,
  toTeamId,
  toVmId,
} from '@radishyoke/shared/ids';
import type {
  LoggedRecord,
  PublishedConfig,
  StateRecord,
} from '@radishyoke/shared/log_record';
import {DrillVm, sleep} from './drill_vm.js';

export const MODEL = 'hint-tutor';
const VMS = 4;
const ENGINES = 3;
const SERVICES = 2;
const FIRST_VERSION = 1;
const VM_LIST_LAG_MS = 2000;
const POLL_MS = 50;
const PROBE_TIMEOUT_MS = 1000;

const RULES = `[config]
team = kodkutu

[rule.place-order]
when.tenant = lesson-app
when.method = POST
when.path_prefix = /orders
then.group = app
then.class = interactive
then.timeout = 10s
then.max_attempts = 1
then.idempotent = no

[rule.app]
when.tenant = lesson-app
then.group = app
then.class = interactive
then.timeout = 10s

[rule.rollouts]
when.class = rollout
when.model = ${MODEL}
then.group = tutors
then.class = rollout
then.timeout = 2m
then.max_staleness = 4
`;

interface DrillStandIns {
  readonly log: FakeLog;
  readonly vmList: FakeVmList;
  readonly weightStore: FakeWeightStore;
  readonly engines: readonly FakeEngine[];
  readonly services: readonly FakeService[];
}

export class DrillDeployment {
  /** Current weight version of the trainers. */
  weightVersion = FIRST_VERSION;
  private publicationCount = 0;

  private constructor(
    readonly standIns: DrillStandIns,
    readonly vms: readonly DrillVm[],
    private readonly endpoints: readonly EndpointInfo[],
  ) {}

  static async start(): Promise<DrillDeployment> {
    const standIns = await startStandIns();
    const endpoints = describeEndpoints(standIns);
    const directory = mkdtempSync(join(tmpdir(), 'radishyoke-drill-'));
    const platform = {
      log: standIns.log.address,
      vmList: standIns.vmList.address,
      weightStore: standIns.weightStore.address,
    };
    const vms = await Promise.all(
      Array.from({length: VMS}, (_, i) =>
        DrillVm.create(i, directory, platform),
      ),
    );
    standIns.vmList.update({vms: vms.map(vm => vm.info), endpoints});
    standIns.vmList.faults.set({kind: 'lag', lagMs: VM_LIST_LAG_MS});
    const deployment = new DrillDeployment(standIns, vms, endpoints);
    deployment.publishConfig(-1, 'first');
    return deployment;
  }

  async stop(): Promise<void> {
    await Promise.all(this.vms.map(vm => vm.kill()));
    const {log, vmList, weightStore, engines, services} = this.standIns;
    const all = [log, vmList, weightStore, ...engines, ...services];
    await Promise.all(all.map(standIn => standIn.close()));
  }

  listOrigins(): readonly string[] {
    return this.vms.map(vm => vm.origin);
  }

  /** Publishes the next weight version, as a trainer does. */
  publishWeights(): void {
    this.weightVersion++;
    this.standIns.weightStore.publish(MODEL, this.weightVersion);
  }

  /** Appends a configuration to the log as an operator would; returns its offset. */
  publishConfig(basedOn: number, author: string): number {
    const record: PublishedConfig = {
      kind: 'config_published',
      stamp: {
        vm: toVmId('operator'),
        incarnation: toIncarnationId(`publication-${++this.publicationCount}`),
        seq: 1,
      },
      team: toTeamId('kodkutu'),
      basedOn,
      author,
      text: RULES,
    };
    const answer = this.standIns.log.model.append(
      'config',
      [record],
      Date.now(),
    );
    if (answer.kind !== 'appended')
      throw new Error('the log refused the record');
    return answer.first;
  }

  /** Returns the configuration version that a VM applies, or -1 if it can't be read. */
  async readConfigVersion(vm: DrillVm): Promise<number> {
    try {
      const res = await request(`${vm.origin}/lessons/version`, {
        headers: {[HEADERS.tenant]: 'lesson-app'},
        headersTimeout: PROBE_TIMEOUT_MS,
        bodyTimeout: PROBE_TIMEOUT_MS,
      });
      await res.body.dump();
      return Number(res.headers[HEADERS.configVersion] ?? -1);
    } catch {
      return -1;
    }
  }

  /** Returns the seconds until all VMs apply `version` or later; gives up after 15 s. */
  async measureConfigSeconds(version: number): Promise<number> {
    const startMs = Date.now();
    await Promise.all(
      this.vms.map(async vm => {
        while ((await this.readConfigVersion(vm)) < version) {
          if (Date.now() - startMs > 15_000) return;
          await sleep(POLL_MS);
        }
      }),
    );
    return (Date.now() - startMs) / 1000;
  }

  /** Lists the claims on step leases in log order. */
  listStepClaims(): ReadonlyArray<{
    readonly lease: string;
    readonly vm: string;
    readonly timeMs: number;
  }> {
    const page = this.standIns.log.model.read('state', 0, 1e6, Date.now());
    if (page.kind !== 'records') return [];
    const records = page.records as ReadonlyArray<LoggedRecord<StateRecord>>;
    return records.flatMap(({timeMs, value}) =>
      value.kind === 'lease_claimed' && value.lease.startsWith('step:')
        ? [{lease: value.lease, vm: value.stamp.vm as string, timeMs}]
        : [],
    );
  }

  findVm(id: string): DrillVm | undefined {
    return this.vms.find(vm => vm.info.id === id);
  }

  /** Sets an engine's state in the VM list. */
  setEngineState(index: number, state: EndpointInfo['state']): void {
    this.standIns.vmList.putEndpoint({...this.endpoints[index], state});
  }
}

async function startStandIns(): Promise<DrillStandIns> {
  const weightStore = await startFakeWeightStore();
  weightStore.publish(MODEL, FIRST_VERSION);
  const engines = Array.from({length: ENGINES}, () =>
    startFakeEngine({
      model: MODEL,
      weightVersion: FIRST_VERSION,
      weightStoreAddress: weightStore.address,
      length: {medianTokens: 250, sigma: 0.5},
    }),
  );
  const services = Array.from({length: SERVICES}, () =>
    startFakeService({serviceTimeMs: 60, requestIdHeader: HEADERS.requestId}),
  );
  return {
    log: await startFakeLog(),
    vmList: await startFakeVmList(),
    weightStore,
    engines: await Promise.all(engines),
    services: await Promise.all(services),
  };
}

function describeEndpoints(standIns: DrillStandIns): readonly EndpointInfo[] {
  const common = {state: 'live', checksFencing: true} as const;
  const engines = standIns.engines.map(({address}, i): EndpointInfo => ({
    ...common,
    id: toEndpointId(`tutor-${i}`),
    kind: 'engine',
    address,
    dataCentre: toDataCentreId(i % 2 === 0 ? 'gebze-a' : 'kartal'),
    group: 'tutors',
    model: MODEL,
  }));
  const services = standIns.services.map(({address}, i): EndpointInfo => ({
    ...common,
    id: toEndpointId(`app-${i}`),
    kind: 'service',
    address,
    dataCentre: toDataCentreId('gebze-a'),
    group: 'app',
  }));
  return [...engines, ...services];
}
