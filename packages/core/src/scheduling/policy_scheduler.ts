/**
 * Implements the default scheduler: fair queues per endpoint group, adaptive concurrency
 * limits, endpoints compared by expected completion time, retries by a fixed
 * table, straggler migration, and staleness bounds enforced from queueing to
 * delivery. This module routes each event to the part that handles it.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import {findRefusal} from './admission.js';
import {AttemptTable} from './attempt_table.js';
import type {EndpointGroup} from './endpoint_directory.js';
import {EndpointState} from './endpoint_state.js';
import {DEFAULT_POLICY, PolicyOptions} from './policy_options.js';
import type {RandomBits} from './random_bits.js';
import {
  EndpointStatus,
  Scheduler,
  SchedulerAction,
  SchedulerConfig,
  SchedulerEvent,
  WorkItem,
} from './scheduler.js';
import {SchedulerState} from './scheduler_state.js';
import {StragglerScan} from './straggler_scan.js';
import {WorkDispatcher} from './work_dispatcher.js';
import {WorkCompletion} from './work_completion.js';
import {WorkQueues} from './work_queues.js';
import {WorkState} from './work_state.js';

/** Interval of the scan for stragglers and parked work items, ms. */
const STRAGGLER_SCAN_MS = 250;

export class PolicyScheduler extends Scheduler {
  private readonly state: SchedulerState;
  private readonly queues: WorkQueues;
  private readonly attempts: AttemptTable;
  private readonly completion: WorkCompletion;
  private readonly dispatcher: WorkDispatcher;
  private readonly stragglers: StragglerScan;
  private scannedAtMs = 0;

  /** `random` is the source of bits for picking candidate endpoints. */
  constructor(
    private readonly config: SchedulerConfig,
    random: RandomBits,
    private readonly options: PolicyOptions = DEFAULT_POLICY,
  ) {
    super();
    const state = new SchedulerState(config, options, random);
    this.state = state;
    this.queues = new WorkQueues(state);
    this.attempts = new AttemptTable(state, this.queues);
    this.completion = new WorkCompletion(state, this.queues, this.attempts);
    this.dispatcher = new WorkDispatcher(
      state,
      this.queues,
      this.attempts,
      this.completion,
    );
    this.stragglers = new StragglerScan(
      state,
      this.attempts,
      this.completion,
      this.dispatcher,
    );
  }

  handle(event: SchedulerEvent, nowMs: number): readonly SchedulerAction[] {
    this.state.beginEvent(nowMs);
    this.applyEvent(event);
    this.state.visitDirtyGroups(group => this.dispatcher.dispatch(group));
    return this.state.emittedActions;
  }

  countWorkItems(): number {
    return this.state.workItems.size;
  }

  listEndpoints(): readonly EndpointStatus[] {
    const {directory, nowMs} = this.state;
    return [...directory.endpoints.values()].map(endpoint => ({
      id: endpoint.id,
      group: endpoint.info.group,
      inFlight: endpoint.inFlight,
      limit: endpoint.limit.limit,
      usable: endpoint.health.isUsable(nowMs),
      weightVersion: endpoint.weightVersion,
    }));
  }

