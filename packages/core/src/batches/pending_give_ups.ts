/**
 * Decides when items are given up. The reasons follow from the configuration, and
 * a version that this VM has not read yet may lift them: it may allow more
 * attempts or a longer retention, or bring the route back. A result is final, so
 * an item is given up only once the configuration is known as it was when the
 * reason arose.
 */

import type {Job, OpenBatch} from './batch_job.js';
import {findBatchGiveUpReason, isHopeless, isUsedUp} from './job_rules.js';
import type {ListReason} from './schedule_action.js';

/** A limit on the failures of an item. */
export type LimitReason = Extract<
  ListReason,
  'attempts_used_up' | 'failed_in_earlier_batches' | 'reward_attempts_used_up'
>;

/** An item that may be given up now. */
export interface GiveUp {
  readonly job: Job;
  readonly reason: ListReason;
}

/** What a decision knows; times are steady ms. */
export interface GiveUpMoment {
  readonly nowMs: number;
  /** All versions that the log had at this time were read. */
  readonly configKnownMs: number;
}

/**
 * Time for which a reason waits for the configuration, ms, once the retention that
 * the batch was promised is over: many times what a read takes.
 */
const CONFIRM_TIMEOUT_MS = 2000;

export class PendingGiveUps {
  /** Steady ms at which a decision first saw the reason of a whole batch. */
  private readonly sinceByBatch = new Map<OpenBatch, number>();
  private readonly limits = new Map<Job, LimitReason>();
  /** Steady ms at which a decision first saw the reason of an item. */
  private readonly sinceByJob = new Map<Job, number>();

  /** @param findRewardAttempts Returns how many failed reward calls an item may have. */
  constructor(private readonly findRewardAttempts: (job: Job) => number) {}

  /** Whether `job` is to be given up, so that it must not run meanwhile. */
  has(job: Job): boolean {
    return this.limits.has(job) || this.sinceByBatch.has(job.batch);
  }

  /** Records that `job` has reached a limit. */
  add(job: Job, reason: LimitReason): void {
    if (!this.limits.has(job)) this.limits.set(job, reason);
  }

  /** Drops what is recorded of a closed batch. */
  drop(batch: OpenBatch): void {
    this.sinceByBatch.delete(batch);
    for (const job of batch.jobs.values()) this.dropJob(job);
  }

  /**
   * Returns the items that are given up now. The reasons of those that remain
   * wait for the configuration; a reason that no longer holds is forgotten.
   */
  take(batches: Iterable<OpenBatch>, moment: GiveUpMoment): readonly GiveUp[] {
    const due: GiveUp[] = [];
    for (const batch of batches) due.push(...this.takeBatch(batch, moment));
    for (const [job, reason] of [...this.limits]) {
      if (job.state === 'finished' || !this.isReached(job, reason)) {
        this.dropJob(job);
        continue;
      }
      const sinceMs = this.sinceByJob.get(job) ?? moment.nowMs;
      this.sinceByJob.set(job, sinceMs);
      if (!isConfirmed(job.batch, sinceMs, moment)) continue;
      this.dropJob(job);
      due.push({job, reason});
    }
    return due;
  }

  /** Whether any reason waits for the configuration. */
  get isWaiting(): boolean {
    return this.limits.size > 0 || this.sinceByBatch.size > 0;
  }

  private takeBatch(batch: OpenBatch, moment: GiveUpMoment): readonly GiveUp[] {
    const reason = findBatchGiveUpReason(batch, moment.nowMs);
    const unfinished = reason ? listUnfinished(batch) : [];
    if (!reason || unfinished.length === 0) {
      this.sinceByBatch.delete(batch);
      return [];
    }
    const sinceMs = this.sinceByBatch.get(batch) ?? moment.nowMs;
    this.sinceByBatch.set(batch, sinceMs);
    if (!isConfirmed(batch, sinceMs, moment)) return [];
    this.sinceByBatch.delete(batch);
    return unfinished.map(job => ({job, reason}));
  }

  private isReached(job: Job, reason: LimitReason): boolean {
    switch (reason) {
      case 'attempts_used_up':
        return isUsedUp(job);
      case 'failed_in_earlier_batches':
        return isHopeless(job);
      case 'reward_attempts_used_up':
        return job.failedRewardCalls.length >= this.findRewardAttempts(job);
    }
  }

  private dropJob(job: Job): void {
    this.limits.delete(job);
    this.sinceByJob.delete(job);
  }
}

function listUnfinished({jobs}: OpenBatch): readonly Job[] {
  return [...jobs.values()].filter(({state}) => state !== 'finished');
}

/** Whether a reason that a decision first saw at `sinceMs` may be acted on. */
function isConfirmed(
  {promisedUntilMs}: OpenBatch,
  sinceMs: number,
  {nowMs, configKnownMs}: GiveUpMoment,
): boolean {
  if (configKnownMs >= sinceMs) return true;
  return nowMs > promisedUntilMs && nowMs - sinceMs > CONFIRM_TIMEOUT_MS;
}
