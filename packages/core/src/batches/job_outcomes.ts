/**
 * What becomes of jobs: texts that are whole, scores, results that an earlier
 * batch made, failures, and items that are given up. Each item gets one result.
 */

import type {Job} from './batch_job.js';
import type {ItemResult, RewardRequest} from './batch_record.js';
import {clearText} from './job_rules.js';
import type {ListReason, ScheduleAction} from './schedule_action.js';

/** Pause before an item that failed is tried again, ms; most failures of an engine pass within a few requests. */
const RETRY_PAUSE_MS = 50;

/** Batches in which an item may fail for good; one that asks for it again gets that answer at once. */
const MAX_FAILED_BATCHES = 3;

export class JobOutcomes {
  /** @param emit Takes what the owner of the scheduler is to do. */
  constructor(private readonly emit: (action: ScheduleAction) => void) {}

  /** The engine says that the text of `job` is whole. */
  onOutputComplete(job: Job, nowMs: number): void {
    const {terms} = job.batch;
    // A stream that ends well without one event is no output of a generation.
    if (job.transcript.events.length === 0) {
      job.notBeforeMs = nowMs + RETRY_PAUSE_MS;
      return;
    }
    // Weights can be older than the engine's last word said when it restarted
    // meanwhile; such a text is not used.
    if (terms && !job.transcript.satisfies(terms)) {
      clearText(job);
      return;
    }
    job.transcript.finish();
    if (job.item.reward) job.state = 'unscored';
    else this.listText(job, undefined, 'finished');
  }

  /**
   * A text that the log or an earlier batch has in whole needs no engine. Says
   * whether there is one.
   */
  useStoredText(job: Job): boolean {
    const {terms} = job.batch;
    const isUsable =
      job.state === 'waiting' &&
      job.transcript.isComplete &&
      terms !== undefined &&
      job.transcript.satisfies(terms);
    if (!isUsable) return false;
    if (job.item.reward) job.state = 'unscored';
    else this.listText(job, undefined, 'known_from_earlier_batch');
    return true;
  }

  /** The reward call of `job` brought its score. */
  onScore(job: Job, score: string): void {
    if (job.state !== 'unscored') return;
    const {terms} = job.batch;
    // The route may ask for other weights than when the text was made.
    if (terms && !job.transcript.satisfies(terms)) {
      clearText(job);
      job.state = 'waiting';
      return;
    }
    this.listText(job, score, 'scored');
  }

  /** Lists what an earlier batch made of the same item, if it can be used. */
  reuseResult(job: Job, earlier: Job): void {
    const {terms} = job.batch;
    const {result} = earlier;
    if (!terms || job.state === 'finished' || result?.state !== 'done') return;
    if (result.versions.some(version => version < terms.minVersion)) return;
    if (terms.singleVersion && result.versions.length > 1) return;
    if (!isSameReward(job.item.reward, earlier.item.reward)) return;
    this.list(job, result, 'known_from_earlier_batch');
  }

  /** An engine answered that its attempt failed. */
  countFailure(job: Job, nowMs: number): void {
    job.failures += 1;
    const attempts = job.batch.terms?.attempts ?? 1;
    if (job.failures >= attempts) this.giveUp(job, 'attempts_used_up');
    else job.notBeforeMs = nowMs + RETRY_PAUSE_MS;
    this.giveUpRepeatedlyFailed(job);
  }

  /** An item that failed in one batch after the other is not run again. */
  giveUpRepeatedlyFailed(job: Job): void {
    const {batch, earlierFailures} = job;
    if (job.state !== 'waiting' || !batch.terms) return;
    const maxFailures = batch.terms.attempts * MAX_FAILED_BATCHES;
    const isHopeless =
      earlierFailures.rejections >= MAX_FAILED_BATCHES ||
      earlierFailures.failures + job.failures >= maxFailures;
    if (isHopeless) this.giveUp(job, 'failed_in_earlier_batches');
  }

  /** An endpoint answered that the reward call failed; `attempts` of these are enough. */
  countRewardFailure(job: Job, attempts: number): void {
    if (job.state !== 'unscored') return;
    job.rewardFailures += 1;
    const isUsedUp = job.rewardFailures >= attempts;
    if (isUsedUp) this.giveUp(job, 'reward_attempts_used_up');
  }

  giveUp(job: Job, reason: ListReason): void {
    if (job.state === 'finished') return;
    const {id: itemId} = job.item;
    this.list(
      job,
      {itemId, state: 'errored', output: '', versions: []},
      reason,
    );
  }

  finish(job: Job, result: ItemResult | undefined): void {
    job.state = 'finished';
    job.result = result;
    // The result has the text; its events take three times as much memory.
    clearText(job);
  }

  private listText(
    job: Job,
    score: string | undefined,
    reason: ListReason,
  ): void {
    const result: ItemResult = {
      itemId: job.item.id,
      state: 'done',
      output: job.transcript.joinOutput(),
      versions: job.transcript.listVersions(),
      ...(score === undefined ? {} : {score}),
    };
    this.list(job, result, reason);
  }

  private list(job: Job, result: ItemResult, reason: ListReason): void {
    this.finish(job, result);
    const batchId = job.batch.batch.id;
    this.emit({kind: 'list', batchId, result, reason});
  }
}

/** Whether the answer to `a` is also one to `b`. */
function isSameReward(
  a: RewardRequest | undefined,
  b: RewardRequest | undefined,
): boolean {
  if (!a || !b) return a === b;
  const isSameCall = a.id === b.id && a.host === b.host && a.path === b.path;
  return isSameCall && isSameBytes(a.body, b.body);
}

function isSameBytes(a: Uint8Array, b: Uint8Array): boolean {
  return a.length === b.length && a.every((byte, i) => byte === b[i]);
}
