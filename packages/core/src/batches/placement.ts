/**
 * Finds a place for items during one decision. Counts of runs and memory are
 * taken once and kept up to date as places are given, so that a decision costs
 * a few steps an item and engine, however much runs already.
 */

import {
  estimateFootprint,
  estimateRemaining,
  type Job,
  type OpenBatch,
  type Run,
} from './batch_job.js';
import type {EngineHealth, EngineView} from './engine_health.js';
import {computeCrowdingFactor} from '../fleet/speed_tracker.js';
import {chooseGroups, type GroupChoice} from './group_choice.js';

/** Share of an engine's memory that is planned with; estimates are often off, and a full memory restarts the newest run. */
const MEMORY_SHARE = 0.9;
/** Items of one group on one engine share their prompt there, which saves reading it again; an engine that has this many runs more is not chosen for that, as each slows all others. */
const AFFINITY_RUNS = 1;
/** A slow engine counts as this many times slower still: how slow it is now says little of how slow it will be. */
const SLOW_PENALTY = 2;
/** What it costs a run to go on elsewhere: a round trip, its text read again, and the event that was under way, ms. */
const MOVE_MS = 80;
/** A run moves for speed only if it ends this much sooner, ms, and that many times faster; predictions are off by a few in a hundred. */
const MIN_SAVED_MS = 500;
const MIN_GAIN = 1.1;

interface EngineUse {
  runs: number;
  tokens: number;
  /** Runs by batch and group. */
  readonly groups: Map<string, number>;
}

type ReadonlyUse = Readonly<Omit<EngineUse, 'groups'>> & {
  readonly groups: ReadonlyMap<string, number>;
};

/** Of an engine without runs; most engines of a large fleet have none. */
const UNUSED: ReadonlyUse = {runs: 0, tokens: 0, groups: new Map()};

export class Placement {
  /** Engines that are much slower than the others. */
  readonly slow: ReadonlySet<string>;
  private readonly uses = new Map<string, EngineUse>();
  private readonly choices = new Map<OpenBatch, GroupChoice>();
  private readonly paces = new Map<string, number>();
  /** Engines that may run the items of a batch, room aside. */
  private readonly candidates = new Map<OpenBatch, readonly EngineView[]>();

  constructor(
    private readonly engines: ReadonlyMap<string, EngineView>,
    runs: Iterable<Run>,
    private readonly engineHealth: EngineHealth,
    private readonly tokensPerEvent: number,
    private readonly nowMs: number,
  ) {
    this.slow = engineHealth.speeds.listSlow(nowMs);
    for (const run of runs) this.add(run.engineId, run.job);
  }

  getEngine(id: string): EngineView | undefined {
    return this.engines.get(id);
  }

  /** The groups of `batch` to finish first. */
  getChoice(batch: OpenBatch): GroupChoice {
    let choice = this.choices.get(batch);
    if (!choice) {
      choice = chooseGroups(batch, this.tokensPerEvent);
      this.choices.set(batch, choice);
    }
    return choice;
  }

  /** Whether the trainer of `job` waits for its group. */
  isNeeded(job: Job): boolean {
    return this.getChoice(job.batch).needed.has(job.item.group);
  }

  /** The best engine with room for `job`, if there is one. */
  pickEngine(job: Job): EngineView | undefined {
    let best: EngineView | undefined;
    let bestScore = Infinity;
    const group = createGroupKey(job);
    for (const engine of this.listCandidates(job)) {
      const use: ReadonlyUse = this.uses.get(engine.id) ?? UNUSED;
      if (use.runs >= engine.slots) continue;
      if (!this.hasMemory(engine, use, job)) continue;
      const score = this.score(engine, use, group);
      if (score >= bestScore) continue;
      best = engine;
      bestScore = score;
    }
    return best;
  }

  /** Engines that may run the items of the job's batch: the same for all of them within one decision. */
  private listCandidates(job: Job): readonly EngineView[] {
    let list = this.candidates.get(job.batch);
    if (!list) {
      list = [...this.engines.values()].filter(engine =>
        this.canTake(engine, job),
      );
      this.candidates.set(job.batch, list);
    }
    return list;
  }

