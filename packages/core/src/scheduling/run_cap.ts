/** Holds back works while as many of their kind run as may. */

import type {WorkState} from './work_state.js';

/** Counts running works by a key and keeps those that wait for one to end. */
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

  /** Keeps a work; one that was begun before is the next to be released. */
  hold(key: string, work: WorkState): void {
    const works = this.waiting.get(key);
    if (!works) this.waiting.set(key, [work]);
    else if (work.isStarted) works.unshift(work);
    else works.push(work);
  }

  /** Takes out the next held work, if any. */
  release(key: string): WorkState | undefined {
    const works = this.waiting.get(key);
    const next = works?.shift();
    if (works?.length === 0) this.waiting.delete(key);
    return next;
  }

  remove(key: string, work: WorkState): void {
    const works = this.waiting.get(key)?.filter(other => other !== work);
    if (!works || works.length === 0) this.waiting.delete(key);
    else this.waiting.set(key, works);
  }
}
