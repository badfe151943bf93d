/** Stores timers of work items and returns those that are due. */

import {BinaryHeap} from './binary_heap.js';
import type {WorkState} from './work_state.js';

/** Number of timers below which those of ended work items are not pruned. */
const MIN_PRUNED_TIMERS = 1000;

interface WorkTimer {
  readonly atMs: number;
  readonly work: WorkState;
}

export class WorkTimers {
  private readonly timers = new BinaryHeap<WorkTimer>(
    (a, b) => a.atMs < b.atMs,
  );
  private pruneAt = MIN_PRUNED_TIMERS;

  add(work: WorkState, atMs: number): void {
    this.timers.push({atMs, work});
    if (this.timers.size >= this.pruneAt) this.prune();
  }

  /** Removes due timers and returns their work items; some may have ended. */
  takeDue(nowMs: number): readonly WorkState[] {
    const due: WorkState[] = [];
    while (this.timers.size > 0 && this.timers.peek()!.atMs <= nowMs) {
      due.push(this.timers.pop()!.work);
    }
    return due;
  }

  /** Removes timers of ended work items, as most end long before their deadline. */
  private prune(): void {
    this.timers.retain(timer => timer.work.phase !== 'over');
    this.pruneAt = Math.max(MIN_PRUNED_TIMERS, 2 * this.timers.size);
  }
}