  /** Whether `engine` may run `job` at all, room aside. */
  canTake(engine: EngineView, job: Job): boolean {
    const {batch, terms} = job.batch;
    if (!terms || engine.service !== terms.service) return false;
    if (engine.loading.has(batch.model)) return false;
    const version = engine.versions.get(batch.model);
    if (version === undefined || version < terms.minVersion) return false;
    return this.engineHealth.isAvailable(engine.id, batch.model, this.nowMs);
  }

  /** Another engine on which `run` would end much sooner, if there is one. */
  findFaster(run: Run): EngineView | undefined {
    const target = this.pickEngine(run.job);
    if (!target || target.id === run.engineId) return undefined;
    const hereMs = this.predictGapMs(
      run.engineId,
      this.getOrCreateUse(run.engineId).runs,
    );
    const runsThere = this.getOrCreateUse(target.id).runs + 1;
    const thereMs = this.predictGapMs(target.id, runsThere);
    const events = this.estimateRun(run) / this.tokensPerEvent;
    const savedMs = events * (hereMs - thereMs) - MOVE_MS;
    if (savedMs < MIN_SAVED_MS || hereMs < thereMs * MIN_GAIN) return undefined;
    return target;
  }

  /** Counts `run` as no longer on its engine. */
  remove(run: Run): void {
    const use = this.getOrCreateUse(run.engineId);
    const key = createGroupKey(run.job);
    const left = (use.groups.get(key) ?? 0) - 1;
    use.runs -= 1;
    use.tokens -= estimateFootprint(run.job, this.tokensPerEvent);
    // A group that has left would still draw its other items here, away from
    // the engine that its prompt moves to.
    if (left > 0) use.groups.set(key, left);
    else use.groups.delete(key);
  }

  /** Counts `job` as running on the engine. */
  add(engineId: string, job: Job): void {
    const use = this.getOrCreateUse(engineId);
    const key = createGroupKey(job);
    use.runs += 1;
    use.tokens += estimateFootprint(job, this.tokensPerEvent);
    use.groups.set(key, (use.groups.get(key) ?? 0) + 1);
  }

  /** Tokens that `run` is still expected to make. */
  estimateRun(run: Run): number {
    return estimateRemaining(run.job, this.tokensPerEvent);
  }

  /**
   * The gap between events that an item of `group` would see on the engine, ms.
   * Engines differ by as much in speed as a dozen runs make: by the number of
   * runs alone the longest items would be as late as the slowest engine.
   */
  private score(engine: EngineView, use: ReadonlyUse, group: string): number {
    const isShared = use.groups.has(group);
    const runs = use.runs + 1 - (isShared ? AFFINITY_RUNS : 0);
    return this.predictGapMs(engine.id, runs);
  }

  /** Gap between the events of each of `runs` runs on an engine, ms. */
  private predictGapMs(engineId: string, runs: number): number {
    const penalty = this.slow.has(engineId) ? SLOW_PENALTY : 1;
    return this.getPaceMs(engineId) * penalty * computeCrowdingFactor(runs);
  }

  private getPaceMs(engineId: string): number {
    let paceMs = this.paces.get(engineId);
    if (paceMs === undefined) {
      paceMs = this.engineHealth.speeds.predictGapMs(engineId, 1, this.nowMs);
      this.paces.set(engineId, paceMs);
    }
    return paceMs;
  }

  private hasMemory(engine: EngineView, use: ReadonlyUse, job: Job): boolean {
    if (use.runs === 0) return true;
    const tokens = estimateFootprint(job, this.tokensPerEvent);
    return use.tokens + tokens <= engine.kvTokens * MEMORY_SHARE;
  }

  private getOrCreateUse(engineId: string): EngineUse {
    let use = this.uses.get(engineId);
    if (!use) {
      use = {runs: 0, tokens: 0, groups: new Map()};
      this.uses.set(engineId, use);
    }
    return use;
  }
}

function createGroupKey(job: Job): string {
  return `${job.batch.batch.id} ${job.item.group}`;
}
