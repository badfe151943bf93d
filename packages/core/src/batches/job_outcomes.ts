/**
 * Determines the outcome of jobs from complete output, scores, results of
 * earlier batches, and failures. Each item gets exactly one result.
 */

import {addAttempt} from './attempt_ids.js';
import type {Job} from './batch_job.js';
import {isStepComplete} from './group_choice.js';
import type {ItemResult, RewardRequest} from './batch_record.js';
import {
  clearTranscript,
  isHopeless,
  isUsedUp,
  recordEarlierEvents,
} from './job_rules.js';
import type {PendingGiveUps} from './pending_give_ups.js';
import type {ListReason, ScheduleAction} from './schedule_action.js';

/**
 * Pause before a failed item is retried, ms; most engine failures are over
 * after a few requests.
 */
const RETRY_PAUSE_MS = 50;

export class JobOutcomes {
  /**
   * @param emit Receives the actions for the owner of the scheduler.
   * @param giveUps Receives the items that have reached a limit.
   * @param marksStepEnds Whether results say that they end a step.
   */
  constructor(
    private readonly emit: (action: ScheduleAction) => void,
    private readonly giveUps: PendingGiveUps,
    private readonly marksStepEnds = false,
  ) {}

  /** Handles an engine's report that the output of `job` is complete. */
  onOutputComplete(job: Job, nowMs: number): void {
    const {terms} = job.batch;
    // A stream that ends normally without any event is not a generation.
    if (job.transcript.events.length === 0) {
      job.notBeforeMs = nowMs + RETRY_PAUSE_MS;
      return;
    }
    // An engine that restarted may have older weights than its last report
    // states; such output is not used.
    if (terms && !job.transcript.satisfies(terms)) {
      clearTranscript(job);
      return;
    }
    job.transcript.finish();
    if (job.item.reward) job.state = 'unscored';
    else this.listOutput(job, undefined, 'finished');
  }

  /**
   * Uses output that the log or an earlier batch has completely, without an
   * engine. Returns whether there was any.
   */
  useStoredOutput(job: Job): boolean {
    const {terms} = job.batch;
    const isUsable =
      job.state === 'waiting' &&
      job.transcript.isComplete &&
      terms !== undefined &&
      job.transcript.satisfies(terms);
    if (!isUsable) return false;
    if (job.item.reward) job.state = 'unscored';
    else this.listOutput(job, undefined, 'known_from_earlier_batch');
    return true;
  }

  /** Handles the score from the reward call of `job`. */
  onScore(job: Job, score: string): void {
    if (job.state !== 'unscored') return;
    const {terms} = job.batch;
    // The route's requirements may have changed since the output was generated.
    if (terms && !job.transcript.satisfies(terms)) {
      clearTranscript(job);
      job.state = 'waiting';
      return;
    }
    this.listOutput(job, score, 'scored');
  }

  /**
   * Lists the result that an earlier batch has for the same item, if it is
   * usable.
   */
  reuseResult(job: Job, earlier: Job): void {
    const {terms} = job.batch;
    const {result} = earlier;
    if (!terms || job.state === 'finished' || result?.state !== 'done') return;
    recordEarlierEvents(job, result.output.split('\n').length);
    if (result.versions.some(version => version < terms.minVersion)) return;
    if (terms.singleVersion && result.versions.length > 1) return;
    if (!isSameReward(job.item.reward, earlier.item.reward)) return;
    this.list(job, result, 'known_from_earlier_batch');
  }

  /** Counts a run that an engine answered as failed. */
  countFailure(job: Job, runId: string, nowMs: number): void {
    job.failedRuns = addAttempt(job.failedRuns, runId);
    job.notBeforeMs = nowMs + RETRY_PAUSE_MS;
    if (isUsedUp(job)) this.giveUps.add(job, 'attempts_used_up');
    else this.giveUpRepeatedlyFailed(job);
  }

  /**
   * Gives up an item that failed in several batches, instead of running it
   * again.
   */
  giveUpRepeatedlyFailed(job: Job): void {
    if (job.state !== 'waiting' || !isHopeless(job)) return;
    this.giveUps.add(job, 'failed_in_earlier_batches');
  }

  /** Counts a failed reward call. */
  countRewardFailure(job: Job, callId: string): void {
    if (job.state !== 'unscored') return;
    job.failedRewardCalls = addAttempt(job.failedRewardCalls, callId);
    this.giveUps.add(job, 'reward_attempts_used_up');
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
    // The result contains the output; its events would take three times as
    // much memory.
    clearTranscript(job);
  }

  private listOutput(
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
    const endsStep = this.marksStepEnds && isStepComplete(job.batch);
    const marked = endsStep ? {...result, endsStep} : result;
    const failedAttempts = [...job.failedRuns, ...job.failedRewardCalls];
    this.emit({kind: 'list', batchId, result: marked, reason, failedAttempts});
  }
}

/** Whether an answer to `a` also answers `b`. */
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
