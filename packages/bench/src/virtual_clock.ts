/** A simulated clock that jumps from one scheduled event to the next. */

import {BinaryHeap} from '@radishyoke/core/scheduling/binary_heap';

interface ScheduledEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

export class VirtualClock {
  nowMs = 0;
  private nextSequence = 0;
  private readonly events = new BinaryHeap<ScheduledEvent>((a, b) =>
    a.atMs === b.atMs ? a.sequence < b.sequence : a.atMs < b.atMs,
  );

  scheduleAt(atMs: number, run: () => void): void {
    this.events.push({
      atMs: Math.max(atMs, this.nowMs),
      sequence: this.nextSequence++,
      run,
    });
  }

  scheduleAfter(delayMs: number, run: () => void): void {
    this.scheduleAt(this.nowMs + delayMs, run);
  }

  scheduleEvery(periodMs: number, run: () => void): void {
    this.scheduleAfter(periodMs, () => {
      run();
      this.scheduleEvery(periodMs, run);
    });
  }

  /** Runs events until `isOver` returns true or the next one is after `untilMs`. */
  run(untilMs: number, isOver: () => boolean): void {
    while (!isOver()) {
      const next = this.events.pop();
      if (!next || next.atMs > untilMs) return;
      this.nowMs = next.atMs;
      next.run();
    }
  }
}
