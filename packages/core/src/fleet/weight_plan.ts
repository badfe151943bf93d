/**
 * Decides which engines load a new version of a model, and when.
 *
 * A load pauses an engine's runs of the model for about a second and empties
 * its cache. A step may also use the previous version, so versions rotate over
 * the engines: each new one is loaded by a share of them, those whose weights
 * are too old for the next step. Engines with the previous version continue
 * undisturbed, and a step can use twice as many engines as load each version.
 */

import {pickParallel} from './parallel_loads.js';

/** An engine, with regard to one model. */
export interface LoadCandidate {
  readonly id: string;
  /** Its current version of the model. */
  readonly version: number;
  /** Version of the model that it is loading, if any. */
  readonly loadingVersion?: number | undefined;
  /**
   * Whether it cannot be ordered now: it is executing an order for some model, or
   * may just have received one from another VM.
   */
  readonly isBusy: boolean;
  /** Whether it responds and is not slow. */
  readonly isHealthy: boolean;
  /** Number of generations of the model that run on it. */
  readonly running: number;
  /** Number of further generations that it could run. */
  readonly free: number;
  /** Predicted event gap of a further run, ms. */
  readonly gapMs: number;
}

/** Demand of the open batches of a model. */
export interface VersionNeed {
  /** Newest version that was published. */
  readonly newest: number;
  /** Greatest minimum version of all open batches; 0 without any. */
  readonly minVersion: number;
  /** Items that wait for an engine. */
  readonly waiting: number;
  /** Number of engines that should have the newest version. */
  readonly share: number;
  /**
   * Whether engines that serve the open steps may load together as long as the
   * others have room. Absent: one at a time.
   */
  readonly isCapacityContended?: boolean;
}

/**
 * Returns how many engines of a service load each version of a model; models
 * get equal shares.
 */
export function computeShare(
  engineCount: number,
  modelCount: number,
  minPerModel: number,
): number {
  const part = Math.floor(engineCount / Math.max(modelCount, 1));
  return Math.min(Math.max(part, minPerModel), engineCount);
}

/**
 * Picks the engines of one model that should load the newest version now.
 *
 * @param maxNewLoads Number of loads that may start in addition to those of
 *     other models.
 */
export function pickLoads(
  candidates: readonly LoadCandidate[],
  need: VersionNeed,
  maxNewLoads: number,
): readonly string[] {
  const usable = chooseUsable(candidates);
  const missing = need.share - usable.filter(c => isNewest(c, need)).length;
  if (missing <= 0 || maxNewLoads <= 0) return [];
  const outdated = usable.filter(c => !c.isBusy && !isNewest(c, need));
  const maxCount = Math.min(missing, maxNewLoads);
  const picked = need.isCapacityContended
    ? pickContended(outdated, usable, need, maxCount)
    : pickCautious(outdated, usable, need).slice(0, maxCount);
  return picked.map(({id}) => id);
}

/** Picks the engines that are too old, or one of the others if none is. */
function pickCautious(
  outdated: readonly LoadCandidate[],
  usable: readonly LoadCandidate[],
  need: VersionNeed,
): readonly LoadCandidate[] {
  const tooOld = outdated.filter(c => !isRecentEnough(c, need));
  if (tooOld.length > 0) return tooOld.sort(compareTooOld);
  return pickReplaceable(outdated, usable, need);
}

/** Picks the engines that are too old, then others as long as there is room. */
function pickContended(
  outdated: readonly LoadCandidate[],
  usable: readonly LoadCandidate[],
  need: VersionNeed,
  maxCount: number,
): readonly LoadCandidate[] {
  const ranked = [...outdated].sort(compareTooOld);
  const tooOld = ranked.filter(c => !isRecentEnough(c, need));
  const first = tooOld.slice(0, maxCount);
  const recent = ranked.filter(c => isRecentEnough(c, need));
  const others = usable.map(c =>
    first.includes(c) ? {...c, loadingVersion: need.newest} : c,
  );
  const more = pickParallel(recent, others, need, maxCount - first.length);
  return [...first, ...more];
}

/** The engines and demand of one model, for comparison with other models. */
export interface ModelPlan {
  readonly model: string;
  readonly candidates: readonly LoadCandidate[];
  readonly need: VersionNeed;
}

/** A load to be started. */
export interface PlannedLoad {
  readonly engineId: string;
  readonly plan: ModelPlan;
}

