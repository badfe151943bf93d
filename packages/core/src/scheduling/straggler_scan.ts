/** Once nothing waits in a group, helps the attempts that hold up their steps. */

import type {AttemptTable} from './attempt_table.js';
import type {EndpointGroup} from './endpoint_directory.js';
import {estimateTokenMs} from './endpoint_score.js';
import type {EndpointState} from './endpoint_state.js';
import type {SchedulerState} from './scheduler_state.js';
import {judgeStraggler, StragglerAction} from './straggler.js';
import type {WorkDispatch} from './work_dispatch.js';
import type {WorkEnds} from './work_ends.js';
import type {Attempt} from './work_state.js';

/** Time that an engine is assumed to take to read one token again, ms. */
const REREAD_MS_PER_TOKEN = 0.1;
/** Tokens a second assumed of a stream before any was measured. */
const DEFAULT_STREAM_SPEED = 50;

export class StragglerScan {
  constructor(
    private readonly state: SchedulerState,
    private readonly attempts: AttemptTable,
    private readonly ends: WorkEnds,
    private readonly dispatch: WorkDispatch,
  ) {}

  scan(group: EndpointGroup): void {
    if (group.queues.rollout.size > 0 || !group.pool.hasOpen) return;
    for (const endpoint of group.pool.endpoints.values()) {
      for (const attempt of [...this.attempts.listAt(endpoint)]) {
        if (this.isEligible(group, attempt)) this.treat(group, attempt);
      }
    }
  }

  private isEligible(group: EndpointGroup, attempt: Attempt): boolean {
    const {work} = attempt;
    const {item} = work;
    const isAlone = work.running.length === 1;
    // One attempt is left for failures.
    const hasSpare = this.ends.countAttempts(work) + 2 < item.maxAttempts;
    if (!isAlone || !hasSpare || !item.idempotent) return false;
    return item.workClass === 'rollout' && !group.quarantineRunning.has(work);
  }

  private treat(group: EndpointGroup, attempt: Attempt): void {
    const {work, endpoint} = attempt;
    const target = this.dispatch.chooseEndpoint(group, work, endpoint.id);
    if (!target || target === endpoint) return;
    const action = this.judge(group, attempt, target);
    if (action === 'leave' || !this.isAllowed(attempt, action)) return;
    const {stragglers, nowMs} = this.state;
    if (!stragglers.takeBudget(work.tenant, nowMs)) return;
    this.ends.keepPartial(attempt, 'silent');
    if (action === 'move') this.attempts.stop(attempt);
    work.sentAttempts++;
    this.attempts.start(work, target);
  }

  private judge(
    group: EndpointGroup,
    attempt: Attempt,
    target: EndpointState,
  ): StragglerAction {
    const {work, tokens} = attempt;
    const remaining = this.state.estimateLength(work.item, tokens) - tokens;
    const times = {
      hereMs: this.estimateHere(group, attempt),
      thereMs: estimateTokenMs(target, this.state.getView(group)),
      moveMs: (work.item.promptTokens + tokens) * REREAD_MS_PER_TOKEN,
    };
    return judgeStraggler(attempt, remaining, times, this.state.nowMs);
  }

  private isAllowed(attempt: Attempt, action: StragglerAction): boolean {
    const {options} = this.state;
    if (action === 'move') return options.moving;
    return options.hedging && attempt.work.item.hedge !== false;
  }

  /** Ms for one token where the attempt runs now. */
  private estimateHere(group: EndpointGroup, attempt: Attempt): number {
    const {endpoint} = attempt;
    if (!this.state.options.speedModel) {
      return 1e3 / (endpoint.streamSpeed || DEFAULT_STREAM_SPEED);
    }
    const {limit} = endpoint.limit;
    const streams = Math.min(limit, endpoint.totalInFlight);
    return group.speed.predictMs(streams) * endpoint.slowness;
  }
}
