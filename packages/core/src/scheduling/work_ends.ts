/**
 * How works end: by an attempt that finished, by a failure that is retried or
 * told, by their deadline, or by a trainer that has moved on.
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

/** Wait before work that an endpoint rejected is sent elsewhere, ms. */
const REJECTED_WAIT_MS = 100;

/** An attempt that brought nothing whole. */
interface FailedAttempt {
  readonly failure: FailureKind;
  /** Whether a byte of it may have reached the endpoint. */
  readonly sent: boolean;
  readonly tokensReceived: number;
}

export class WorkEnds {
  private readonly deadlines = new WorkTimers();
  private readonly crashes: CrashTracker;

  constructor(
    private readonly state: SchedulerState,
    private readonly queues: WorkQueues,
    private readonly attempts: AttemptTable,
  ) {
    this.crashes = new CrashTracker(state.suspects);
  }

  /** Gives the work up at its deadline, if it is still there. */
  watch(work: WorkState): void {
    this.deadlines.add(work, work.deadlineAtMs);
  }

  end(attempt: Attempt, outcome: AttemptOutcome): void {
    switch (outcome.kind) {
      case 'finished':
        for (const {weightVersion} of outcome.spans) {
          attempt.oldestVersion = Math.min(
            attempt.oldestVersion,
            weightVersion,
          );
        }
        return this.finish(attempt, outcome.tokens);
      case 'stopped':
        this.attempts.close(attempt);
        if (attempt.work.running.length > 0) return;
        return this.giveUp(attempt.work, createError('cancelled'));
      case 'failed':
        return this.fail(attempt, outcome);
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

  /** Ends a work that has crashed endpoints often enough to be blamed for it. */
  giveUpSuspect(work: WorkState): void {
    this.giveUp(work, createError('suspect_request', undefined, ranOf(work)));
  }

  /** An answer that comes after its deadline is worth nothing: it is given now. */
  expire(): void {
    for (const work of this.deadlines.takeDue(this.state.nowMs)) {
      if (work.phase === 'over') continue;
      const kind =
        work.phase === 'parked' ? 'not_fresh_in_time' : 'deadline_passed';
      const wasSent = work.sentAttempts > 0 || work.running.length > 0;
      const extra = wasSent ? {} : ({ran: 'no'} as const);
      this.giveUp(work, createError(kind, undefined, extra));
    }
  }

  /** The trainer of a step has moved on: output that is too old now is redone. */
  raiseMinVersion(stepKey: string, min: number): void {
    if (!this.state.freshness.raise(stepKey, min)) return;
    for (const work of this.state.pace.listWorks(stepKey)) {
      if (this.state.isPartialStale(work)) work.partial = undefined;
      for (const attempt of [...work.running]) {
        if (this.state.isStale(attempt)) this.restartStale(attempt);
      }
    }
  }

  /**
   * Attempts that count against the most. An endpoint that is down turns away
   * one after the other; a rollout that never reached it has lost nothing and
   * waits on, bounded by its deadline.
   */
  countAttempts(work: WorkState): number {
    const forgives =
      this.state.options.forgiveUnsent && work.item.workClass === 'rollout';
    return forgives ? work.sentAttempts : work.attempts;
  }

  /** Keeps the longest output that is still of use. */
  keepPartial(attempt: Attempt, failure: FailureKind): void {
    const {work, tokens, oldestVersion, number} = attempt;
    if (failure === 'stale' || tokens === 0 || this.state.isStale(attempt)) {
      if (this.state.isPartialStale(work)) work.partial = undefined;
      return;
    }
    if (work.item.workClass !== 'rollout') return;
    if (work.partial && work.partial.tokens >= tokens) return;
    work.partial = {attempt: number, tokens, oldestVersion};
  }

  private finish(attempt: Attempt, tokens: number): void {
    const {work, endpoint} = attempt;
    const {item} = work;
    endpoint.health.noteAlive();
    this.state.suspects.noteFinished(item.fingerprint);
    if (item.workClass === 'rollout' && this.state.isStale(attempt)) {
      const failure = 'stale';
      return this.fail(attempt, {failure, sent: true, tokensReceived: tokens});
    }
    const whole = Math.max(tokens, attempt.tokens);
    this.state.lengths.noteFinished(item.groupKey, whole, item.maxTokens);
    this.attempts.close(attempt);
    this.attempts.stopAll(work);
    this.removeWork(work, whole);
    this.state.emit({
      kind: 'done',
      workId: item.id,
      attempt: attempt.number,
    });
  }

  private fail(attempt: Attempt, failed: FailedAttempt): void {
    const {work, endpoint} = attempt;
    const {failure, sent} = failed;
    endpoint.health.noteFailure(failure, this.state.nowMs);
    this.noteCrash(attempt, failure);
    if (failure === 'rejected') endpoint.limit.noteRejected(this.state.nowMs);
    if (sent) work.sentAttempts++;
    attempt.tokens = Math.max(attempt.tokens, failed.tokensReceived);
    this.attempts.close(attempt);
    this.keepPartial(attempt, failure);
    if (work.running.length > 0) return;
    const {idempotent} = work.item;
    const rule = findRetryRule(failure, idempotent, sent, attempt.tokens);
    this.retryOrGiveUp(work, endpoint, rule, failure);
  }

  private noteCrash(attempt: Attempt, failure: FailureKind): void {
    const here = this.attempts.listAt(attempt.endpoint);
    const {nowMs} = this.state;
    const crash = this.crashes.noteFailure(attempt, here, failure, nowMs);
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
    const isSpent = this.countAttempts(work) >= work.item.maxAttempts;
    if (rule.action === 'give_up' || isSpent) return this.giveUp(work, error);
    if (suspects.classify(work.item.fingerprint) === 'convicted') {
      return this.giveUpSuspect(work);
    }
    const budgetMs = retries.take(work.tenant, endpoint.id, nowMs);
    const isInteractive = work.item.workClass === 'interactive';
    // An interactive caller is told at once rather than kept waiting for
    // retries that others have used up.
    if (budgetMs > 0 && isInteractive) return this.giveUp(work, error);
    work.lastError = error;
    work.lastEndpoint = endpoint.id;
    const waitMs = failure === 'rejected' ? REJECTED_WAIT_MS : 0;
    this.queues.delay(work, Math.max(budgetMs, waitMs));
  }

  /** What is already over the bound never gets back under it. */
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
    this.state.works.delete(id);
    if (stepKey !== '') this.state.pace.remove(stepKey, work, finishedTokens);
  }
}

function createFinalError(work: WorkState, kind: ErrorKind): RadishyokeError {
  return createError(kind, undefined, {
    ...ranOf(work),
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });
}

/** Whether the work can have run: only ever `no` when nothing was sent. */
function ranOf(work: WorkState): Pick<RadishyokeError, 'ran'> {
  return work.sentAttempts === 0 ? {ran: 'no'} : {};
}
