/**
 * Ends attempts and work items: handles finished and failed attempts, decides
 * between retry and failure, and enforces deadlines and staleness bounds.
 */

import {
  createError,
  ErrorKind,
  RadishyokeError,
} from '@radishyoke/shared/error_kind';
import {DEFAULT_RETRY_AFTER_MS} from './admission.js';
import type {AttemptTable} from './attempt_table.js';
import {CrashTracker} from './crash_tracker.js';
import type {EndpointState} from './endpoint_state.js';
import type {AttemptOutcome, FailureKind} from './failure.js';
import {findRetryRule, RetryRule} from './retry_policy.js';
import type {SchedulerState} from './scheduler_state.js';
import type {WorkQueues} from './work_queues.js';
import type {Attempt, WorkState} from './work_state.js';
import {WorkTimers} from './work_timers.js';

/** Delay in ms before a work item that an endpoint rejected is retried. */
const REJECTED_RETRY_DELAY_MS = 100;

/** The end of an attempt without a complete result. */
interface FailedAttempt {
  readonly failure: FailureKind;
  /** Whether any byte of the request may have reached the endpoint. */
  readonly sent: boolean;
  readonly tokensReceived: number;
}

export class WorkCompletion {
  private readonly deadlines = new WorkTimers();
  private readonly crashes: CrashTracker;

  constructor(
    private readonly state: SchedulerState,
    private readonly queues: WorkQueues,
    private readonly attempts: AttemptTable,
  ) {
    this.crashes = new CrashTracker(state.suspects);
  }

  /** Schedules giving up the work item at its deadline. */
  watchDeadline(work: WorkState): void {
    this.deadlines.add(work, work.deadlineAtMs);
  }

  onAttemptEnd(attempt: Attempt, outcome: AttemptOutcome): void {
    switch (outcome.kind) {
      case 'finished':
        for (const {weightVersion} of outcome.spans) {
          attempt.oldestVersion = Math.min(
            attempt.oldestVersion,
            weightVersion,
          );
        }
        return this.finishAttempt(attempt, outcome.tokens);
      case 'stopped':
        this.attempts.close(attempt);
        if (attempt.work.running.length > 0) return;
        return this.giveUp(attempt.work, createError('cancelled'));
      case 'failed':
        return this.failAttempt(attempt, outcome);
    }
  }

  cancel(work: WorkState): void {
    this.queues.remove(work);
    this.attempts.stopAll(work);
    this.removeWork(work);
  }

  giveUp(work: WorkState, error: RadishyokeError): void {
    this.cancel(work);
    this.state.emit({kind: 'give_up', workId: work.item.id, error});
  }

  /** Gives up a work item whose request is convicted of crashing endpoints. */
  giveUpSuspect(work: WorkState): void {
    this.giveUp(
      work,
      createError('suspect_request', undefined, getRanField(work)),
    );
  }

  /** Gives up work items past their deadline; later answers have no value. */
  expireDue(): void {
    for (const work of this.deadlines.takeDue(this.state.nowMs)) {
      if (work.phase === 'over') continue;
      const kind =
        work.phase === 'parked' ? 'not_fresh_in_time' : 'deadline_passed';
      const wasSent = work.sentAttempts > 0 || work.running.length > 0;
      const extra = wasSent ? {} : ({ran: 'no'} as const);
      this.giveUp(work, createError(kind, undefined, extra));
    }
  }

  /**
   * Raises a step's staleness bound, drops partial output that is now too old
   * and restarts stale attempts.
   */
  raiseMinVersion(stepKey: string, minVersion: number): void {
    if (!this.state.stalenessBounds.raise(stepKey, minVersion)) return;
    for (const work of this.state.pace.listWorkItems(stepKey)) {
      if (this.state.isPartialStale(work)) work.partial = undefined;
      for (const attempt of [...work.running]) {
        if (this.state.isStale(attempt)) this.restartStale(attempt);
      }
    }
  }

  /**
   * Returns the attempts that count towards the maximum. With `forgiveUnsent`,
   * attempts of a rollout that never reached an endpoint are not counted: an
   * unreachable endpoint would use them all up, and the deadline still bounds
   * the waiting.
   */
  countChargedAttempts(work: WorkState): number {
    const ignoresUnsent =
      this.state.options.forgiveUnsent && work.item.workClass === 'rollout';
    return ignoresUnsent ? work.sentAttempts : work.attempts;
  }

