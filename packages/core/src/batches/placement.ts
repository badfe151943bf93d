/**
 * Assigns items to engines during one decision. Runs and memory are counted
 * once and updated with each assignment, so that a decision takes a few steps
 * per item and engine, however many runs there are.
 */

import {
  estimateFootprint,
  estimateRemaining,
  type Job,
  type OpenBatch,
  type Run,
} from './batch_job.js';
import type {EngineHealth, EngineView} from './engine_health.js';
import type {SpeedForecast} from '../fleet/speed_model.js';
import {weighVersion} from './version_preference.js';
import {chooseGroups, type GroupChoice} from './group_choice.js';
import type {
  EngineCandidate,
  ItemDemand,
  PlacementScore,
} from './placement_score.js';

/**
 * Share of an engine's memory that is used for planning. Estimates are often
 * off, and a full memory restarts the newest run.
 */
const MEMORY_SHARE = 0.9;
/**
 * Added to the cost of an engine that the item should not return to, ms: it is
 * chosen only if no other engine has room.
 */
const RETURN_PENALTY_MS = 1_000_000;

/** Engines that a job should stay away from for now. */
export interface Avoidance {
  /** Whether the engine must not get `job` yet. */
  isPaused(engineId: string, job: Job): boolean;
  /** Whether `job` should go to any other engine with room. */
  hasLeft(engineId: string, job: Job): boolean;
}

/** What a placement takes into account besides speed, room and weights. */
export interface PlacementOptions {
  /** Whether engines with newer versions are left to later steps. */
  readonly prefersOldVersions?: boolean;
  readonly avoidance?: Avoidance | undefined;
}

interface EngineUse {
  runs: number;
  tokens: number;
  /** Output events to come of the runs that a trainer waits for. */
  readonly neededEvents: number[];
  /** The largest of `neededEvents`. */
  longestEvents: number;
  /** Number of runs by batch and group. */
  readonly groups: Map<string, number>;
}

type ReadonlyUse = Readonly<Omit<EngineUse, 'groups' | 'neededEvents'>> & {
  readonly groups: ReadonlyMap<string, number>;
};

/** Use of an engine without runs, as most engines of a large fleet are. */
const UNUSED: ReadonlyUse = {
  runs: 0,
  tokens: 0,
  longestEvents: 0,
  groups: new Map(),
};

export class Placement {
  /** Engines that runs should leave, as they are much too slow. */
  readonly slow: ReadonlySet<string>;
  private readonly uses = new Map<string, EngineUse>();
  private readonly choices = new Map<OpenBatch, GroupChoice>();
  /** Output events to come of the longest needed item of each batch. */
  private readonly longestEvents = new Map<OpenBatch, number>();
  private readonly forecasts = new Map<string, SpeedForecast>();
  /**
   * Engines that may run the items of a batch, apart from free slots and
   * memory.
   */
  private readonly candidates = new Map<OpenBatch, readonly EngineView[]>();

