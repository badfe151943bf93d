/**
 * The demonstration, in one process: two VMs and stand-ins on loopback, three trainers
 * that run a few steps each and publish new weights, and an app that sends requests.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {writeFile} from 'node:fs/promises';
import {build as buildHistogram, Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {MetricRegistry} from '@radishyoke/core/metrics/metrics';
import {TrainerClient} from '@radishyoke/client/trainer_client';
import {HEADERS} from '@radishyoke/shared/header';
import {toStepId, toTenantId} from '@radishyoke/shared/ids';
import type {StepRequest} from '@radishyoke/shared/rollout';
import {auditDeliveries, Delivery} from './delivery_audit.js';
import {DemoDeployment, demoModel} from './demo_deployment.js';

const stepsPerTrainer = 3;
const groupsPerStep = 8;
const samplesPerGroup = 8;
const maxStaleness = 2;
/** Simulated training time between a step and the publication of weights. */
const trainingMs = 400;
const appCallIntervalMs = 10;
const progressIntervalMs = 1000;
const firstVersion = 1;

/** A step from its trainer's view; times in ms since the start of the run. */
interface StepTimeline {
  readonly tenant: string;
  readonly step: string;
  readonly openedMs: number;
  readonly arrivalsMs: readonly number[];
}

/** One row of the final table, for one client account. */
interface TenantFigures {
  readonly tenant: string;
  readonly requested: number;
  readonly answered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/**
 * Runs the demonstration and returns the exit code. The last line on stdout is a JSON
 * object; it is also written to `savePath`, together with step timelines and metrics.
 */
export async function runDemo(savePath?: string): Promise<number> {
  const demo = new Demo(savePath);
  try {
    return await demo.run();
  } finally {
    await demo.close();
  }
}

class Demo {
  private readonly deployment = new DemoDeployment();
  private version = firstVersion;
  private requested = 0;
  private idleMs = 0;
  private isTraining = true;
  private readonly deliveries: Delivery[] = [];
  private readonly appHistogram = createHistogram();
  private readonly stepHistograms = new Map<string, Histogram>();
  private appCalls = 0;
  private appFailures = 0;
  private readonly runStartedAtMs = performance.now();
  private readonly timelines: StepTimeline[] = [];
  private summary: Readonly<Record<string, unknown>> = {};

  constructor(private readonly savePath?: string) {}

  async run(): Promise<number> {
    await this.deployment.start();
    this.publishWeights();
    const progress = setInterval(
      () => this.printProgress(),
      progressIntervalMs,
    );
    const tenants = ['trainer-1', 'trainer-2', 'trainer-3'];
    const app = this.runApp();
    await Promise.all(tenants.map(tenant => this.runTrainer(tenant)));
    this.isTraining = false;
    await app;
    clearInterval(progress);
    const code = this.report(tenants);
    if (this.savePath) await this.save(this.savePath);
    return code;
  }

  private async save(path: string): Promise<void> {
    const merged = new MetricRegistry();
    for (const vm of this.deployment.vms)
      merged.merge(vm.metrics.registry.encode());
    const {timelines} = this;
    const run = {...this.summary, timelines, metrics: merged.encode()};
    await writeFile(path, `${JSON.stringify(run)}\n`);
  }

  async close(): Promise<void> {
    await this.deployment.close();
  }

  private publishWeights(): void {
    this.deployment.standIns.weightStore.publish(demoModel, this.version);
  }

  private async runTrainer(tenant: string): Promise<void> {
    const client = new TrainerClient({
      origins: this.deployment.origins,
      tenant: toTenantId(tenant),
    });
    const histogram = createHistogram();
    this.stepHistograms.set(tenant, histogram);
    for (let index = 1; index <= stepsPerTrainer; index++) {
      const req = this.createStep(tenant, index);
      this.requested += groupsPerStep * samplesPerGroup;
      const startedAtMs = performance.now();
      const arrivalsMs: number[] = [];
      const step = toStepId(`step-${index}`);
      const openedMs = startedAtMs - this.runStartedAtMs;
      this.timelines.push({tenant, step, openedMs, arrivalsMs});
      const result = await client.runStep({
        step,
        req,
        readWeightVersion: () => this.version,
        onRollout: rollout => {
          arrivalsMs.push(performance.now() - this.runStartedAtMs);
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
      this.publishWeights();
    }
    await client.close();
  }

  private createStep(tenant: string, index: number): StepRequest {
    return {
      model: demoModel,
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
    while (this.isTraining) {
      const origin =
        this.deployment.origins[this.appCalls % this.deployment.origins.length];
      const startedAtMs = performance.now();
      this.appCalls++;
      const res = await request(`${origin}/lessons/7`, {
        headers,
        dispatcher: http,
      });
      const body = await res.body.text();
      if (res.statusCode !== 200) this.recordAppFailure(res.statusCode, body);
      const tookMs = performance.now() - startedAtMs;
      this.appHistogram.recordValue(Math.round(tookMs * 1000));
      await sleep(appCallIntervalMs);
    }
    await http.close();
  }

  private recordAppFailure(status: number, body: string): void {
    this.appFailures++;
    console.error(`app call failed with ${status}: ${body}`);
  }

  private printProgress(): void {
    console.log(
      `${this.deliveries.length} of ${this.requested} rollouts requested so far, weights ${this.version}, app calls ${this.appCalls}`,
    );
  }

  private report(tenants: readonly string[]): number {
    const figures = auditDeliveries(
      this.requested,
      this.deliveries,
      this.deployment.standIns.engines,
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
    console.log('duration of steps (trainers) and of calls (app):');
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
    const violations =
      lost + doubled + overStale + mislabelled + this.appFailures;
    return violations === 0 ? 0 : 1;
  }
}

function createHistogram(): Histogram {
  return buildHistogram({numberOfSignificantValueDigits: 3});
}
