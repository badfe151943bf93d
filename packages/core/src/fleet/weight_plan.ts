/**
 * Which engines load a new version of a model, and when.
 *
 * A load stops an engine's runs of that model for about a second and empties its
 * cache. A step may use the weights of the version before its own, so a model's
 * versions go round the engines: each new one is loaded by a part of them, by
 * those that hold weights too old for the next step. The engines with the
 * version before go on undisturbed, and a step finds twice as many engines as
 * load each version.
 */

/** An engine as one model's plan sees it. */
export interface LoadCandidate {
  readonly id: string;
  /** Version of the model that it has. */
  readonly version: number;
  /** Version of the model that it loads now, if it does. */
  readonly loadingVersion?: number | undefined;
  /** Whether it can not be ordered now: it carries out an order, for any model, or may have had one from another VM just before. */
  readonly isBusy: boolean;
  /** Whether it answers and keeps pace. */
  readonly isSound: boolean;
  /** Generations of the model that run there. */
  readonly running: number;
  /** Further generations that it could take. */
  readonly free: number;
  /** Gap between events that a further run would see there, ms. */
  readonly gapMs: number;
}

/** What the open work of a model asks for. */
export interface VersionNeed {
  /** Newest version that was named. */
  readonly newest: number;
  /** Greatest minimum of all open batches; 0 for none. */
  readonly minVersion: number;
  /** Items that wait for an engine. */
  readonly waiting: number;
  /** Engines that should have the newest version. */
  readonly share: number;
}

/** Engines of a service that load each version of a model: an equal part for each model. */
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
 * @param maxMore Loads that may begin beside those of other models.
 */
export function pickLoads(
  candidates: readonly LoadCandidate[],
  need: VersionNeed,
  maxMore: number,
): readonly string[] {
  const usable = chooseUsable(candidates);
  const missing = need.share - usable.filter(c => isNewest(c, need)).length;
  if (missing <= 0 || maxMore <= 0) return [];
  const outdated = usable.filter(c => !c.isBusy && !isNewest(c, need));
  const unfit = outdated.filter(c => !isFitForNext(c, need));
  const picked =
    unfit.length > 0
      ? unfit.sort(compareUnfit)
      : pickSpare(outdated, usable, need);
  return picked.slice(0, Math.min(missing, maxMore)).map(({id}) => id);
}

/** The engines and the need of one model, to compare with those of others. */
export interface ModelPlan {
  readonly model: string;
  readonly candidates: readonly LoadCandidate[];
  readonly need: VersionNeed;
}

/**
 * The models in the order in which they should load. Few engines load at once,
 * so a model whose step waits with no engine that may run it goes before all
 * others: in a fixed order the last model would wait behind loads that nobody
 * waits for, after a coordinator has been replaced.
 */
export function rankModels(plans: readonly ModelPlan[]): readonly ModelPlan[] {
  return [...plans].sort(
    (a, b) =>
      Number(isStuck(b)) - Number(isStuck(a)) ||
      countFitForNext(a) - countFitForNext(b),
  );
}

/** Whether items wait while no engine may run them. */
function isStuck({candidates, need}: ModelPlan): boolean {
  if (need.waiting === 0) return false;
  return !candidates.some(
    ({version, isSound}) => isSound && version >= need.minVersion,
  );
}

function countFitForNext({candidates, need}: ModelPlan): number {
  return candidates.filter(c => c.isSound && isFitForNext(c, need)).length;
}

/** With no sound engine at all the unsound are better than none. */
function chooseUsable(
  candidates: readonly LoadCandidate[],
): readonly LoadCandidate[] {
  const sound = candidates.filter(({isSound}) => isSound);
  return sound.length > 0 ? sound : candidates;
}

function isNewest(candidate: LoadCandidate, {newest}: VersionNeed): boolean {
  const {version, loadingVersion = 0} = candidate;
  return Math.max(version, loadingVersion) >= newest;
}

/** Whether the open steps and the next one may use the engine's weights. */
function isFitForNext(candidate: LoadCandidate, need: VersionNeed): boolean {
  const oldest = Math.max(need.minVersion, need.newest - 1);
  return candidate.version >= oldest;
}

/** Those that stop least first, then those that will serve best. */
function compareUnfit(a: LoadCandidate, b: LoadCandidate): number {
  return a.running - b.running || a.gapMs - b.gapMs || (a.id < b.id ? -1 : 1);
}

/**
 * With few engines all of them serve the step: one at a time loads, as soon as
 * the others have room for what runs there.
 */
function pickSpare(
  outdated: readonly LoadCandidate[],
  usable: readonly LoadCandidate[],
  need: VersionNeed,
): readonly LoadCandidate[] {
  if (need.waiting > 0) return [];
  if (usable.some(({loadingVersion}) => loadingVersion !== undefined))
    return [];
  const spare = [...outdated]
    .sort((a, b) => a.running - b.running)
    .find(({id, running}) => {
      const others = usable.filter(
        other => other.id !== id && other.version >= need.minVersion,
      );
      return running <= others.reduce((sum, {free}) => sum + free, 0);
    });
  return spare ? [spare] : [];
}