  constructor(
    private readonly engines: ReadonlyMap<string, EngineView>,
    runs: Iterable<Run>,
    private readonly engineHealth: EngineHealth,
    private readonly tokensPerEvent: number,
    private readonly nowMs: number,
    private readonly options: PlacementOptions = {},
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

  /** Whether the trainer waits for the group of `job`. */
  isNeeded(job: Job): boolean {
    return this.getChoice(job.batch).needed.has(job.item.group);
  }

  /** Returns the best engine with room for `job` other than `exceptId`, if any. */
  pickEngine(job: Job, exceptId?: string): EngineView | undefined {
    let best: EngineView | undefined;
    let bestCost = Infinity;
    const item = this.describeItem(job);
    const group = createGroupKey(job);
    const score = this.findScore(job);
    for (const engine of this.listCandidates(job)) {
      const use: ReadonlyUse = this.uses.get(engine.id) ?? UNUSED;
      if (use.runs >= engine.slots) continue;
      if (!this.mayTakeMore(engine, job)) continue;
      if (!this.hasMemory(engine, use, job)) continue;
      if (engine.id === exceptId) continue;
      if (this.options.avoidance?.isPaused(engine.id, job)) continue;
      const candidate = this.describeCandidate(engine.id, use, group);
      const cost =
        score.computeCost(item, candidate) *
          this.weighVersion(engine, job, item) +
        this.penalizeReturn(engine, job);
      if (cost >= bestCost) continue;
      best = engine;
      bestCost = cost;
    }
    return best;
  }

  /**
   * Engines that may run the items of the job's batch; they are the same for
   * all items within one decision.
   */
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

  /** Whether `engine` may run `job`, apart from free slots and memory. */
  canTake(engine: EngineView, job: Job): boolean {
    const {batch, terms} = job.batch;
    if (!terms || engine.service !== terms.service) return false;
    if (engine.loading.has(batch.model)) return false;
    const version = engine.versions.get(batch.model);
    if (version === undefined || version < terms.minVersion) return false;
    return this.engineHealth.isAvailable(engine.id, batch.model, this.nowMs);
  }

  /** Whether `job` may run where `run` does, apart from free slots and memory. */
  canReplace(run: Run, job: Job): boolean {
    const engine = this.engines.get(run.engineId);
    if (!engine || !this.canTake(engine, job)) return false;
    return !this.options.avoidance?.isPaused(engine.id, job);
  }

  /** Whether the engine of `run` has the memory for `job` once `run` has left. */
  fitsInPlaceOf(run: Run, job: Job): boolean {
    const engine = this.engines.get(run.engineId);
    if (!engine) return false;
    const {runs, tokens} = this.uses.get(engine.id) ?? UNUSED;
    const freed = estimateFootprint(run.job, this.tokensPerEvent);
    const left = {runs: runs - 1, tokens: tokens - freed};
    return this.hasMemory(engine, left, job);
  }

  /** Returns another engine on which `run` would end much sooner, if any. */
  findFaster(run: Run): EngineView | undefined {
    const target = this.pickEngine(run.job);
    if (!target || target.id === run.engineId) return undefined;
    const item = this.describeItem(run.job);
    const group = createGroupKey(run.job);
    const [here, there] = [run.engineId, target.id].map(id =>
      this.describeCandidate(id, this.getOrCreateUse(id), group),
    );
    return this.findScore(run.job).isWorthMoving(item, here, there)
      ? target
      : undefined;
  }

  /** Stops counting `run` on its engine. */
  remove(run: Run): void {
    const use = this.getOrCreateUse(run.engineId);
    const key = createGroupKey(run.job);
    const left = (use.groups.get(key) ?? 0) - 1;
    use.runs -= 1;
    use.tokens -= estimateFootprint(run.job, this.tokensPerEvent);
    // A group without runs here must be deleted: it would attract its other
    // items to this engine, away from the one that its prompt moves to.
    if (left > 0) use.groups.set(key, left);
    else use.groups.delete(key);
    if (this.countsLength(run.job))
      removeEvents(use, this.estimateEvents(run.job));
  }

  /** Counts `job` as running on the engine. */
  add(engineId: string, job: Job): void {
    const use = this.getOrCreateUse(engineId);
    const key = createGroupKey(job);
    use.runs += 1;
    use.tokens += estimateFootprint(job, this.tokensPerEvent);
    use.groups.set(key, (use.groups.get(key) ?? 0) + 1);
    if (this.countsLength(job)) addEvents(use, this.estimateEvents(job));
  }

  /** Estimates how many more tokens `run` will generate. */
  estimateRun(run: Run): number {
    return estimateRemaining(run.job, this.tokensPerEvent);
  }

  private findScore({batch}: Job): PlacementScore {
    return this.engineHealth.findScore(batch.terms?.service);
  }

  private describeItem(job: Job): ItemDemand {
    return {
      events: this.estimateEvents(job),
      promptTokens: job.item.promptTokens,
      urgency: this.computeUrgency(job),
    };
  }

  private computeUrgency(job: Job): number {
    if (!this.findScore(job).usesLengths) return 1;
    const longestEvents = this.findLongestEvents(job.batch);
    return Math.min(this.estimateEvents(job) / longestEvents, 1);
  }

  private findLongestEvents(batch: OpenBatch): number {
    let longest = this.longestEvents.get(batch);
    if (longest === undefined) {
      const {needed} = this.getChoice(batch);
      longest = 1;
      for (const job of batch.jobs.values()) {
        if (job.state === 'finished' || !needed.has(job.item.group)) continue;
        longest = Math.max(longest, this.estimateEvents(job));
      }
      this.longestEvents.set(batch, longest);
    }
    return longest;
  }

  private countsLength(job: Job): boolean {
    return this.findScore(job).usesLengths && this.isNeeded(job);
  }

  private estimateEvents(job: Job): number {
    return estimateRemaining(job, this.tokensPerEvent) / this.tokensPerEvent;
  }

  private describeCandidate(
    engineId: string,
    use: ReadonlyUse,
    group: string,
  ): EngineCandidate {
    return {
      load: use,
      speed: this.getForecast(engineId),
      isSlow: this.slow.has(engineId),
      isPromptShared: use.groups.has(group),
    };
  }

  private getForecast(engineId: string): SpeedForecast {
    let forecast = this.forecasts.get(engineId);
    if (!forecast) {
      forecast = this.engineHealth.speeds.forecast(engineId, this.nowMs);
      this.forecasts.set(engineId, forecast);
    }
    return forecast;
  }

  private weighVersion(
    {versions}: EngineView,
    {batch}: Job,
    {urgency}: ItemDemand,
  ): number {
    if (!this.options.prefersOldVersions) return 1;
    const version = versions.get(batch.batch.model);
    return weighVersion(version, batch.terms?.minVersion ?? 0, urgency);
  }

  private penalizeReturn({id}: EngineView, job: Job): number {
    const isReturn = this.options.avoidance?.hasLeft(id, job) ?? false;
    return isReturn ? RETURN_PENALTY_MS : 0;
  }

  /** Whether the engine, if it has just loaded, may get a further item. */
  private mayTakeMore({id}: EngineView, {batch}: Job): boolean {
    const {readiness} = this.engineHealth;
    return readiness.mayTake(id, batch.batch.model, this.nowMs);
  }

  private hasMemory(
    engine: EngineView,
    {runs, tokens}: Pick<ReadonlyUse, 'runs' | 'tokens'>,
    job: Job,
  ): boolean {
    if (runs === 0) return true;
    const added = estimateFootprint(job, this.tokensPerEvent);
    return tokens + added <= engine.kvTokens * MEMORY_SHARE;
  }

  private getOrCreateUse(engineId: string): EngineUse {
    let use = this.uses.get(engineId);
    if (!use) {
      use = {
        runs: 0,
        tokens: 0,
        neededEvents: [],
        longestEvents: 0,
        groups: new Map(),
      };
      this.uses.set(engineId, use);
    }
    return use;
  }
}

function addEvents(use: EngineUse, events: number): void {
  use.neededEvents.push(events);
  use.longestEvents = Math.max(use.longestEvents, events);
}

function removeEvents(use: EngineUse, events: number): void {
  const index = use.neededEvents.indexOf(events);
  if (index >= 0) use.neededEvents.splice(index, 1);
  use.longestEvents = Math.max(0, ...use.neededEvents);
}

function createGroupKey(job: Job): string {
  return `${job.batch.batch.id} ${job.item.group}`;
}
