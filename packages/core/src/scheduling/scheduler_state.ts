/**
 * Stores the state that the parts of the scheduler share: work items, endpoints,
 * estimates about both, and the actions emitted for the current event.
 */

import type {SchedulerAction, SchedulerConfig, WorkItem} from './scheduler.js';
import {EndpointDirectory, EndpointGroup} from './endpoint_directory.js';
import type {ScoreView} from './endpoint_score.js';
import type {EndpointState} from './endpoint_state.js';
import {StalenessBounds} from './staleness_bounds.js';
import {LengthEstimate} from './length_estimate.js';
import type {PolicyOptions} from './policy_options.js';
import type {RandomBits} from './random_bits.js';
import {RetryBudget} from './retry_policy.js';
import {StepPace} from './step_pace.js';
import {StragglerPolicy} from './straggler.js';
import {SuspectList} from './suspect_list.js';
import type {Attempt, WorkState} from './work_state.js';

export class SchedulerState {
  readonly directory: EndpointDirectory;
  readonly workItems = new Map<string, WorkState>();
  readonly stalenessBounds = new StalenessBounds();
  readonly suspects = new SuspectList();
  readonly retries = new RetryBudget();
  readonly stragglers = new StragglerPolicy();
  readonly lengths = new LengthEstimate();
  readonly pace: StepPace;
  /** Time of the current event, Unix ms. */
  nowMs = 0;
  private readonly dirty = new Set<EndpointGroup>();
  private actions: SchedulerAction[] = [];

  constructor(
    readonly config: SchedulerConfig,
    readonly options: PolicyOptions,
    random: RandomBits,
  ) {
    this.directory = new EndpointDirectory(config.vm, random);
    this.pace = new StepPace(this.lengths, options.pacing);
  }

  /** Sets the time of a new event and clears the actions of the previous one. */
  beginEvent(nowMs: number): void {
    this.nowMs = nowMs;
    this.actions = [];
  }

  emit(action: SchedulerAction): void {
    this.actions.push(action);
  }

  get emittedActions(): readonly SchedulerAction[] {
    return this.actions;
  }

  /** Marks the group for dispatching at the end of the current event. */
  markDirty(group: EndpointGroup): void {
    this.dirty.add(group);
  }

  markAllDirty(): void {
    for (const group of this.directory.groups.values()) this.dirty.add(group);
  }

  /** Calls `visit` once for each group marked since the last call. */
  visitDirtyGroups(visit: (group: EndpointGroup) => void): void {
    for (const group of this.dirty) visit(group);
    this.dirty.clear();
  }

  /** Must be called after the room or the health of an endpoint has changed. */
  onEndpointChanged(endpoint: EndpointState | undefined): void {
    if (!endpoint) return;
    endpoint.markAllowanceStale();
    this.directory.refresh(endpoint, this.nowMs);
    for (const group of this.directory.groupsOf(endpoint)) {
      this.dirty.add(group);
    }
  }

  groupOf(work: WorkState): EndpointGroup {
    return this.directory.getGroup(work.item.group);
  }

  /** Estimates the total output tokens, of which `tokens` exist already. */
  estimateLength(item: WorkItem, tokens: number): number {
    if (!this.options.longestFirst) return item.maxTokens;
    return this.lengths.estimate(item.groupKey, item.maxTokens, tokens);
  }

  /** Returns the oldest weight version that the work item currently accepts. */
  findMinVersion(work: WorkState): number {
    const {stepKey, minWeightVersion} = work.item;
    return this.stalenessBounds.findMinVersion(stepKey, minWeightVersion);
  }

  /** Whether the attempt's output is older than its current staleness bound. */
  isStale(attempt: Attempt): boolean {
    return attempt.oldestVersion < this.findMinVersion(attempt.work);
  }

  isPartialStale(work: WorkState): boolean {
    const {partial} = work;
    if (!partial) return false;
    return partial.oldestVersion < this.findMinVersion(work);
  }

  getScoreView(group: EndpointGroup): ScoreView {
    return {
      dataCentre: this.config.dataCentre,
      newestVersion: group.pool.newestVersion,
      nowMs: this.nowMs,
      speed: this.options.speedModel ? group.speed : undefined,
    };
  }
}
