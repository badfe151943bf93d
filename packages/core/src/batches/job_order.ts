/**
 * Orders waiting items by slack while capacity is contended.
 *
 * The slack of an item is the time to its due time less the predicted time to its
 * end and less the lag of its trainer. Items with about the same slack share the
 * free slots among the accounts in proportion to their numbers of items.
 */

import {estimateRemaining, type Job} from './batch_job.js';
import type {TrainerKey} from './cadence_tracker.js';

/** State of the engines and trainers at one decision. */
export interface OrderContext {
  /** Steady ms. */
  readonly nowMs: number;
  readonly tokensPerEvent: number;
  /** Predicted gap between the events of a further run, ms. */
  readonly gapMs: number;
  /** How far a trainer is behind its cadence, ms. */
  readonly findLagMs: (trainer: TrainerKey) => number;
  readonly isNeeded: (job: Job) => boolean;
  /** Number of needed items of an account that run. */
  readonly countRunning: (account: string) => number;
}

/** Slack below which an item counts as late, ms. */
const LATE_SLACK_MS = 250;
/** Width of a range of slack within which accounts share slots, ms. */
const SLACK_BAND_MS = 250;
/** Priority of a batch whose route and account have none. */
const DEFAULT_PRIORITY = 0;

/** Predicted time for which `job` could wait and still end when it is due, ms. */
export function measureSlackMs(job: Job, context: OrderContext): number {
  const {batch, terms} = job.batch;
  const {nowMs, tokensPerEvent, gapMs, findLagMs} = context;
  const events = estimateRemaining(job, tokensPerEvent) / tokensPerEvent;
  const leftMs = (terms?.dueAtMs ?? Infinity) - nowMs;
  return leftMs - events * gapMs - findLagMs(batch);
}

/** Returns the client account of `job`; without one, a name made from its model. */
export function findAccount({batch: {batch}}: Job): string {
  return batch.account ?? `model ${batch.model}`;
}

interface RankedJob {
  readonly job: Job;
  readonly account: string;
  readonly slackMs: number;
  /** Lower values go first: needed and late, needed, late, all others. */
  readonly urgency: number;
  /** Priority of a late item; the others do not go by priority. */
  readonly priority: number;
  /** Range of slack that the item belongs to. */
  readonly band: number;
  /**
   * Share of its account's items that run or start before this one. In this
   * order, accounts get slots in proportion to their items.
   */
  share: number;
}

/** Returns `jobs` in the order in which they should start. */
export function orderJobs(
  jobs: readonly Job[],
  context: OrderContext,
): readonly Job[] {
  const ranked = jobs.map(job => rankJob(job, context));
  ranked.sort((a, b) => compareRanges(a, b) || a.slackMs - b.slackMs);
  assignShares(ranked, context);
  ranked.sort((a, b) => compareRanges(a, b) || a.share - b.share);
  return ranked.map(({job}) => job);
}

function rankJob(job: Job, context: OrderContext): RankedJob {
  const slackMs = measureSlackMs(job, context);
  const isLate = slackMs < LATE_SLACK_MS;
  const {priority = DEFAULT_PRIORITY} = job.batch.terms!;
  return {
    job,
    account: findAccount(job),
    slackMs,
    urgency: (context.isNeeded(job) ? 0 : 2) + (isLate ? 0 : 1),
    priority: isLate ? priority : 0,
    band: Math.floor(slackMs / SLACK_BAND_MS),
    share: 0,
  };
}

function compareRanges(a: RankedJob, b: RankedJob): number {
  return a.urgency - b.urgency || a.priority - b.priority || a.band - b.band;
}

function assignShares(
  ranked: readonly RankedJob[],
  context: OrderContext,
): void {
  const waiting = new Map<string, number>();
  for (const {account} of ranked) {
    waiting.set(account, (waiting.get(account) ?? 0) + 1);
  }
  const started = new Map<string, number>();
  for (const entry of ranked) {
    const {account} = entry;
    const running = context.countRunning(account);
    const before = started.get(account) ?? 0;
    started.set(account, before + 1);
    entry.share = (running + before) / (running + waiting.get(account)!);
  }
}