/**
 * Plans the loads of all models of a service while capacity is contended. One
 * engine after another is given to the model whose next step has the fewest, so
 * that models whose versions come together all get some of the first loads.
 *
 * @param maxNewLoads Number of loads that may start, over all models.
 */
export function planLoads(
  plans: readonly ModelPlan[],
  maxNewLoads: number,
): readonly PlannedLoad[] {
  const planned: PlannedLoad[] = [];
  let current = plans;
  while (planned.length < maxNewLoads) {
    const load = findNextLoad(current);
    if (!load) break;
    planned.push(load);
    current = current.map(plan => applyLoad(plan, load));
  }
  return planned;
}

function findNextLoad(plans: readonly ModelPlan[]): PlannedLoad | undefined {
  const ranked = [...plans].sort(
    (a, b) =>
      Number(isStuck(b)) - Number(isStuck(a)) ||
      countNewest(a) - countNewest(b),
  );
  for (const plan of ranked) {
    const [engineId] = pickLoads(plan.candidates, plan.need, 1);
    if (engineId !== undefined) return {engineId, plan};
  }
  return undefined;
}

/** Counts the engines that have the newest version or load it. */
function countNewest({candidates, need}: ModelPlan): number {
  return candidates.filter(c => c.isHealthy && isNewest(c, need)).length;
}

/** Returns `plan` as it is once `load` has started. */
function applyLoad(plan: ModelPlan, load: PlannedLoad): ModelPlan {
  const isLoadOfModel = plan.model === load.plan.model;
  const candidates = plan.candidates.map(candidate => {
    if (candidate.id !== load.engineId) return candidate;
    const loadingVersion = isLoadOfModel
      ? plan.need.newest
      : candidate.loadingVersion;
    return {...candidate, isBusy: true, loadingVersion};
  });
  return {...plan, candidates};
}

/**
 * Returns the models in the order in which they should load. Few engines load
 * at once, so a model whose step waits without an engine that may run it goes
 * first. In a fixed order, after a change of coordinator, the last model would
 * wait behind loads that nobody waits for.
 */
export function rankModels(plans: readonly ModelPlan[]): readonly ModelPlan[] {
  return [...plans].sort(
    (a, b) =>
      Number(isStuck(b)) - Number(isStuck(a)) ||
      countRecentEnough(a) - countRecentEnough(b),
  );
}

/** Whether items wait while no engine may run them. */
function isStuck({candidates, need}: ModelPlan): boolean {
  if (need.waiting === 0) return false;
  return !candidates.some(
    ({version, isHealthy}) => isHealthy && version >= need.minVersion,
  );
}

function countRecentEnough({candidates, need}: ModelPlan): number {
  return candidates.filter(c => c.isHealthy && isRecentEnough(c, need)).length;
}

/** Returns the healthy engines, or all if none is healthy. */
function chooseUsable(
  candidates: readonly LoadCandidate[],
): readonly LoadCandidate[] {
  const healthy = candidates.filter(({isHealthy}) => isHealthy);
  return healthy.length > 0 ? healthy : candidates;
}

function isNewest(candidate: LoadCandidate, {newest}: VersionNeed): boolean {
  const {version, loadingVersion = 0} = candidate;
  return Math.max(version, loadingVersion) >= newest;
}

/** Whether the open steps and the next one may use the engine's weights. */
function isRecentEnough(candidate: LoadCandidate, need: VersionNeed): boolean {
  const oldest = Math.max(need.minVersion, need.newest - 1);
  return candidate.version >= oldest;
}

/** Engines with the fewest runs to pause first, then the fastest. */
function compareTooOld(a: LoadCandidate, b: LoadCandidate): number {
  return a.running - b.running || a.gapMs - b.gapMs || (a.id < b.id ? -1 : 1);
}

/**
 * Picks one engine when all of them serve the step, as in a small fleet. It loads
 * once the others have room for its runs, and only while no other engine loads.
 */
function pickReplaceable(
  outdated: readonly LoadCandidate[],
  usable: readonly LoadCandidate[],
  need: VersionNeed,
): readonly LoadCandidate[] {
  if (need.waiting > 0) return [];
  if (usable.some(({loadingVersion}) => loadingVersion !== undefined))
    return [];
  const replaceable = [...outdated]
    .sort((a, b) => a.running - b.running)
    .find(({id, running}) => {
      const others = usable.filter(
        other => other.id !== id && other.version >= need.minVersion,
      );
      return running <= others.reduce((sum, {free}) => sum + free, 0);
    });
  return replaceable ? [replaceable] : [];
}
