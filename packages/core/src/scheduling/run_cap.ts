/** Limits how many work items with the same key run at once. */

import type {WorkState} from './work_state.js';

/** Counts running attempts by key and stores work items held by the limit. */
export class RunCap {
  private readonly running = new Map<string, number>();
  private readonly waiting = new Map<string, WorkState[]>();

  countRunning(key: string): number {
    return this.running.get(key) ?? 0;
  }

  recordStart(key: string): void {
    this.running.set(key, this.countRunning(key) + 1);
  }

  recordEnd(key: string): void {
    const remaining = this.countRunning(key) - 1;
    if (remaining > 0) this.running.set(key, remaining);
    else this.running.delete(key);
  }

  /** Stores a work item; one that was started before is released first. */
  hold(key: string, work: WorkState): void {
    const queue = this.waiting.get(key);
    if (!queue) this.waiting.set(key, [work]);
    else if (work.isStarted) queue.unshift(work);
    else queue.push(work);
  }

  /** Removes and returns the next waiting work item, if any. */
  release(key: string): WorkState | undefined {
    const queue = this.waiting.get(key);
    const next = queue?.shift();
    if (queue?.length === 0) this.waiting.delete(key);
    return next;
  }

  remove(key: string, work: WorkState): void {
    const queue = this.waiting.get(key)?.filter(other => other !== work);
    if (!queue || queue.length === 0) this.waiting.delete(key);
    else this.waiting.set(key, queue);
  }
}
