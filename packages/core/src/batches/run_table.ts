/** The runs that go on, with their number on each engine. */

import type {Run} from './batch_job.js';

export class RunTable {
  private readonly runs = new Map<string, Run>();
  private readonly counts = new Map<string, number>();

  add(run: Run): void {
    this.runs.set(run.id, run);
    this.counts.set(run.engineId, this.countAt(run.engineId) + 1);
  }

  /** False if the run was over before. */
  delete(run: Run): boolean {
    if (!this.runs.delete(run.id)) return false;
    const left = this.countAt(run.engineId) - 1;
    if (left > 0) this.counts.set(run.engineId, left);
    else this.counts.delete(run.engineId);
    return true;
  }

  has(run: Run): boolean {
    return this.runs.has(run.id);
  }

  values(): Iterable<Run> {
    return this.runs.values();
  }

  countAt(engineId: string): number {
    return this.counts.get(engineId) ?? 0;
  }

  /** Runs of `model` on an engine. */
  countModelAt(engineId: string, model: string): number {
    let count = 0;
    for (const run of this.runs.values()) {
      if (run.engineId !== engineId) continue;
      if (run.job.batch.batch.model === model) count += 1;
    }
    return count;
  }
}
