/**
 * Picks engines that serve the open steps and may load a new version together.
 *
 * The other engines must have free slots for the runs that the loads displace and
 * for the waiting items that could start now.
 */

import type {LoadCandidate, VersionNeed} from './weight_plan.js';

/** Engines of a model that do not load, and their capacity. */
interface Capacity {
  /** Engines that may run the items of the open steps. */
  readonly engines: number;
  /** Free slots of these engines. */
  readonly free: number;
}

/**
 * Returns the first engines of `ranked`, at most `maxCount`, that may load
 * together.
 *
 * @param usable All engines that are considered, those of `ranked` included.
 */
export function pickParallel(
  ranked: readonly LoadCandidate[],
  usable: readonly LoadCandidate[],
  need: VersionNeed,
  maxCount: number,
): readonly LoadCandidate[] {
  const serving = usable.filter(candidate => isServing(candidate, need));
  const freeAtFirst = sumFree(serving);
  const startable = Math.min(need.waiting, freeAtFirst);
  let displaced = countDisplaced(usable);
  let capacity: Capacity = {engines: serving.length, free: freeAtFirst};
  const picked: LoadCandidate[] = [];
  for (const candidate of ranked) {
    if (picked.length >= maxCount) break;
    const left = isServing(candidate, need)
      ? withdraw(capacity, candidate)
      : capacity;
    if (left.engines === 0) continue;
    if (displaced + candidate.running + startable > left.free) continue;
    displaced += candidate.running;
    capacity = left;
    picked.push(candidate);
  }
  return picked;
}

function isServing(candidate: LoadCandidate, need: VersionNeed): boolean {
  const {version, loadingVersion} = candidate;
  return loadingVersion === undefined && version >= need.minVersion;
}

/** Counts the runs that the current loads displace and that still run there. */
function countDisplaced(usable: readonly LoadCandidate[]): number {
  return usable
    .filter(({loadingVersion}) => loadingVersion !== undefined)
    .reduce((sum, {running}) => sum + running, 0);
}

function sumFree(candidates: readonly LoadCandidate[]): number {
  return candidates.reduce((sum, {free}) => sum + free, 0);
}

function withdraw(
  {engines, free}: Capacity,
  candidate: LoadCandidate,
): Capacity {
  return {engines: engines - 1, free: free - candidate.free};
}
