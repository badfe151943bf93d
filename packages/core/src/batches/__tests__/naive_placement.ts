/**
 * The plain rule of placing: the engine with room on which the gap between
 * events is shortest, whatever the lengths of runs.
 */

import {
  computeCrowdingFactor,
  type SpeedTracker,
} from '../../fleet/speed_tracker.js';
import {estimateFootprint, estimateRemaining, type Job} from '../batch_job.js';
import type {EngineView} from '../engine_health.js';

export interface PlacedJob {
  readonly engineId: string;
  readonly job: Job;
}

export class NaivePlacement {
  private readonly slow: ReadonlySet<string>;

  constructor(
    private readonly engines: readonly EngineView[],
    private readonly placed: readonly PlacedJob[],
    private readonly speeds: SpeedTracker,
    private readonly nowMs: number,
  ) {
    this.slow = speeds.listSlow(nowMs);
  }

  pickEngine(job: Job): EngineView | undefined {
    let best: EngineView | undefined;
    for (const engine of this.engines) {
      if (!this.hasRoom(engine, job)) continue;
      if (best && this.score(engine, job) >= this.score(best, job)) continue;
      best = engine;
    }
    return best;
  }

  findFaster({engineId, job}: PlacedJob): EngineView | undefined {
    const target = this.pickEngine(job);
    if (!target || target.id === engineId) return undefined;
    const hereMs = this.predictGapMs(engineId, this.listJobs(engineId).length);
    const runsThere = this.listJobs(target.id).length + 1;
    const thereMs = this.predictGapMs(target.id, runsThere);
    const savedMs = estimateRemaining(job, 1) * (hereMs - thereMs) - 80;
    if (savedMs < 500 || hereMs < thereMs * 1.1) return undefined;
    return target;
  }

  private listJobs(engineId: string): readonly Job[] {
    return this.placed
      .filter(run => run.engineId === engineId)
      .map(({job}) => job);
  }

  private hasRoom(engine: EngineView, job: Job): boolean {
    const jobs = this.listJobs(engine.id);
    if (jobs.length >= engine.slots) return false;
    if (jobs.length === 0) return true;
    const tokens = [...jobs, job].map(each => estimateFootprint(each, 1));
    return tokens.reduce((a, b) => a + b) <= engine.kvTokens * 0.9;
  }

  private score(engine: EngineView, job: Job): number {
    const jobs = this.listJobs(engine.id);
    const isShared = jobs.some(({item}) => item.group === job.item.group);
    return this.predictGapMs(engine.id, jobs.length + (isShared ? 0 : 1));
  }

  private predictGapMs(engineId: string, runs: number): number {
    const penalty = this.slow.has(engineId) ? 2 : 1;
    return (
      this.speeds.predictGapMs(engineId, 1, this.nowMs) *
      penalty *
      computeCrowdingFactor(runs)
    );
  }
}
