/**
 * Measures the trainer's idle time caused by a log outage during a step, for three
 * policies of the step's owner. Runs the real log task on a fake clock; engines are
 * modelled as a fixed number of slots; each sample has a deterministic duration.
 */

import {DEFAULT_CLAIM_HORIZON_MS} from '@radishyoke/core/ledger/state_fold';
import {LogTask} from '@radishyoke/daemon/log/log_task';
import {DEFAULT_SESSION_TIMING} from '@radishyoke/daemon/log/session_tracker';
import {LogModel} from '@radishyoke/fakes/log_model';
import {
  toEndpointId,
  toIncarnationId,
  toStepId,
  toTenantId,
  toVmId,
} from '@radishyoke/shared/ids';
import FakeTimers from '@sinonjs/fake-timers';
import {MemoryLogClient} from './memory_log_client.js';

/** What the owner does while the log can't confirm its commits. */
export type OutagePolicy =
  /** Continues generating, but delivers only samples that the log confirmed. */
  | 'hold'
  /** Delivers at once and relies on the trainer to drop duplicates. */
  | 'trainer_cursor'
  /** Cancels running samples when its lease may have expired; restarts them later. */
  | 'stop';

export interface OutageCase {
  readonly policy: OutagePolicy;
  readonly outageFromMs: number;
  readonly outageMs: number;
}

export interface OutageResult extends OutageCase {
  /** Time from opening until the trainer has every sample, rounded to seconds. */
  readonly wholeS: number;
  /** Additional time compared with a run without outage, rounded to seconds. */
  readonly idleS: number;
  /** Samples delivered before the log confirmed them. */
  readonly unconfirmed: number;
  /** Generation time that was discarded, rounded to seconds. */
  readonly wastedS: number;
}

const SAMPLES = 512;
const SLOTS = 64;
const TICK_MS = 100;
const STEP_TIMEOUT_MS = 1_800_000;
const TENANT = toTenantId('tutor');
const STEP = toStepId('s1');
const LEASE = `step:${TENANT}/${STEP}`;

/** Returns the generation time: 8 to 24 s, and 60 s more for every fortieth sample. */
function getGenerationMs(sample: number): number {
  const mixed = (sample * 2654435761) % 16_000;
  return 8000 + mixed + (sample % 40 === 39 ? 60_000 : 0);
}

class SimulatedOwner {
  unconfirmed = 0;
  wastedMs = 0;
  private readonly queue = Array.from({length: SAMPLES}, (_, i) => i);
  private readonly running = new Map<number, number>();
  private readonly received = new Set<number>();
  private readonly confirmed = new Set<number>();

  constructor(
    private readonly log: LogTask,
    private readonly fencing: number,
    private readonly policy: OutagePolicy,
  ) {}

  get isDone(): boolean {
    return this.received.size === SAMPLES;
  }

  tick(nowMs: number): void {
    const holdsLease = this.log.holds({lease: LEASE, fencing: this.fencing});
    if (this.policy === 'stop' && !holdsLease) return this.cancelAll(nowMs);
    for (const [sample, startedAtMs] of this.running) {
      if (nowMs - startedAtMs < getGenerationMs(sample)) continue;
      this.running.delete(sample);
      void this.commit(sample);
    }
    while (this.running.size < SLOTS && this.queue.length > 0) {
      this.running.set(this.queue.shift()!, nowMs);
    }
  }

  private cancelAll(nowMs: number): void {
    for (const [sample, startedAtMs] of this.running) {
      this.wastedMs += nowMs - startedAtMs;
      this.queue.unshift(sample);
    }
    this.running.clear();
  }

  private async commit(sample: number): Promise<void> {
    if (this.policy === 'trainer_cursor') this.deliver(sample);
    const result = await this.log.append({
      kind: 'samples_committed',
      tenant: TENANT,
      step: STEP,
      fencing: this.fencing,
      samples: [
        {
          group: 0,
          sample,
          attempt: 1,
          endpoint: toEndpointId('e1'),
          spans: [{weightVersion: 1, tokens: 100}],
          digest: 'd',
        },
      ],
    });
    if (!result.ok) return;
    this.confirmed.add(sample);
    if (this.policy !== 'trainer_cursor') this.deliver(sample);
  }

  private deliver(sample: number): void {
    if (!this.confirmed.has(sample)) this.unconfirmed++;
    this.received.add(sample);
  }
}

/** Runs each case and, as its baseline, the same policy without an outage. */
export async function measureLogOutage(
  cases: readonly OutageCase[],
): Promise<readonly OutageResult[]> {
  const results: OutageResult[] = [];
  for (const outage of cases) {
    const calm = await runStep({...outage, outageMs: 0});
    const run = await runStep(outage);
    results.push({
      ...outage,
      wholeS: Math.round(run.elapsedMs / 1000),
      idleS: Math.round((run.elapsedMs - calm.elapsedMs) / 1000),
      unconfirmed: run.unconfirmed,
      wastedS: Math.round(run.wastedMs / 1000),
    });
  }
  return results;
}

async function runStep({policy, outageFromMs, outageMs}: OutageCase) {
  const clock = FakeTimers.install({now: 1_700_000_000_000});
  const client = new MemoryLogClient(new LogModel());
  const log = new LogTask(client, {
    vm: toVmId('a'),
    incarnation: toIncarnationId('i1'),
    session: DEFAULT_SESSION_TIMING,
    deploymentAppendsPerSecond: 300,
    claimHorizonMs: DEFAULT_CLAIM_HORIZON_MS,
    logRetentionMs: 3_600_000,
    checkConfig: () => undefined,
  });
  log.setLiveVms(13);
  log.start();
  try {
    const owner = await openStep(log, clock, policy);
    const startedAtMs = Date.now();
    let elapsedMs = 0;
    while (!owner.isDone && elapsedMs < STEP_TIMEOUT_MS) {
      const isInOutage =
        elapsedMs >= outageFromMs && elapsedMs < outageFromMs + outageMs;
      client.isDown = isInOutage;
      owner.tick(Date.now());
      await clock.tickAsync(TICK_MS);
      elapsedMs = Date.now() - startedAtMs;
    }
    const {unconfirmed, wastedMs} = owner;
    return {elapsedMs, unconfirmed, wastedMs};
  } finally {
    log.stop();
    clock.uninstall();
  }
}

async function openStep(
  log: LogTask,
  clock: ReturnType<typeof FakeTimers.install>,
  policy: OutagePolicy,
): Promise<SimulatedOwner> {
  void log.append({
    kind: 'step_opened',
    tenant: TENANT,
    step: STEP,
    digest: 'd',
    req: {
      model: 'm',
      weightVersion: 1,
      maxStaleness: 1,
      timeoutMs: STEP_TIMEOUT_MS,
      groups: [{prompt: 'p', samples: SAMPLES, maxTokens: 100}],
    },
    rule: 'all',
    configVersion: 0,
  });
  const claim = log.claim(LEASE);
  await clock.tickAsync(1000);
  const fencing = await claim;
  if (!fencing.ok) throw new Error(fencing.error.detail);
  return new SimulatedOwner(log, fencing.value, policy);
}

/** Cases whose results docs/design/ledger.md reports. */
export const OUTAGE_CASES: readonly OutageCase[] = (
  ['hold', 'trainer_cursor', 'stop'] as const
).flatMap(policy =>
  [
    [30_000, 10_000],
    [30_000, 60_000],
    [30_000, 300_000],
    [140_000, 60_000],
  ].map(([outageFromMs, outageMs]) => ({
    policy,
    outageFromMs: outageFromMs!,
    outageMs: outageMs!,
  })),
);
