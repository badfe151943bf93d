/** Callers in the drill: trainers that run one step each, and an app. */

import {randomUUID} from 'node:crypto';
import {request} from 'undici';
import {TrainerClient} from '@radishyoke/client/trainer_client';
import {HEADERS} from '@radishyoke/shared/header';
import {toStepId, toTenantId} from '@radishyoke/shared/ids';
import {measureStaleness, StepRequest} from '@radishyoke/shared/rollout';
import {sleep} from './drill_vm.js';
import {DrillDeployment, MODEL} from './drill_deployment.js';

const GROUPS = 4;
const SAMPLES_PER_GROUP = 8;
export const SAMPLES = GROUPS * SAMPLES_PER_GROUP;
const MAX_STALENESS = 1;
const MAX_TOKENS = 400;

/** Outcome of one step as its trainer observed it. */
export interface TrainerResult {
  readonly step: string;
  readonly durationMs: number;
  readonly lost: number;
  readonly doubled: number;
  readonly overStale: number;
  readonly shortfalls: number;
  readonly reconnects: number;
  readonly error?: string;
}

/** Runs one step until it is complete or `signal` aborts it. */
export async function runTrainer(
  deployment: DrillDeployment,
  tenant: string,
  signal: AbortSignal,
): Promise<TrainerResult> {
  const step = toStepId(`step-${randomUUID()}`);
  const origins = rotate(deployment.listOrigins(), tenant.length);
  const client = new TrainerClient({origins, tenant: toTenantId(tenant)});
  const received = new Map<string, number>();
  const shortfalls = new Set<string>();
  let overStale = 0;
  const startMs = Date.now();
  const result = await client.runStep({
    step,
    req: createStep(deployment.weightVersion),
    readWeightVersion: () => deployment.weightVersion,
    onRollout: rollout => {
      received.set(rollout.id, (received.get(rollout.id) ?? 0) + 1);
      const staleness = measureStaleness(
        rollout.spans,
        deployment.weightVersion,
      );
      if (staleness > MAX_STALENESS) overStale++;
    },
    onShortfall: id => shortfalls.add(id),
    signal,
  });
  const durationMs = Date.now() - startMs;
  await client.close();
  return {
    step,
    durationMs,
    lost: SAMPLES - received.size - shortfalls.size,
    doubled: [...received.values()].filter(times => times > 1).length,
    overStale,
    shortfalls: shortfalls.size,
    reconnects: result.ok ? result.value.reconnects : 0,
    ...(!result.ok && {error: `${result.error.kind}: ${result.error.detail}`}),
  };
}

function createStep(weightVersion: number): StepRequest {
  return {
    model: MODEL,
    weightVersion,
    maxStaleness: MAX_STALENESS,
    timeoutMs: 60_000,
    groups: Array.from({length: GROUPS}, (_, group) => ({
      prompt: `puzzle ${group} of ${randomUUID()}`,
      samples: SAMPLES_PER_GROUP,
      maxTokens: MAX_TOKENS,
    })),
  };
}

/** Outcomes of the app's calls. */
export interface AppResult {
  readonly calls: number;
  /** Calls whose connection broke after the request was sent. */
  readonly cutOff: number;
  /** Orders that ran more than once. */
  readonly doubled: number;
  /** Orders that a service ran although the response said that they had not run. */
  readonly falseRefusals: number;
  /** Calls without a successful response after all retries. */
  readonly failed: number;
  /** The distinct errors of calls whose outcome is unknown or that were cut off. */
  readonly failures: readonly string[];
}

const CALL_INTERVAL_MS = 40;
const CALLS_PER_ORDER = 4;
const MAX_TRIES = 40;
const RETRY_MS = 100;
const CALL_TIMEOUT_MS = 12_000;

type CallOutcome = 'done' | 'not_run' | 'cut_off' | 'unknown';

/** App that sends calls at a fixed rate, load-balanced over the VMs, until stopped. */
export class DrillApp {
  private readonly outcomes = new Map<string, CallOutcome>();
  private readonly openCalls = new Set<Promise<void>>();
  private readonly failures = new Set<string>();
  private attemptCount = 0;
  private isRunning = true;

  constructor(private readonly deployment: DrillDeployment) {
    void this.run();
  }

  async stop(): Promise<AppResult> {
    this.isRunning = false;
    await Promise.all(this.openCalls);
    const calls = [...this.outcomes];
    const count = (outcome: CallOutcome) =>
      calls.filter(([, found]) => found === outcome).length;
    const countRuns = (id: string) =>
      this.deployment.standIns.services
        .map(service => service.countCalls(id))
        .reduce((a, b) => a + b, 0);
    const orders = calls.filter(([id]) => id.startsWith('order-'));
    return {
      calls: calls.length,
      cutOff: count('cut_off'),
      doubled: orders.filter(([id]) => countRuns(id) > 1).length,
      falseRefusals: orders.filter(
        ([id, outcome]) => outcome === 'not_run' && countRuns(id) > 0,
      ).length,
      failed: calls.length - count('done'),
      failures: [...this.failures],
    };
  }

  private async run(): Promise<void> {
    for (let i = 0; this.isRunning; i++) {
      const pendingCall =
        i % CALLS_PER_ORDER === 0 ? this.placeOrder() : this.readLesson();
      this.openCalls.add(pendingCall);
      void pendingCall.then(() => this.openCalls.delete(pendingCall));
      await sleep(CALL_INTERVAL_MS);
    }
  }

  private placeOrder(): Promise<void> {
    return this.call('POST', '/orders', `order-${randomUUID()}`);
  }

  private readLesson(): Promise<void> {
    return this.call('GET', '/lessons/1', `look-${randomUUID()}`);
  }

  /** Retries only calls that certainly have not run, as callers should. */
  private async call(
    method: 'GET' | 'POST',
    path: string,
    id: string,
  ): Promise<void> {
    let outcome: CallOutcome = 'not_run';
    for (let i = 0; i < MAX_TRIES && outcome === 'not_run'; i++) {
      if (i > 0) await sleep(RETRY_MS);
      outcome = await this.callOnce(method, path, id);
    }
    this.outcomes.set(id, outcome);
  }

  private async callOnce(
    method: 'GET' | 'POST',
    path: string,
    id: string,
  ): Promise<CallOutcome> {
    const origin = this.chooseOrigin();
    if (!origin) return 'not_run';
    try {
      const res = await request(`${origin}${path}`, {
        method,
        headers: {
          [HEADERS.tenant]: 'lesson-app',
          [HEADERS.requestId]: id,
        },
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS,
      });
      await res.body.dump();
      if (res.statusCode < 300) return 'done';
      if (res.headers[HEADERS.ran] === 'no') return 'not_run';
      this.failures.add(
        `${method} ${res.statusCode} ${res.headers[HEADERS.error]}`,
      );
      return 'unknown';
    } catch (err) {
      const {code, message} = err as {code?: string; message: string};
      if (code === 'ECONNREFUSED') return 'not_run';
      this.failures.add(`${method} ${code ?? message}`);
      return 'cut_off';
    }
  }

  private chooseOrigin(): string | undefined {
    const ready = this.deployment.vms.filter(vm => vm.inRotation);
    return ready[this.attemptCount++ % Math.max(1, ready.length)]?.origin;
  }
}

function rotate<T>(items: readonly T[], by: number): readonly T[] {
  const start = by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
