/** Stand-ins for all external systems of one deployment, for demonstrations and drills. */

import {FakeEngine, startFakeEngine} from './fake_engine.js';
import {FakeLog, startFakeLog} from './fake_log.js';
import {FakeService, startFakeService} from './fake_service.js';
import {FakeVmList, startFakeVmList} from './fake_vm_list.js';
import {FakeWeightStore, startFakeWeightStore} from './fake_weight_store.js';
import type {EngineOptions} from './engine_options.js';
import {HEADERS} from '@radishyoke/shared/header';
import type {VmInfo} from '@radishyoke/shared/endpoint';
import {
  DataCentreId,
  toDataCentreId,
  toEndpointId,
  toIncarnationId,
  toTeamId,
  toVmId,
} from '@radishyoke/shared/ids';
import type {ConfigRecord} from '@radishyoke/shared/log_record';

export interface StandInOptions {
  readonly model: string;
  readonly engineGroup: string;
  readonly serviceGroup: string;
  readonly engines: number;
  readonly services: number;
  readonly dataCentres: readonly string[];
  readonly engine?: Partial<EngineOptions>;
  readonly serviceTimeMs?: number;
}

/** The running external systems of a deployment. */
export interface StandIns {
  readonly log: FakeLog;
  readonly vmList: FakeVmList;
  readonly weightStore: FakeWeightStore;
  readonly engines: ReadonlyMap<string, FakeEngine>;
  readonly services: ReadonlyMap<string, FakeService>;
  /** Adds an entry VM to the VM list, as the platform does. */
  putVm(vm: VmInfo): void;
  close(): Promise<void>;
}

/** Starts all stand-ins on free loopback ports and lists the endpoints in the VM list. */
export async function startStandIns(
  options: StandInOptions,
): Promise<StandIns> {
  const log = await startFakeLog();
  const vmList = await startFakeVmList();
  const weightStore = await startFakeWeightStore();
  const engines = new Map<string, FakeEngine>();
  const services = new Map<string, FakeService>();
  const pickDataCentre = (index: number): DataCentreId =>
    toDataCentreId(options.dataCentres[index % options.dataCentres.length]);
  for (let i = 0; i < options.engines; i++) {
    const engine = await startFakeEngine({
      ...options.engine,
      model: options.model,
      weightStoreAddress: weightStore.address,
    });
    const id = toEndpointId(`${options.engineGroup}-${i + 1}`);
    engines.set(id, engine);
    vmList.putEndpoint({
      id,
      kind: 'engine',
      address: engine.address,
      dataCentre: pickDataCentre(i),
      group: options.engineGroup,
      model: options.model,
      state: 'live',
      checksFencing: options.engine?.checksFencing ?? true,
    });
  }
  for (let i = 0; i < options.services; i++) {
    const service = await startFakeService({
      serviceTimeMs: options.serviceTimeMs,
      requestIdHeader: HEADERS.requestId,
    });
    const id = toEndpointId(`${options.serviceGroup}-${i + 1}`);
    services.set(id, service);
    vmList.putEndpoint({
      id,
      kind: 'service',
      address: service.address,
      dataCentre: pickDataCentre(i),
      group: options.serviceGroup,
      state: 'live',
      checksFencing: false,
    });
  }
  const all = [log, vmList, weightStore, ...engines.values()];
  return {
    log,
    vmList,
    weightStore,
    engines,
    services,
    putVm: vm => vmList.putVm(vm),
    close: async () => {
      await Promise.all([...all, ...services.values()].map(s => s.close()));
    },
  };
}

/** Appends a team's first configuration directly to the log. */
export function publishInitialConfig(
  standIns: StandIns,
  team: string,
  text: string,
): void {
  const record: ConfigRecord = {
    kind: 'config_published',
    stamp: {
      vm: toVmId('setup'),
      incarnation: toIncarnationId('setup'),
      seq: 1,
    },
    team: toTeamId(team),
    basedOn: -1,
    author: 'setup',
    text,
  };
  standIns.log.model.append('config', [record], Date.now());
}
