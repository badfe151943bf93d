/** Moves or hedges stragglers of groups in which no rollouts are queued. */

import type {AttemptTable} from './attempt_table.js';
import type {EndpointGroup} from './endpoint_directory.js';
import {estimateTokenMs} from './endpoint_score.js';
import type {EndpointState} from './endpoint_state.js';
import type {SchedulerState} from './scheduler_state.js';
import {decideStragglerAction, StragglerAction} from './straggler.js';
import type {WorkDispatcher} from './work_dispatcher.js';
import type {WorkCompletion} from './work_completion.js';
import type {Attempt} from './work_state.js';

/** Assumed time for an engine to prefill one token when an attempt resumes, ms. */
const PREFILL_MS_PER_TOKEN = 0.1;
/** Assumed tokens per second of a stream before any measurement. */
const DEFAULT_STREAM_SPEED = 50;

export class StragglerScan {
  constructor(
    private readonly state: SchedulerState,
    private readonly attempts: AttemptTable,
    private readonly completion: WorkCompletion,
    private readonly dispatcher: WorkDispatcher,
  ) {}

  scan(group: EndpointGroup): void {
    if (group.queues.rollout.size > 0 || !group.pool.hasRolloutRoom) return;
    for (const endpoint of group.pool.endpoints.values()) {
      for (const attempt of [...this.attempts.listAt(endpoint)]) {
        if (this.isEligible(group, attempt)) this.moveOrHedge(group, attempt);
      }
    }
  }

  private isEligible(group: EndpointGroup, attempt: Attempt): boolean {
    const {work} = attempt;
    const {item} = work;
    const isOnlyAttempt = work.running.length === 1;
    // Leaves one attempt for a retry after a failure.
    const hasSpareAttempts =
      this.completion.countChargedAttempts(work) + 2 < item.maxAttempts;
    if (!isOnlyAttempt || !hasSpareAttempts || !item.idempotent) return false;
    return item.workClass === 'rollout' && !group.runningSuspects.has(work);
  }

  private moveOrHedge(group: EndpointGroup, attempt: Attempt): void {
    const {work, endpoint} = attempt;
    const target = this.dispatcher.chooseEndpoint(group, work, endpoint.id);
    if (!target || target === endpoint) return;
    const action = this.decideAction(group, attempt, target);
    if (action === 'leave' || !this.isAllowed(attempt, action)) return;
    const {stragglers, nowMs} = this.state;
    if (!stragglers.takeBudget(work.tenant, nowMs)) return;
    this.completion.savePartial(attempt, 'silent');
    if (action === 'move') this.attempts.stop(attempt);
    work.sentAttempts++;
    this.attempts.start(work, target);
  }

  private decideAction(
    group: EndpointGroup,
    attempt: Attempt,
    target: EndpointState,
  ): StragglerAction {
    const {work, tokens} = attempt;
    const remaining = this.state.estimateLength(work.item, tokens) - tokens;
    const times = {
      currentMs: this.estimateCurrentTokenMs(group, attempt),
      targetMs: estimateTokenMs(target, this.state.getScoreView(group)),
      resumeMs: (work.item.promptTokens + tokens) * PREFILL_MS_PER_TOKEN,
    };
    return decideStragglerAction(attempt, remaining, times, this.state.nowMs);
  }

  private isAllowed(attempt: Attempt, action: StragglerAction): boolean {
    const {options} = this.state;
    if (action === 'move') return options.moving;
    return options.hedging && attempt.work.item.hedge !== false;
  }

  /** Returns the expected ms per token on the attempt's current endpoint. */
  private estimateCurrentTokenMs(
    group: EndpointGroup,
    attempt: Attempt,
  ): number {
    const {endpoint} = attempt;
    if (!this.state.options.speedModel) {
      return 1e3 / (endpoint.streamSpeed || DEFAULT_STREAM_SPEED);
    }
    const {limit} = endpoint.limit;
    const streams = Math.min(limit, endpoint.totalInFlight);
    return group.speed.predictMs(streams) * endpoint.slowness;
  }
}
