/** Fixtures that play event gaps of engines into a speed model. */

import type {SpeedModel} from '../speed_model.js';

export interface EngineShape {
  readonly id: string;
  /** Gap of a single run, ms. */
  readonly paceMs: number;
  readonly runs: number;
}

export interface GapPlay {
  readonly engines: readonly EngineShape[];
  readonly fromMs?: number;
  readonly untilMs: number;
  /** Factor on the gap of an engine at a time, as by its neighbours. */
  slowdown?(engine: EngineShape, nowMs: number): number;
  growthPerRun?: number;
  /** Relative standard deviation of gaps. */
  readonly noise?: number;
  /** Number of runs on an engine at a time, in place of its usual one. */
  runsAt?(engine: EngineShape, nowMs: number): number;
  /** Called every 50 ms of played time. */
  onTick?(nowMs: number): void;
}

const TICK_MS = 50;

/** Pseudo-random numbers from 0 to 1 (xorshift). */
export function createRandom(seed: number): () => number {
  let state = seed * 2654435761 + 1;
  return () => {
    state ^= state << 13;
    state ^= state >>> 17;
    state ^= state << 5;
    return (state >>> 0) / 2 ** 32;
  };
}

/** Draws from the standard normal distribution. */
export function drawNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/** Records the gaps of all engines in the order of time. */
export function playGaps(model: SpeedModel, play: GapPlay): void {
  const random = createRandom(7);
  const {engines, fromMs = 0, untilMs, growthPerRun = 0.005} = play;
  const nextMs = engines.map(() => fromMs);
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs++) {
    if (nowMs % TICK_MS === 0) play.onTick?.(nowMs);
    for (const [i, engine] of engines.entries()) {
      if (nowMs < nextMs[i]) continue;
      const runs = play.runsAt?.(engine, nowMs) ?? engine.runs;
      const gapMs =
        engine.paceMs *
        (1 + growthPerRun * (runs - 1)) *
        (play.slowdown?.(engine, nowMs) ?? 1) *
        (1 + (play.noise ?? 0.02) * drawNormal(random));
      nextMs[i] = nowMs + gapMs;
      if (nowMs === fromMs) continue;
      // All runs of an engine generate their events together.
      for (let run = 0; run < runs; run++) {
        model.record(engine.id, gapMs, runs, nowMs);
      }
    }
  }
}
