/**
 * Tracks the failures, refusals and speed of engines that the batch scheduler
 * observes, as their entries in the endpoint list do not show them.
 */

import {EngineReadiness} from '../fleet/engine_readiness.js';
import {ServiceSpeeds} from '../fleet/service_speeds.js';
import {
  EndTimeScore,
  GapScore,
  type PlacementScore,
} from './placement_score.js';

/** An engine that may get items; leaving or removed engines are not listed. */
export interface EngineView {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly kvTokens: number;
  /** Reported weight versions by model. */
  readonly versions: ReadonlyMap<string, number>;
  /**
   * Models for which the engine is loading weights, so that it would refuse new
   * items.
   */
  readonly loading: ReadonlySet<string>;
}

/**
 * First pause after a failed connection, ms, and the maximum up to which it
 * doubles.
 */
const UNREACHABLE_PAUSE_MS = 300;
const MAX_UNREACHABLE_PAUSE_MS = 2400;
/**
 * Pause after an engine refused an item because it is full or loading, ms; a
 * load takes about a second.
 */
const REFUSED_PAUSE_MS = 120;
/** Pause after all runs of an engine became silent, ms. */
const SILENT_PAUSE_MS = 1200;

/** Pause after an engine sent bytes without end, ms. */
const FLOOD_PAUSE_MS = 5000;

/**
 * Consecutive failures from which an engine counts as failing; one may be a
 * single lost connection.
 */
const FAILING_THRESHOLD = 2;

interface Outage {
  untilMs: number;
  failures: number;
}

export class EngineHealth {
  readonly speeds: ServiceSpeeds;
  readonly readiness = new EngineReadiness();
  private readonly gapScore = new GapScore();
  private readonly endTimeScore = new EndTimeScore();
  private readonly outages = new Map<string, Outage>();
  private readonly refusals = new Map<string, number>();
  /** By engine id, steady ms until which it gets nothing after a flood. */
  private readonly floodPauses = new Map<string, number>();

  constructor(isCapacityContended = false) {
    this.speeds = new ServiceSpeeds(isCapacityContended);
  }

  setEngines(engines: readonly EngineView[]): void {
    this.speeds.setServices(
      new Map(engines.map(({id, service}) => [id, service])),
    );
  }

  /**
   * Score by which the items of `service` are placed; `EndTimeScore` needs an
   * adaptive speed model.
   */
  findScore(service = ''): PlacementScore {
    const isAdaptive = this.speeds.adaptiveModels.has(service);
    return isAdaptive ? this.endTimeScore : this.gapScore;
  }

  /** Whether `engineId` may get an item of `model` now. */
  isAvailable(engineId: string, model: string, nowMs: number): boolean {
    const untilMs = this.outages.get(engineId)?.untilMs ?? -Infinity;
    const refusedUntilMs = this.refusals.get(`${engineId} ${model}`);
    if (!this.readiness.mayTake(engineId, model, nowMs)) return false;
    if (nowMs < (this.floodPauses.get(engineId) ?? -Infinity)) return false;
    return nowMs >= untilMs && nowMs >= (refusedUntilMs ?? -Infinity);
  }

  /** Whether the last attempts failed for reasons of the engine itself. */
  isFailing(engineId: string): boolean {
    return (this.outages.get(engineId)?.failures ?? 0) >= FAILING_THRESHOLD;
  }

  recordEvent(engineId: string): void {
    this.outages.delete(engineId);
  }

  recordRefusal(engineId: string, model: string, nowMs: number): void {
    if (this.readiness.recordRefusal(engineId, model, nowMs)) return;
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

  /** Unlike an outage, this is not over with the engine's next event. */
  recordFlood(engineId: string, nowMs: number): void {
    this.floodPauses.set(engineId, nowMs + FLOOD_PAUSE_MS);
  }

  /** Drops the state of an engine that was replaced or removed. */
  forget(engineId: string): void {
    this.speeds.forget(engineId);
    this.readiness.forget(engineId);
    this.outages.delete(engineId);
    this.floodPauses.delete(engineId);
    for (const key of this.refusals.keys()) {
      if (key.startsWith(`${engineId} `)) this.refusals.delete(key);
    }
  }
}
