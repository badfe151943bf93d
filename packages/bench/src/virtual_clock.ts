/** A clock that jumps from one due event to the next. */

import {BinaryHeap} from '@radishyoke/core/scheduling/binary_heap';

interface Due {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

export class VirtualClock {
  nowMs = 0;
  private order = 0;
  private readonly due = new BinaryHeap<Due>((a, b) =>
    a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs,
  );

  at(atMs: number, run: () => void): void {
    this.due.push({atMs: Math.max(atMs, this.nowMs), order: this.order++, run});
  }

  after(delayMs: number, run: () => void): void {
    this.at(this.nowMs + delayMs, run);
  }

  every(periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run();
      this.every(periodMs, run);
    });
  }

  /** Runs until `isOver` or `untilMs`, whichever is first. */
  run(untilMs: number, isOver: () => boolean): void {
    while (!isOver()) {
      const next = this.due.pop();
      if (!next || next.atMs > untilMs) return;
      this.nowMs = next.atMs;
      next.run();
    }
  }
}
