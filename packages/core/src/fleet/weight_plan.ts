/**
 * Which engines serve which model, and when each of them loads a new version.
 *
 * Loading stops an engine for about a second and empties its cache, so a model
 * lives on its share of the engines and not on all. The share follows what is
 * known of the engines: one that is slow, silent or leaving is replaced.
 */

/** An engine as the plan sees it. */
export interface PlannedEngine {
  readonly id: string;
  /** Versions by model. */
  readonly versions: ReadonlyMap<string, number>;
  /** Whether it answers and keeps pace. */
  readonly isSound: boolean;
}

export type Assignment = ReadonlyMap<string, readonly string[]>;

/**
 * Assigns engines to models so that each model has an equal share of the sound
 * ones. Engines stay where they are as long as that holds: a move costs a load.
 * Where the share would fall below `minPerModel`, engines serve several models.
 *
 * @param previous What was assigned before.
 */
export function assignEngines(
  models: readonly string[],
  engines: readonly PlannedEngine[],
  previous: Assignment,
  minPerModel: number,
): Assignment {
  const sound = engines.filter(({isSound}) => isSound);
  // With no sound engine at all the unsound are better than none.
  const pool = sound.length > 0 ? sound : engines;
  const ids = new Set(pool.map(({id}) => id));
  const load = new Map<string, number>(pool.map(({id}) => [id, 0]));
  const share = Math.floor(pool.length / Math.max(models.length, 1));
  const wanted = Math.min(Math.max(share, minPerModel), pool.length);
  // Engines that are new or back take over from those that serve more than
  // their part; an assignment made while few were known would last otherwise.
  const limit = Math.ceil((models.length * wanted) / Math.max(pool.length, 1));
  const result = new Map<string, string[]>();
  for (const model of models) {
    const kept = (previous.get(model) ?? [])
      .filter(id => ids.has(id) && load.get(id)! < limit)
      .slice(0, wanted);
    for (const id of kept) addLoad(load, id);
    result.set(model, kept);
  }
  for (let round = 0; round < wanted; round++) {
    for (const model of models) {
      const kept = result.get(model)!;
      if (kept.length > round) continue;
      const id = pickEngine(model, kept, pool, load);
      if (id === undefined) continue;
      kept.push(id);
      addLoad(load, id);
    }
  }
  return result;
}

/** The engine with the fewest models; among equals the one with the newest version of `model`. */
function pickEngine(
  model: string,
  taken: readonly string[],
  pool: readonly PlannedEngine[],
  load: ReadonlyMap<string, number>,
): string | undefined {
  const free = pool.filter(({id}) => !taken.includes(id));
  const rank = (engine: PlannedEngine) =>
    load.get(engine.id)! * 1e6 - (engine.versions.get(model) ?? 0);
  return free.sort((a, b) => rank(a) - rank(b) || (a.id < b.id ? -1 : 1))[0]
    ?.id;
}

function addLoad(load: Map<string, number>, id: string): void {
  load.set(id, (load.get(id) ?? 0) + 1);
}

/** An engine's state with regard to one model it is assigned to. */
export interface LoadCandidate {
  readonly id: string;
  readonly version: number;
  /** Whether it is carrying out an order, for any model. */
  readonly isLoading: boolean;
  /** Generations of the model that run there. */
  readonly running: number;
  /** Further generations that it could take. */
  readonly free: number;
}

/** What the open work of a model asks for. */
export interface VersionNeed {
  /** Newest version that was named. */
  readonly newest: number;
  /** Greatest minimum of all open batches; 0 for none. */
  readonly minVersion: number;
  /** Items that wait for an engine. */
  readonly waiting: number;
}

/**
 * Picks the engines of one model that should load the newest version now.
 *
 * A load stops an engine for about a second. What runs there moves to the other
 * engines of the model meanwhile, so engines load one after the other, and as
 * soon as the others have room: a step that is asked for later finds weights
 * that it may use, and samples come from newer ones. While items wait for a
 * place only an engine that can not serve them loads.
 *
 * @param maxMore Loads that may begin beside those of other models.
 */
export function pickLoads(
  candidates: readonly LoadCandidate[],
  need: VersionNeed,
  maxMore: number,
): readonly string[] {
  const outdated = candidates
    .filter(({isLoading, version}) => !isLoading && version < need.newest)
    .sort((a, b) => a.version - b.version || a.running - b.running);
  const isFit = (candidate: LoadCandidate) =>
    !candidate.isLoading && candidate.version >= need.minVersion;
  const picked = candidates.some(isFit)
    ? pickSpare(outdated, candidates, need)
    : pickFirst(outdated, candidates);
  return picked.slice(0, Math.max(maxMore, 0)).map(({id}) => id);
}

/** One engine that the others can do without. */
function pickSpare(
  outdated: readonly LoadCandidate[],
  candidates: readonly LoadCandidate[],
  need: VersionNeed,
): readonly LoadCandidate[] {
  if (candidates.some(({isLoading}) => isLoading)) return [];
  const spare = outdated.find(candidate => {
    if (candidate.version < need.minVersion) return true;
    if (need.waiting > 0) return false;
    const room = candidates
      .filter(
        ({id, version}) => id !== candidate.id && version >= need.minVersion,
      )
      .reduce((sum, {free}) => sum + free, 0);
    return candidate.running <= room;
  });
  return spare ? [spare] : [];
}

/** No engine can serve the newest step: those without work load, or else one. */
function pickFirst(
  outdated: readonly LoadCandidate[],
  candidates: readonly LoadCandidate[],
): readonly LoadCandidate[] {
  const idle = outdated.filter(({running}) => running === 0);
  const isLoading = candidates.some(candidate => candidate.isLoading);
  return idle.length > 0 || isLoading ? idle : outdated.slice(0, 1);
}
