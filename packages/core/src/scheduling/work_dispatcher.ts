/**
 * Starts a group's waiting work items in queue order, each on the endpoint with
 * the earliest expected completion.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import type {AttemptTable} from './attempt_table.js';
import type {EndpointGroup} from './endpoint_directory.js';
import type {EndpointRequirements} from './endpoint_pool.js';
import type {EndpointState} from './endpoint_state.js';
import type {WorkClass} from './scheduler.js';
import type {SchedulerState} from './scheduler_state.js';
import type {WorkCompletion} from './work_completion.js';
import type {WorkQueues} from './work_queues.js';
import type {WorkState} from './work_state.js';

export class WorkDispatcher {
  constructor(
    private readonly state: SchedulerState,
    private readonly queues: WorkQueues,
    private readonly attempts: AttemptTable,
    private readonly completion: WorkCompletion,
  ) {}

  /** Starts all work items for which endpoints of the group have room. */
  dispatch(group: EndpointGroup): void {
    this.dispatchQuarantined(group);
    this.dispatchClass(group, 'interactive');
    if (!group.isGathering) this.dispatchClass(group, 'rollout');
  }

  /**
   * Returns the endpoint with the earliest expected completion, preferring any
   * other than `avoid`.
   */
  chooseEndpoint(
    group: EndpointGroup,
    work: WorkState,
    avoid: EndpointId | undefined = work.lastEndpoint,
  ): EndpointState | undefined {
    const {item} = work;
    const {directory, options} = this.state;
    const generatedTokens = work.partial?.tokens ?? 0;
    const requirements: EndpointRequirements = {
      workClass: item.workClass,
      isRollout: item.workClass === 'rollout',
      minWeightVersion: this.state.findMinVersion(work),
      model: item.model,
      promptTokens: item.promptTokens + generatedTokens,
      expectedTokens: work.expectedTokens - generatedTokens,
      prefixKey: options.prefixAffinity ? item.prefixKey : '',
      isSuspect: work.phase === 'quarantined',
      avoid,
    };
    return group.pool.choose(
      requirements,
      directory.vmView,
      this.state.getScoreView(group),
    );
  }

  private dispatchClass(group: EndpointGroup, workClass: WorkClass): void {
    const {pool} = group;
    const queue = group.queues[workClass];
    if (queue.size === 0) return;
    let drainedCost = 0;
    while (workClass === 'rollout' ? pool.hasRolloutRoom : pool.hasUsable) {
      const work = queue.peek();
      if (!work) break;
      if (this.queues.holdIfCapped(work)) {
        queue.pop();
        continue;
      }
      const endpoint = this.chooseEndpoint(group, work);
      if (endpoint) {
        queue.pop();
        drainedCost += work.cost;
        this.attempts.start(work, endpoint);
        continue;
      }
      if (!this.mayLackEligibleEndpoint(work)) break;
      // The endpoints with room have older weights or another model than this
      // work item needs. Park it so that it doesn't block those queued after it.
      queue.pop();
      this.queues.park(group, work);
    }
    group.drainRates[workClass].record(
      this.state.nowMs,
      drainedCost,
      queue.size > 0,
    );
  }

  /**
   * Whether the work item requires a model or a minimum weight version that
   * endpoints with room may lack.
   */
  private mayLackEligibleEndpoint(work: WorkState): boolean {
    if (work.item.model !== undefined) return true;
    return this.state.findMinVersion(work) > 0;
  }

  /**
   * Runs at most one suspect per endpoint and sends nothing else there until the
   * suspect produces output after the minimum isolation time, so that an earlier
   * crash can be attributed to it.
   */
  private dispatchQuarantined(group: EndpointGroup): void {
    const waiting = group.quarantined;
    group.quarantined = [];
    for (const work of waiting) this.dispatchSuspect(group, work);
  }

  private dispatchSuspect(group: EndpointGroup, work: WorkState): void {
    const {suspects, options} = this.state;
    if (suspects.classify(work.item.fingerprint) === 'convicted') {
      return this.completion.giveUpSuspect(work);
    }
    const isAnotherRunning =
      !options.parallelQuarantine && group.runningSuspects.size > 0;
    const endpoint = isAnotherRunning
      ? undefined
      : this.chooseEndpoint(group, work);
    if (endpoint) this.startSuspect(group, work, endpoint);
    else group.quarantined.push(work);
  }

  private startSuspect(
    group: EndpointGroup,
    work: WorkState,
    endpoint: EndpointState,
  ): void {
    const {id, fingerprint} = work.item;
    group.runningSuspects.add(work);
    this.attempts.start(work, endpoint);
    endpoint.suspect = {workId: id, fingerprint};
    endpoint.isIsolated = true;
    this.state.directory.refresh(endpoint, this.state.nowMs);
  }
}