  /** Saves the attempt's output for resuming if it is fresh and the longest. */
  savePartial(attempt: Attempt, failure: FailureKind): void {
    const {work, tokens, oldestVersion, number} = attempt;
    if (failure === 'stale' || tokens === 0 || this.state.isStale(attempt)) {
      if (this.state.isPartialStale(work)) work.partial = undefined;
      return;
    }
    if (work.item.workClass !== 'rollout') return;
    if (work.partial && work.partial.tokens >= tokens) return;
    work.partial = {attempt: number, tokens, oldestVersion};
  }

  private finishAttempt(attempt: Attempt, tokens: number): void {
    const {work, endpoint} = attempt;
    const {item} = work;
    endpoint.health.recordAlive();
    this.state.suspects.recordFinished(item.fingerprint);
    if (item.workClass === 'rollout' && this.state.isStale(attempt)) {
      const failure = 'stale';
      return this.failAttempt(attempt, {
        failure,
        sent: true,
        tokensReceived: tokens,
      });
    }
    const totalTokens = Math.max(tokens, attempt.tokens);
    this.state.lengths.recordFinished(
      item.groupKey,
      totalTokens,
      item.maxTokens,
    );
    this.attempts.close(attempt);
    this.attempts.stopAll(work);
    this.removeWork(work, totalTokens);
    this.state.emit({
      kind: 'done',
      workId: item.id,
      attempt: attempt.number,
    });
  }

  private failAttempt(attempt: Attempt, failed: FailedAttempt): void {
    const {work, endpoint} = attempt;
    const {failure, sent} = failed;
    endpoint.health.recordFailure(failure, this.state.nowMs);
    this.recordCrash(attempt, failure);
    if (failure === 'rejected')
      endpoint.limit.recordRejection(this.state.nowMs);
    if (sent) work.sentAttempts++;
    attempt.tokens = Math.max(attempt.tokens, failed.tokensReceived);
    this.attempts.close(attempt);
    this.savePartial(attempt, failure);
    if (work.running.length > 0) return;
    const {idempotent} = work.item;
    const rule = findRetryRule(failure, idempotent, sent, attempt.tokens);
    this.retryOrGiveUp(work, endpoint, rule, failure);
  }

  private recordCrash(attempt: Attempt, failure: FailureKind): void {
    const endpointAttempts = this.attempts.listAt(attempt.endpoint);
    const {nowMs} = this.state;
    const crash = this.crashes.recordFailure(
      attempt,
      endpointAttempts,
      failure,
      nowMs,
    );
    if (crash) this.state.emit({kind: 'report_crash', ...crash});
  }

  private retryOrGiveUp(
    work: WorkState,
    endpoint: EndpointState,
    rule: RetryRule,
    failure: FailureKind,
  ): void {
    const {retries, suspects, nowMs} = this.state;
    const error = createFinalError(work, rule.error);
    const isSpent = this.countChargedAttempts(work) >= work.item.maxAttempts;
    if (rule.action === 'give_up' || isSpent) return this.giveUp(work, error);
    if (suspects.classify(work.item.fingerprint) === 'convicted') {
      return this.giveUpSuspect(work);
    }
    const budgetMs = retries.takeRetry(work.tenant, endpoint.id, nowMs);
    const isInteractive = work.item.workClass === 'interactive';
    // Interactive requests fail at once instead of waiting for the retry budget
    // that other requests have used up.
    if (budgetMs > 0 && isInteractive) return this.giveUp(work, error);
    work.lastError = error;
    work.lastEndpoint = endpoint.id;
    const waitMs = failure === 'rejected' ? REJECTED_RETRY_DELAY_MS : 0;
    this.queues.delay(work, Math.max(budgetMs, waitMs));
  }

  /**
   * Stops and retries an attempt whose output is older than the bound, as it
   * cannot become fresh again.
   */
  private restartStale(attempt: Attempt): void {
    const {work, endpoint} = attempt;
    if (attempt.oldestVersion === Infinity) return;
    this.attempts.stop(attempt);
    work.sentAttempts++;
    if (work.running.length > 0) return;
    const rule = findRetryRule('stale', work.item.idempotent, true, 0);
    this.retryOrGiveUp(work, endpoint, rule, 'stale');
  }

  private removeWork(work: WorkState, finishedTokens = 0): void {
    work.phase = 'over';
    const {id, stepKey} = work.item;
    this.state.workItems.delete(id);
    if (stepKey !== '') this.state.pace.remove(stepKey, work, finishedTokens);
  }
}

function createFinalError(work: WorkState, kind: ErrorKind): RadishyokeError {
  return createError(kind, undefined, {
    ...getRanField(work),
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });
}

/** Returns `ran: 'no'` only if nothing of the request was sent. */
function getRanField(work: WorkState): Pick<RadishyokeError, 'ran'> {
  return work.sentAttempts === 0 ? {ran: 'no'} : {};
}