  private applyEvent(event: SchedulerEvent): void {
    const {state} = this;
    const {directory, nowMs} = state;
    switch (event.kind) {
      case 'endpoints':
        directory.setEndpoints(event.endpoints, nowMs);
        return state.markAllDirty();
      case 'groups':
        directory.setNamedGroups(event.groups, nowMs);
        return state.markAllDirty();
      case 'vms':
        directory.setVms(event.vms, nowMs);
        return state.markAllDirty();
      case 'load':
        return state.onEndpointChanged(
          directory.recordReport(event.report, nowMs),
        );
      case 'peer_load':
        directory.recordPeerLoad(event.vm, event.inFlight, nowMs);
        return state.markAllDirty();
      case 'cache':
        return directory.recordCache(
          event.endpoint,
          event.prefixKey,
          event.cached,
        );
      case 'suspects':
        return state.suspects.recordReportedCrash(event.fingerprints, nowMs);
      case 'min_version':
        return this.completion.raiseMinVersion(
          event.stepKey,
          event.minWeightVersion,
        );
      case 'enqueue':
        return this.enqueue(event.work);
      case 'adopt':
        return this.adopt(event.work, event.attempt, event.endpoint);
      case 'progress': {
        const attempt = this.attempts.find(event.workId, event.attempt);
        if (!attempt) return;
        const {tokens, weightVersion} = event;
        return this.attempts.recordProgress(attempt, tokens, weightVersion);
      }
      case 'ended': {
        const attempt = this.attempts.find(event.workId, event.attempt);
        return attempt && this.completion.onAttemptEnd(attempt, event.outcome);
      }
      case 'cancel': {
        const work = state.workItems.get(event.workId);
        return work && this.completion.cancel(work);
      }
      case 'tick':
        return this.tick();
    }
  }

  // Admission

  private enqueue(item: WorkItem): void {
    if (this.state.workItems.has(item.id)) return;
    const group = this.state.directory.getGroup(item.group);
    const work = new WorkState(item, this.state.estimateLength(item, 0));
    const refusal = this.findRefusal(work, group);
    if (refusal) {
      this.state.emit({kind: 'give_up', workId: item.id, error: refusal});
      return;
    }
    this.addWork(work);
    this.queues.enqueue(work);
    // The samples of a step arrive one by one. If the first ones started
    // immediately, the longest might find all endpoints occupied.
    if (this.options.gathering && item.stepKey !== '') group.isGathering = true;
  }

  private findRefusal(
    work: WorkState,
    group: EndpointGroup,
  ): RadishyokeError | undefined {
    const {suspects, pace, nowMs} = this.state;
    const suspicion = suspects.classify(work.item.fingerprint);
    if (suspicion === 'convicted') return createError('suspect_request');
    return findRefusal(work, group, pace.isOpen(work.item.stepKey), nowMs);
  }

  /** Registers a work item that another VM has started on an endpoint. */
  private adopt(item: WorkItem, number: number, id: EndpointId): void {
    if (this.state.workItems.has(item.id)) return;
    const work = new WorkState(item, this.state.estimateLength(item, 0));
    this.addWork(work);
    work.attempts = number;
    // Another VM made the earlier attempts; all of them are assumed sent.
    work.sentAttempts = number;
    this.attempts.open(work, this.findOrCreateEndpoint(id, item.group), number);
  }

  /** Returns the endpoint, or a placeholder if it is no longer listed. */
  private findOrCreateEndpoint(id: EndpointId, group: string): EndpointState {
    return (
      this.state.directory.endpoints.get(id) ??
      new EndpointState({
        id,
        kind: 'engine',
        address: '',
        dataCentre: this.config.dataCentre,
        group,
        state: 'leaving',
        checksFencing: false,
      })
    );
  }

  private addWork(work: WorkState): void {
    const {id, stepKey} = work.item;
    this.state.workItems.set(id, work);
    this.completion.watchDeadline(work);
    if (stepKey !== '') this.state.pace.add(stepKey, work);
  }

  // Time

  private tick(): void {
    const {directory, nowMs} = this.state;
    this.queues.releaseDelayed();
    this.endGathering();
    this.completion.expireDue();
    for (const endpoint of directory.refreshSuspected(nowMs)) {
      this.state.onEndpointChanged(endpoint);
    }
    if (nowMs - this.scannedAtMs < STRAGGLER_SCAN_MS) return;
    this.scannedAtMs = nowMs;
    this.queues.updateStepTargets();
    for (const group of directory.groups.values()) {
      this.queues.releaseParked(group);
      this.stragglers.scan(group);
    }
  }

  private endGathering(): void {
    for (const group of this.state.directory.groups.values()) {
      if (!group.isGathering) continue;
      group.isGathering = false;
      this.queues.updateStepTargets();
      this.state.markDirty(group);
    }
  }
}
