/**
 * Tracks where each waiting work item is: in its group's queue, quarantined,
 * parked for lack of an eligible endpoint, delayed for a retry, or held by the cap
 * of its tenant or step.
 */

import type {EndpointGroup} from './endpoint_directory.js';
import {RunCap} from './run_cap.js';
import type {SchedulerState} from './scheduler_state.js';
import type {WorkState} from './work_state.js';
import {WorkTimers} from './work_timers.js';

/**
 * Parked work items of a group that are queued again per scan; a large step may
 * be parked completely.
 */
const MAX_UNPARKED_PER_SCAN = 200;

export class WorkQueues {
  private readonly delayed = new WorkTimers();
  private readonly tenantCap = new RunCap();
  private readonly stepCap = new RunCap();

  constructor(private readonly state: SchedulerState) {}

  enqueue(work: WorkState): void {
    const group = this.state.groupOf(work);
    const {item} = work;
    work.setExpectedTokens(
      this.state.estimateLength(item, work.partial?.tokens ?? 0),
    );
    if (this.state.suspects.classify(item.fingerprint) !== 'none') {
      work.phase = 'quarantined';
      group.quarantined.push(work);
    } else {
      work.phase = 'queued';
      group.queues[item.workClass].push(work);
    }
    this.state.markDirty(group);
  }

  /**
   * Holds the work item and returns true if its tenant's or step's cap is
   * reached.
   */
  holdIfCapped(work: WorkState): boolean {
    const {maxInFlight, stepKey} = work.item;
    const tenantRunning = this.tenantCap.countRunning(work.tenant);
    if (maxInFlight !== undefined && tenantRunning >= maxInFlight) {
      work.phase = 'held_by_tenant';
      this.tenantCap.hold(work.tenant, work);
      return true;
    }
    if (stepKey === '' || this.measureStepRoom(stepKey) > 0) return false;
    work.phase = 'held_by_step';
    this.stepCap.hold(stepKey, work);
    return true;
  }

  /** Parks a work item that no endpoint with room can serve. */
  park(group: EndpointGroup, work: WorkState): void {
    work.phase = 'parked';
    group.parked.push(work);
  }

  /** Queues the work item after `waitMs`, or immediately if it is 0. */
  delay(work: WorkState, waitMs: number): void {
    if (waitMs <= 0) return this.enqueue(work);
    work.phase = 'delayed';
    work.notBeforeMs = this.state.nowMs + waitMs;
    this.delayed.add(work, work.notBeforeMs);
  }

  /** Removes the work item from wherever it waits. */
  remove(work: WorkState): void {
    const group = this.state.groupOf(work);
    switch (work.phase) {
      case 'queued':
        group.queues[work.item.workClass].remove(work);
        return;
      case 'held_by_tenant':
        return this.tenantCap.remove(work.tenant, work);
      case 'held_by_step':
        return this.stepCap.remove(work.item.stepKey, work);
      case 'parked':
        group.parked = group.parked.filter(other => other !== work);
        return;
      case 'quarantined':
        group.quarantined = group.quarantined.filter(other => other !== work);
        return;
      case 'delayed':
      case 'running':
      case 'over':
        return;
    }
  }

  /** Counts an attempt of the work item as running. */
  recordStart(work: WorkState): void {
    const {stepKey} = work.item;
    this.tenantCap.recordStart(work.tenant);
    if (stepKey !== '') this.stepCap.recordStart(stepKey);
  }

  /**
   * Counts an attempt as ended and queues the next work item that waits for its
   * tenant's cap and the next that waits for its step's cap.
   */
  recordEnd(work: WorkState): void {
    const {tenant, stepKey} = work.item;
    this.tenantCap.recordEnd(tenant);
    const tenantNext = this.tenantCap.release(tenant);
    if (tenantNext) this.enqueue(tenantNext);
    if (stepKey === '') return;
    this.stepCap.recordEnd(stepKey);
    const stepNext = this.stepCap.release(stepKey);
    if (stepNext) this.enqueue(stepNext);
  }

  releaseDelayed(): void {
    const {nowMs} = this.state;
    for (const work of this.delayed.takeDue(nowMs)) {
      if (work.phase === 'delayed' && work.notBeforeMs <= nowMs) {
        this.enqueue(work);
      }
    }
  }

  /** Queues parked work items whose minimum weight version the group now has. */
  releaseParked(group: EndpointGroup): void {
    if (group.parked.length === 0) return;
    let room = MAX_UNPARKED_PER_SCAN;
    const {parked} = group;
    group.parked = [];
    for (const work of parked) {
      const minVersion = this.state.findMinVersion(work);
      if (room === 0 || minVersion > group.pool.newestVersion) {
        group.parked.push(work);
        continue;
      }
      room--;
      this.enqueue(work);
    }
  }

  /** Updates the target of each step and queues held samples within it. */
  updateStepTargets(): void {
    const {pace} = this.state;
    for (const stepKey of pace.stepKeys) {
      const [work] = pace.listWorkItems(stepKey);
      pace.updateTarget(stepKey, this.state.groupOf(work).pool.usableCount);
      this.releaseStep(stepKey);
    }
  }

  private releaseStep(stepKey: string): void {
    for (let room = this.measureStepRoom(stepKey); room > 0; room--) {
      const work = this.stepCap.release(stepKey);
      if (!work) return;
      this.enqueue(work);
    }
  }

  private measureStepRoom(stepKey: string): number {
    const target = this.state.pace.targetOf(stepKey);
    return target - this.stepCap.countRunning(stepKey);
  }
}
