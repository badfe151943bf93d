/** Holds back works while as many of their kind run as may. */

import type {WorkState} from './work_state.js';

/** Counts running works by a key and keeps those that wait for one to end. */
export class RunCap {
  private readonly running = new Map<string, number>();
  private readonly held = new Map<string, WorkState[]>();

  countRunning(key: string): number {
    return this.running.get(key) ?? 0;
  }

  noteStart(key: string): void {
    this.running.set(key, this.countRunning(key) + 1);
  }

  noteEnd(key: string): void {
    const left = this.countRunning(key) - 1;
    if (left > 0) this.running.set(key, left);
    else this.running.delete(key);
  }

  /** Keeps a work; one that was begun before is the next to be released. */
  hold(key: string, work: WorkState): void {
    const works = this.held.get(key);
    if (!works) this.held.set(key, [work]);
    else if (work.begun) works.unshift(work);
    else works.push(work);
  }

  /** Takes out the next held work, if any. */
  release(key: string): WorkState | undefined {
    const works = this.held.get(key);
    const next = works?.shift();
    if (works?.length === 0) this.held.delete(key);
    return next;
  }

  remove(key: string, work: WorkState): void {
    const works = this.held.get(key)?.filter(other => other !== work);
    if (!works || works.length === 0) this.held.delete(key);
    else this.held.set(key, works);
  }
}
