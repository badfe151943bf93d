/**
 * Scores engines for an item. Which score is used depends on the speed model of
 * the item's service; the best engine is the one with the least cost.
 */

import type {SpeedForecast} from '../fleet/speed_model.js';
import {computeGrowth} from '../fleet/speed_model.js';

/** Runs on an engine, as far as they matter for its score. */
export interface EngineLoad {
  readonly runs: number;
  /** Output events to come of the longest run that a trainer waits for. */
  readonly longestEvents: number;
}

/** An item to place. */
export interface ItemDemand {
  /** Output events to come. */
  readonly events: number;
  readonly promptTokens: number;
  /**
   * Output to come as a share of that of the longest item that the trainer
   * waits for, at most 1.
   */
  readonly urgency: number;
}

/** An engine as a candidate for an item. */
export interface EngineCandidate {
  readonly load: EngineLoad;
  readonly speed: SpeedForecast;
  readonly isSlow: boolean;
  /** Whether the engine runs an item with the same prompt. */
  readonly isPromptShared: boolean;
}

/** A way to compare engines for an item. */
export abstract class PlacementScore {
  /** Whether the score needs `longestEvents`, which costs time to keep. */
  abstract readonly usesLengths: boolean;

  /** Cost of starting an item on an engine; only comparisons matter. */
  abstract computeCost(item: ItemDemand, candidate: EngineCandidate): number;

  /**
   * Whether a run should move from the engine `here`, whose load includes it.
   */
  abstract isWorthMoving(
    item: ItemDemand,
    here: EngineCandidate,
    there: EngineCandidate,
  ): boolean;
}

/**
 * Items of a group share their prompt on an engine, which saves reading it
 * again. The engine is preferred for that unless it has this many more runs, as
 * each run slows all others.
 */
const AFFINITY_RUNS = 1;
/**
 * Additional factor on the gap of a slow engine, as its current speed hardly
 * predicts its future speed.
 */
const SLOW_PENALTY = 2;
/**
 * Cost of moving a run, ms: a round trip, reading its output again, and the event
 * being generated.
 */
const MOVE_MS = 80;
/**
 * A run is moved for speed only if it ends this much sooner, ms, and its events
 * come this many times faster; predictions are off by a few per cent.
 */
const MIN_SAVED_MS = 500;
const MIN_GAIN = 1.1;

/** Prefers the engine with the shortest gap between events. */
export class GapScore extends PlacementScore {
  readonly usesLengths = false;

  computeCost(_: ItemDemand, candidate: EngineCandidate): number {
    const shared = candidate.isPromptShared ? AFFINITY_RUNS : 0;
    return predictGapMs(candidate, candidate.load.runs + 1 - shared);
  }

  isWorthMoving(
    item: ItemDemand,
    here: EngineCandidate,
    there: EngineCandidate,
  ): boolean {
    const hereMs = predictGapMs(here, here.load.runs);
    const thereMs = predictGapMs(there, there.load.runs + 1);
    const savedMs = item.events * (hereMs - thereMs) - MOVE_MS;
    return savedMs >= MIN_SAVED_MS && hereMs >= thereMs * MIN_GAIN;
  }
}

/** Time to read a token of a prompt, ms. */
const READ_MS_PER_TOKEN = 0.003;
/** Error of a predicted time to the end of a run, as a share of it. */
const PREDICTION_ERROR = 0.04;
/**
 * Minimum weight of an item's own time. Items that end long before their step
 * does should also free their slots soon.
 */
const MIN_URGENCY = 0.1;

/**
 * Prefers the engine with the least sum of the time to the item's end, weighted by
 * the item's urgency, and the time by which the item delays the longest run there.
 * So the longest items go to fast engines with few runs, and short items to slow
 * engines or engines without long runs.
 */
export class EndTimeScore extends PlacementScore {
  readonly usesLengths = true;

  computeCost(item: ItemDemand, candidate: EngineCandidate): number {
    const endMs = predictEndMs(item, candidate, candidate.load.runs + 1);
    // An item on an engine that has become slow would be moved off again,
    // however short it is.
    const urgency = candidate.isSlow ? 1 : Math.max(item.urgency, MIN_URGENCY);
    return endMs * urgency + computeInterferenceMs(candidate);
  }

  isWorthMoving(
    item: ItemDemand,
    here: EngineCandidate,
    there: EngineCandidate,
  ): boolean {
    const hereMs = predictEndMs(item, here, here.load.runs);
    const thereMs = predictEndMs(item, there, there.load.runs + 1);
    const savedMs = hereMs - thereMs - MOVE_MS - computeInterferenceMs(there);
    return savedMs > Math.max(MOVE_MS, hereMs * PREDICTION_ERROR);
  }
}

/** Time until the item ends among `runs` runs on the engine, ms. */
function predictEndMs(
  item: ItemDemand,
  candidate: EngineCandidate,
  runs: number,
): number {
  const readMs = candidate.isPromptShared
    ? 0
    : item.promptTokens * READ_MS_PER_TOKEN;
  return (
    item.events * predictGapMs(candidate, runs) +
    candidate.speed.delayMs +
    readMs
  );
}

/** Time by which one more run delays the longest run on the engine, ms. */
function computeInterferenceMs({load, speed}: EngineCandidate): number {
  return load.longestEvents * speed.paceMs * speed.growthPerRun;
}

/** Predicted gap between the events of each of `runs` runs on an engine, ms. */
function predictGapMs({speed, isSlow}: EngineCandidate, runs: number): number {
  const penalty = isSlow ? SLOW_PENALTY : 1;
  return speed.paceMs * penalty * computeGrowth(speed.growthPerRun, runs);
}
