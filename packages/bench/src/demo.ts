/**
 * The main job in one process: two entry VMs with the stand-ins on loopback,
 * three trainers with a few steps each, an app beside them, and new weights.
 */

import {readFile, writeFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {build as buildHistogram, Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {MetricRegistry} from '@radishyoke/core/metrics';
import {TrainerClient} from '@radishyoke/client/trainer_client';
import {createLogger, Logger, silentLogger} from '@radishyoke/daemon/logger';
import {parseSettings, Settings} from '@radishyoke/daemon/settings';
import {Vm} from '@radishyoke/daemon/vm';
import {HEADERS} from '@radishyoke/shared/header';
import {toStepId, toTenantId, toVmId} from '@radishyoke/shared/ids';
import type {StepRequest} from '@radishyoke/shared/rollout';
import {auditDeliveries, Delivery} from './delivery_audit.js';
import {
  publishFirstRules,
  StandIns,
  startStandIns,
} from '@radishyoke/fakes/stand_ins';

const model = 'hint-tutor';
const team = 'kodkutu';
const dataCentres = ['gebze-a', 'gebze-b', 'kartal'];
const stepsPerTrainer = 3;
const groupsPerStep = 8;
const samplesPerGroup = 8;
const maxStaleness = 2;
/** What a trainer does with a step's samples before it publishes, ms. */
const trainingMs = 400;
const appPauseMs = 10;
const progressMs = 1000;
const readyPollMs = 50;
const heldCallerPorts = [7100, 7110];
const firstVersion = 1;

/** One line per tenant of the closing table. */
interface TenantFigures {
  readonly tenant: string;
  readonly requested: number;
  readonly answered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/**
 * Runs the demonstration; the last line on stdout is one JSON object. With
 * `savePath` that object goes there too, with the VMs' metrics for a report.
 */
export async function runDemo(savePath?: string): Promise<number> {
  const demo = new Demo([0, 0], savePath);
  try {
    return await demo.run();
  } finally {
    await demo.close();
  }
}

/** Keeps the same deployment open for requests by hand, until interrupted. */
export async function holdDemo(): Promise<void> {
  const demo = new Demo(heldCallerPorts);
  try {
    await demo.start();
    await new Promise(resolve => process.once('SIGINT', resolve));
  } finally {
    await demo.close();
  }
}

class Demo {
  private standIns!: StandIns;
  private vms: Vm[] = [];
  private origins: string[] = [];
  private version = firstVersion;
  private requested = 0;
  private idleMs = 0;
  private training = true;
  private readonly deliveries: Delivery[] = [];
  private readonly appHistogram = createHistogram();
  private readonly stepHistograms = new Map<string, Histogram>();
  private appCalls = 0;
  private appFailures = 0;
  private summary: Readonly<Record<string, unknown>> = {};

  /** `callerPorts`: one for each VM; 0 takes a free one. */
  constructor(
    private readonly callerPorts: readonly number[] = [0, 0],
    private readonly savePath?: string,
  ) {}

  async run(): Promise<number> {
    await this.start();
    const progress = setInterval(() => this.printProgress(), progressMs);
    const tenants = ['trainer-1', 'trainer-2', 'trainer-3'];
    const app = this.runApp();
    await Promise.all(tenants.map(tenant => this.runTrainer(tenant)));
    this.training = false;
    await app;
    clearInterval(progress);
    const code = this.report(tenants);
    if (this.savePath) await this.save(this.savePath);
    return code;
  }

  private async save(path: string): Promise<void> {
    const merged = new MetricRegistry();
    for (const vm of this.vms) merged.merge(vm.metrics.registry.encode());
    const run = {...this.summary, metrics: merged.encode()};
    await writeFile(path, `${JSON.stringify(run)}\n`);
  }

  async close(): Promise<void> {
    await Promise.all(this.vms.map(vm => vm.stop()));
    await this.standIns?.close();
  }

  async start(): Promise<void> {
    this.standIns = await startStandIns({
      model,
      engineGroup: 'tutors',
      serviceGroup: 'app',
      engines: 6,
      services: 3,
      dataCentres,
      engine: {
        length: {medianTokens: 60, sigma: 0.7},
        decodeBaseMs: 4,
        swapMs: 100,
        fetchMs: 100,
      },
      serviceTimeMs: 2,
    });
    this.standIns.weightStore.publish(model, this.version);
    const rules = await readExample('rules-kodkutu.ini');
    publishFirstRules(this.standIns, team, rules);
    const text = await readExample('settings.ini');
    for (const [index, dataCentre] of ['gebze-a', 'kartal'].entries()) {
      const port = this.callerPorts[index];
      await this.startVm(text, `entry-${index + 1}`, dataCentre, port);
    }
    await Promise.all(this.origins.map(waitUntilReady));
    console.log(`two VMs serve callers at ${this.origins.join(' and ')}`);
  }

  private async startVm(
    text: string,
    id: string,
    dataCentre: string,
    port: number,
  ): Promise<void> {
    const parsed = parseSettings(text, 'examples/settings.ini');
    if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
    const settings = this.adaptSettings(parsed.value, id, dataCentre, port);
    const vm = new Vm({
      settings,
      logger: createDemoLogger(id),
      seed: this.vms.length + 1,
    });
    const address = await vm.start();
    this.vms.push(vm);
    this.origins.push(`http://${address}`);
    this.standIns.putVm({
      id: toVmId(id),
      peerAddress: settings.vm.peerAddress,
      callerAddress: address,
      dataCentre: settings.vm.dataCentre,
      state: 'live',
    });
  }

  /** The example's settings with free ports and the stand-ins' addresses. */
  private adaptSettings(
    settings: Settings,
    id: string,
    dataCentre: string,
    port: number,
  ): Settings {
    const {log, vmList, weightStore} = this.standIns;
    return {
      ...settings,
      vm: {
        id: toVmId(id),
        dataCentre: dataCentre as Settings['vm']['dataCentre'],
        callerAddress: `127.0.0.1:${port}`,
        peerAddress: '127.0.0.1:0',
        adminAddress: '127.0.0.1:0',
      },
      platform: {
        ...settings.platform,
        log: log.address,
        vmList: vmList.address,
        weightStore: weightStore.address,
      },
      peers: {...settings.peers, seeds: []},
    };
  }

  private async runTrainer(tenant: string): Promise<void> {
    const client = new TrainerClient({
      origins: this.origins,
      tenant: toTenantId(tenant),
    });
    const histogram = createHistogram();
    this.stepHistograms.set(tenant, histogram);
    for (let index = 1; index <= stepsPerTrainer; index++) {
      const req = this.createStep(tenant, index);
      this.requested += groupsPerStep * samplesPerGroup;
      const startedAtMs = performance.now();
      const result = await client.runStep({
        step: toStepId(`step-${index}`),
        req,
        readWeightVersion: () => this.version,
        onRollout: rollout => {
          const trainerVersion = this.version;
          this.deliveries.push({tenant, rollout, trainerVersion, maxStaleness});
        },
      });
      const waitedMs = performance.now() - startedAtMs;
      this.idleMs += waitedMs;
      histogram.recordValue(Math.round(waitedMs));
      const outcome = result.ok ? 'whole' : result.error.kind;
      console.log(`${tenant} step-${index}: ${outcome}`);
      await sleep(trainingMs);
      this.version++;
      this.standIns.weightStore.publish(model, this.version);
    }
    await client.close();
  }

  private createStep(tenant: string, index: number): StepRequest {
    return {
      model,
      weightVersion: this.version,
      maxStaleness,
      timeoutMs: 60_000,
      groups: Array.from({length: groupsPerStep}, (_, group) => ({
        prompt: `${tenant} puzzle ${index}.${group}: ${'move turn '.repeat(40)}`,
        samples: samplesPerGroup,
        maxTokens: 400,
      })),
    };
  }

  private async runApp(): Promise<void> {
    const http = new Agent();
    const headers = {[HEADERS.tenant]: 'lesson-app'};
    while (this.training) {
      const origin = this.origins[this.appCalls % this.origins.length];
      const startedAtMs = performance.now();
      this.appCalls++;
      const res = await request(`${origin}/lessons/7`, {
        headers,
        dispatcher: http,
      });
      const body = await res.body.text();
      if (res.statusCode !== 200) this.noteAppFailure(res.statusCode, body);
      const tookMs = performance.now() - startedAtMs;
      this.appHistogram.recordValue(Math.round(tookMs * 1000));
      await sleep(appPauseMs);
    }
    await http.close();
  }

  private noteAppFailure(status: number, body: string): void {
    this.appFailures++;
    console.error(`app call failed with ${status}: ${body}`);
  }

  private printProgress(): void {
    console.log(
      `${this.deliveries.length} of ${this.requested} rollouts asked for so far, weights ${this.version}, app calls ${this.appCalls}`,
    );
  }

  private report(tenants: readonly string[]): number {
    const figures = auditDeliveries(
      this.requested,
      this.deliveries,
      this.standIns.engines,
    );
    const perStep = groupsPerStep * samplesPerGroup;
    const rows: TenantFigures[] = tenants.map(tenant => ({
      tenant,
      requested: stepsPerTrainer * perStep,
      answered: this.deliveries.filter(d => d.tenant === tenant).length,
      p50Ms: this.stepHistograms.get(tenant)!.getValueAtPercentile(50),
      p99Ms: this.stepHistograms.get(tenant)!.getValueAtPercentile(99),
    }));
    const appP99Ms = this.appHistogram.getValueAtPercentile(99) / 1000;
    rows.push({
      tenant: 'lesson-app',
      requested: this.appCalls,
      answered: this.appCalls - this.appFailures,
      p50Ms: this.appHistogram.getValueAtPercentile(50) / 1000,
      p99Ms: appP99Ms,
    });
    console.log('time of a step for trainers, of a call for the app:');
    console.table(rows);
    const {requested, delivered, lost, doubled, overStale} = figures;
    const {weightVersions, stalenessMax, mislabelled} = figures;
    this.summary = {
      requested,
      delivered,
      lost,
      doubled,
      overStale,
      weightVersions,
      trainerIdleMs: Math.round(this.idleMs),
      stalenessMax,
      appP99Ms,
      mislabelled,
      appFailures: this.appFailures,
    };
    console.log(JSON.stringify(this.summary));
    const broken = lost + doubled + overStale + mislabelled + this.appFailures;
    return broken === 0 ? 0 : 1;
  }
}

/** Logs of the VMs only on request, so that the last line stays the result. */
function createDemoLogger(vm: string): Logger {
  if (!process.env['RADISHYOKE_DEMO_LOG']) return silentLogger;
  return createLogger('info', {vm}, line => process.stderr.write(`${line}\n`));
}

function createHistogram(): Histogram {
  return buildHistogram({numberOfSignificantValueDigits: 3});
}

/** Waits as a balancer does before it sends callers to a VM. */
async function waitUntilReady(origin: string): Promise<void> {
  for (;;) {
    const res = await request(`${origin}/readyz`);
    await res.body.dump();
    if (res.statusCode === 200) return;
    await sleep(readyPollMs);
  }
}

async function readExample(name: string): Promise<string> {
  const url = new URL(`../../../examples/${name}`, import.meta.url);
  return readFile(fileURLToPath(url), 'utf8');
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
