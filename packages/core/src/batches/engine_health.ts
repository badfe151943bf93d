/** What the batch scheduler knows of each engine beyond the list's word. */

import {SpeedTracker} from '../fleet/speed_tracker.js';

/** An engine that may be given items; one that is leaving or gone is not listed. */
export interface EngineView {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly kvTokens: number;
  /** Weight versions by model, as far as known. */
  readonly versions: ReadonlyMap<string, number>;
  /** Models for which it is carrying out an order: new items would be refused. */
  readonly loading: ReadonlySet<string>;
}

/** First pause after a connection could not be made, ms; doubles up to the next figure. */
const UNREACHABLE_PAUSE_MS = 300;
const MAX_UNREACHABLE_PAUSE_MS = 2400;
/** Pause after an engine said that it is full or is loading, ms; a load takes about a second. */
const REFUSED_PAUSE_MS = 120;
/** Pause after all runs of an engine fell silent, ms. */
const SILENT_PAUSE_MS = 1200;

/** Failures in a row that are more than one lost connection. */
const FAILING_THRESHOLD = 2;

interface Outage {
  untilMs: number;
  failures: number;
}

export class EngineHealth {
  readonly speeds = new SpeedTracker();
  private readonly outages = new Map<string, Outage>();
  private readonly refusals = new Map<string, number>();

  /** Whether `engineId` may be given an item of `model` now. */
  isAvailable(engineId: string, model: string, nowMs: number): boolean {
    const untilMs = this.outages.get(engineId)?.untilMs ?? -Infinity;
    const refusedUntilMs = this.refusals.get(`${engineId} ${model}`);
    return nowMs >= untilMs && nowMs >= (refusedUntilMs ?? -Infinity);
  }

  /** Whether the last attempts at the engine failed for its own reasons. */
  isFailing(engineId: string): boolean {
    return (this.outages.get(engineId)?.failures ?? 0) >= FAILING_THRESHOLD;
  }

  recordEvent(engineId: string): void {
    this.outages.delete(engineId);
  }

  recordRefusal(engineId: string, model: string, nowMs: number): void {
    this.refusals.set(`${engineId} ${model}`, nowMs + REFUSED_PAUSE_MS);
  }

  recordUnreachable(engineId: string, nowMs: number): void {
    const failures = this.outages.get(engineId)?.failures ?? 0;
    const pauseMs = Math.min(
      UNREACHABLE_PAUSE_MS * 2 ** failures,
      MAX_UNREACHABLE_PAUSE_MS,
    );
    this.outages.set(engineId, {
      untilMs: nowMs + pauseMs,
      failures: failures + 1,
    });
  }

  recordSilence(engineId: string, nowMs: number): void {
    const failures = this.outages.get(engineId)?.failures ?? 0;
    this.outages.set(engineId, {
      untilMs: nowMs + SILENT_PAUSE_MS,
      failures: failures + 1,
    });
  }

  /** The engine is another one now, or gone. */
  forget(engineId: string): void {
    this.speeds.forget(engineId);
    this.outages.delete(engineId);
    for (const key of this.refusals.keys()) {
      if (key.startsWith(`${engineId} `)) this.refusals.delete(key);
    }
  }
}
