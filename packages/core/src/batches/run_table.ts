/** Stores the current runs and counts them by engine and model. */

import type {Run} from './batch_job.js';

export class RunTable {
  private readonly runs = new Map<string, Run>();
  /** Runs by engine, then by model. */
  private readonly counts = new Map<string, Map<string, number>>();

  add(run: Run): void {
    this.runs.set(run.id, run);
    this.count(run, 1);
  }

  /** Returns false if the run had already been removed. */
  delete(run: Run): boolean {
    if (!this.runs.delete(run.id)) return false;
    this.count(run, -1);
    return true;
  }

  has(run: Run): boolean {
    return this.runs.has(run.id);
  }

  values(): Iterable<Run> {
    return this.runs.values();
  }

  countAt(engineId: string): number {
    let sum = 0;
    for (const count of this.counts.get(engineId)?.values() ?? []) sum += count;
    return sum;
  }

  /** Number of runs of `model` on an engine. */
  countModelAt(engineId: string, model: string): number {
    return this.counts.get(engineId)?.get(model) ?? 0;
  }

  private count({engineId, job}: Run, change: 1 | -1): void {
    const {model} = job.batch.batch;
    const models = this.counts.get(engineId) ?? new Map<string, number>();
    this.counts.set(engineId, models);
    const count = (models.get(model) ?? 0) + change;
    if (count > 0) models.set(model, count);
    else models.delete(model);
    if (models.size === 0) this.counts.delete(engineId);
  }
}
