/** Works by the time at which something is due for them. */

import {BinaryHeap} from './binary_heap.js';
import type {WorkState} from './work_state.js';

/** Timers kept before those of ended works are looked for. */
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

  /** Takes out what is due; among it may be works that have ended. */
  takeDue(nowMs: number): readonly WorkState[] {
    const due: WorkState[] = [];
    while (this.timers.size > 0 && this.timers.peek()!.atMs <= nowMs) {
      due.push(this.timers.pop()!.work);
    }
    return due;
  }

  /** Works end long before their deadlines, and their timers stay behind. */
  private prune(): void {
    this.timers.retain(timer => timer.work.phase !== 'over');
    this.pruneAt = Math.max(MIN_PRUNED_TIMERS, 2 * this.timers.size);
  }
}
