/**
 * Speed model of one service that learns the usual pace of each engine and how
 * the event gap grows with the number of runs. An engine that is always slow
 * keeps its runs; one that has become slow is listed as slow.
 */

import {GrowthEstimate} from './growth_estimate.js';
import {EnginePace} from './engine_pace.js';
import {findLowerMedian} from './lower_median.js';
import {computeGrowth, type SpeedForecast, SpeedModel} from './speed_model.js';

/** Speed of one engine, for operators. Paces are in ms per event. */
export interface EngineSpeed {
  readonly usualMs: number;
  /** Undefined without a valid reading. */
  readonly presentMs: number | undefined;
  /** Reported slowdown of its machine, if valid and trusted; otherwise 1. */
  readonly slowdown: number;
}

/** Speeds of the engines of a service, for operators. */
export interface SpeedSummary {
  readonly growthPerRun: number;
  readonly classes: Readonly<Record<SpeedClass, SpeedClassSummary>>;
}

/** Class of an engine by its usual pace, relative to the median. */
export type SpeedClass = 'fast' | 'typical' | 'slow';

/** Speeds of the engines of one class. */
export interface SpeedClassSummary {
  readonly engines: number;
  /** Engines that runs are leaving. */
  readonly slowed: number;
  /** Medians, ms per event; 0 without engines. */
  readonly usualMs: number;
  readonly presentMs: number;
}

/** Assumed pace if no engine has a reading, ms per event; only ratios matter then. */
const UNKNOWN_PACE_MS = 40;
/** A longer gap is a pause, such as a load of weights, ms. */
const MAX_GAP_MS = 500;
/** How often the typical pace is recomputed, ms. */
const TYPICAL_REFRESH_MS = 50;
/** Multiple of the median pace up to which a usual pace is taken as inherent to the engine. */
const MAX_INHERENT_FACTOR = 3;
/** The same while the engine has been observed for too short a time. */
const MAX_UNCONFIRMED_FACTOR = 1.6;
/** Usual paces within this factor of the median are typical. */
const CLASS_FACTOR = 1.25;

/** Speed model of the engines of one service, learned from event gaps and reports. */
export class AdaptiveSpeedModel extends SpeedModel {
  private readonly paces = new Map<string, EnginePace>();
  private readonly growth = new GrowthEstimate();
  private typicalMs: number | undefined;
  private typicalAtMs = -Infinity;

  get growthPerRun(): number {
    return this.growth.growthPerRun;
  }

  record(engineId: string, gapMs: number, runs: number, nowMs: number): void {
    if (gapMs <= 0 || gapMs > MAX_GAP_MS) return;
    this.growth.record(engineId, gapMs, runs);
    const paceMs = gapMs / computeGrowth(this.growthPerRun, runs);
    const pace = this.getOrCreatePace(engineId);
    pace.record(paceMs, gapMs, this.getStandardMs(pace, nowMs), nowMs);
  }

  /** Records the slowdown of its machine that an engine states. */
  reportSlowdown(engineId: string, slowdown: number, nowMs: number): void {
    this.getOrCreatePace(engineId).reports.report(slowdown, nowMs);
  }

  forget(engineId: string): void {
    this.paces.delete(engineId);
    this.growth.forget(engineId);
    this.typicalAtMs = -Infinity;
  }

  forecast(engineId: string, nowMs: number): SpeedForecast {
    const {growthPerRun} = this;
    const pace = this.paces.get(engineId);
    const paceMs = pace?.getPlannedMs(nowMs) ?? this.getTypicalMs(nowMs);
    const delayMs = pace?.wasSlow ? 0 : (pace?.getDelayMs(nowMs) ?? 0);
    return {paceMs, growthPerRun, delayMs};
  }

  predictGapMs(engineId: string, runs: number, nowMs: number): number {
    const pace = this.paces.get(engineId);
    const paceMs =
      pace?.getPresentMs(nowMs) ??
      pace?.getUsualMs() ??
      this.getTypicalMs(nowMs);
    return paceMs * computeGrowth(this.growthPerRun, runs);
  }

  findTypicalPaceMs(nowMs: number): number | undefined {
    if (nowMs - this.typicalAtMs >= TYPICAL_REFRESH_MS) {
      this.typicalAtMs = nowMs;
      const usual = [...this.paces.values()].flatMap(
        pace => pace.getUsualMs() ?? [],
      );
      this.typicalMs = findLowerMedian(usual);
    }
    return this.typicalMs;
  }

  listSlow(nowMs: number): ReadonlySet<string> {
    const slow = new Set<string>();
    for (const [id, pace] of this.paces) {
      if (pace.updateSlow(this.getStandardMs(pace, nowMs), nowMs)) slow.add(id);
    }
    return slow;
  }

  /** Speed of one engine, for operators; undefined without samples. */
  describe(engineId: string, nowMs: number): EngineSpeed | undefined {
    const pace = this.paces.get(engineId);
    const usualMs = pace?.getUsualMs();
    if (!pace || usualMs === undefined) return undefined;
    const presentMs = pace.getPresentMs(nowMs);
    return {usualMs, presentMs, slowdown: pace.reports.getSlowdown(nowMs)};
  }

  /** Summarizes engines by class, so that the number of figures is bounded. */
  summarize(nowMs: number): SpeedSummary {
    const classes: Record<SpeedClass, EnginePace[]> = {
      fast: [],
      typical: [],
      slow: [],
    };
    const typicalMs = this.getTypicalMs(nowMs);
    for (const pace of this.paces.values()) {
      const usualMs = pace.getUsualMs();
      if (usualMs !== undefined)
        classes[classify(usualMs / typicalMs)].push(pace);
    }
    return {
      growthPerRun: this.growthPerRun,
      classes: {
        fast: summarizeClass(classes.fast, nowMs),
        typical: summarizeClass(classes.typical, nowMs),
        slow: summarizeClass(classes.slow, nowMs),
      },
    };
  }

  /**
   * Pace against which slowness is judged: the engine's usual one, bounded by a
   * multiple of the median.
   */
  private getStandardMs(pace: EnginePace, nowMs: number): number {
    const typicalMs = this.getTypicalMs(nowMs);
    const usualMs = pace.getUsualMs() ?? typicalMs;
    const maxFactor = pace.isKnown()
      ? MAX_INHERENT_FACTOR
      : MAX_UNCONFIRMED_FACTOR;
    return Math.min(usualMs, typicalMs * maxFactor);
  }

  /** Median of the usual paces, ms per event. */
  private getTypicalMs(nowMs: number): number {
    return this.findTypicalPaceMs(nowMs) ?? UNKNOWN_PACE_MS;
  }

  private getOrCreatePace(engineId: string): EnginePace {
    let pace = this.paces.get(engineId);
    if (!pace) {
      pace = new EnginePace();
      this.paces.set(engineId, pace);
    }
    return pace;
  }
}

function classify(ratio: number): SpeedClass {
  if (ratio > CLASS_FACTOR) return 'slow';
  return ratio < 1 / CLASS_FACTOR ? 'fast' : 'typical';
}

function summarizeClass(
  paces: readonly EnginePace[],
  nowMs: number,
): SpeedClassSummary {
  const usual = paces.flatMap(pace => pace.getUsualMs() ?? []);
  const present = paces.flatMap(pace => pace.getPresentMs(nowMs) ?? []);
  return {
    engines: paces.length,
    slowed: paces.filter(({wasSlow}) => wasSlow).length,
    usualMs: findLowerMedian(usual) ?? 0,
    presentMs: findLowerMedian(present) ?? 0,
  };
}
