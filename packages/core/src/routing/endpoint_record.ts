/**
 * Tracks what one VM observes of one incarnation of an endpoint: its own requests in
 * flight, reported load and slowdown, durations and failures. Each observation loses its
 * weight over a bounded time.
 */

import type {EndpointCandidate} from './endpoint_choice.js';
import {MovingAverage} from './moving_average.js';

/** An endpoint's report of its load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  /** Duration of work at this moment relative to the usual one; undefined if not reported. */
  readonly slowdown: number | undefined;
}

/** The properties of an endpoint that do not change during an incarnation. */
export interface EndpointTraits {
  readonly id: string;
  readonly slots: number;
  readonly dataCentre: string;
}

/** What makes requests at an endpoint slower than usual at present. */
export type SlowdownCause = 'slow_report' | 'slow_answers';

/** An endpoint with an estimate of how long requests take there. */
export interface TimedCandidate extends EndpointCandidate {
  /** Requests of other VMs that are expected to be at the endpoint. */
  readonly othersLoad: number;
  /** Usual duration of a request as seen by this VM, ms; undefined if it was never measured. */
  readonly usualMs: number | undefined;
  /** How far `usualMs` can be trusted, from 0 to 1; it falls while no answers arrive. */
  readonly confidence: number;
  /** Expected duration at this moment relative to the usual one. */
  readonly slowdown: number;
  /** Undefined unless `slowdown` is well above 1. */
  readonly slowdownCause: SlowdownCause | undefined;
}

/** Age from which `LeastLoadedChoice` ignores a reported load, ms. */
const MAX_REPORT_AGE_MS = 500;
/** Time over which a reported load, a reported slowdown or slow answers lose their weight, ms. */
const OBSERVATION_LIFETIME_MS = 500;
/** Time without answers over which the usual duration loses its weight, ms. */
const USUAL_MEMORY_MS = 10_000;
/** Bounds of a slowdown, against false reports. */
const MIN_SLOWDOWN = 0.5;
const MAX_SLOWDOWN = 4;
/** Weights of the newest value in the usual and in the present average. */
const USUAL_WEIGHT = 0.1;
const PRESENT_WEIGHT = 0.3;
/** Factor on the usual duration from which an endpoint is called slow. */
export const SLOW_FROM = 1.5;

/** Observations of one incarnation of an endpoint; times are steady ms. */
export class EndpointRecord {
  private ownLoad = 0;
  private reportedLoad = 0;
  private othersAtReport = 0;
  private reportedAtMs = -Infinity;
  private reportedSlowdown: number | undefined;
  private slowdownAtMs = -Infinity;
  private readonly usualReport = new MovingAverage(USUAL_WEIGHT);
  private readonly usualMs = new MovingAverage(USUAL_WEIGHT);
  private readonly presentMs = new MovingAverage(PRESENT_WEIGHT);
  private answeredAtMs = -Infinity;
  private failures = 0;
  private failedAtMs = -Infinity;

  recordStart(): void {
    this.ownLoad += 1;
  }

  recordEnd(): void {
    this.ownLoad = Math.max(this.ownLoad - 1, 0);
  }

  recordReport(report: LoadReport, nowMs: number): void {
    this.reportedLoad = report.running + report.waiting;
    this.reportedAtMs = nowMs;
    // The report counts this VM's requests as well, which are known exactly.
    this.othersAtReport = Math.max(this.reportedLoad - this.ownLoad, 0);
    this.reportedSlowdown = undefined;
    if (report.slowdown === undefined) return;
    this.reportedSlowdown = limitSlowdown(report.slowdown);
    this.slowdownAtMs = nowMs;
    this.usualReport.add(this.reportedSlowdown);
  }

  /** Records that the endpoint had no room, so that at least its slots are taken. */
  recordFull(slots: number, nowMs: number): void {
    const isRecent = nowMs - this.reportedAtMs < MAX_REPORT_AGE_MS;
    const lastLoad = isRecent ? this.reportedLoad : 0;
    this.reportedLoad = Math.max(lastLoad, slots);
    this.reportedAtMs = nowMs;
    this.othersAtReport = Math.max(this.reportedLoad - this.ownLoad, 0);
  }

  /** Records the duration of a request that was answered. */
  recordAnswer(tookMs: number, nowMs: number): void {
    this.usualMs.add(tookMs);
    this.presentMs.add(tookMs);
    this.answeredAtMs = nowMs;
  }

  /**
   * Records a request that was given up after `elapsedMs` because another endpoint
   * answered first. Without it, endpoints whose slow requests are hedged would look
   * fast.
   */
  recordUnfinished(elapsedMs: number, nowMs: number): void {
    if (elapsedMs > (this.presentMs.value ?? 0)) {
      this.recordAnswer(elapsedMs, nowMs);
    }
  }

  recordSuccess(): void {
    this.failures = 0;
  }

  recordFailure(nowMs: number): void {
    this.failures += 1;
    this.failedAtMs = nowMs;
  }

  /** Describes the endpoint as expected at `nowMs`. */
  describe(traits: EndpointTraits, nowMs: number): TimedCandidate {
    const reportAgeMs = nowMs - this.reportedAtMs;
    const slowdown = this.measureSlowdown(nowMs);
    return {
      id: traits.id,
      slots: traits.slots,
      dataCentre: traits.dataCentre,
      inFlight: this.ownLoad,
      reportedLoad: reportAgeMs < MAX_REPORT_AGE_MS ? this.reportedLoad : 0,
      failures: this.failures,
      failedAtMs: this.failedAtMs,
      othersLoad: this.othersAtReport * measureReportWeight(reportAgeMs),
      usualMs: this.usualMs.value,
      confidence: fade(nowMs - this.answeredAtMs, USUAL_MEMORY_MS),
      slowdown,
      slowdownCause: slowdown < SLOW_FROM ? undefined : this.slowdownCause,
    };
  }

  private get slowdownCause(): SlowdownCause {
    return this.reportedSlowdown === undefined ? 'slow_answers' : 'slow_report';
  }

  /** A report counts relative to the endpoint's usual ones, so that a constant report means no slowdown. */
  private measureSlowdown(nowMs: number): number {
    const [present, usual, ageMs] =
      this.reportedSlowdown === undefined
        ? [this.presentMs.value, this.usualMs.value, nowMs - this.answeredAtMs]
        : [
            this.reportedSlowdown,
            this.usualReport.value,
            nowMs - this.slowdownAtMs,
          ];
    if (!present || !usual) return 1;
    return (
      1 + (limitSlowdown(present / usual) - 1) * measureReportWeight(ageMs)
    );
  }
}

function limitSlowdown(slowdown: number): number {
  return Math.min(Math.max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN);
}

function measureReportWeight(ageMs: number): number {
  return fade(ageMs, OBSERVATION_LIFETIME_MS);
}

/** Falls from 1 to 0 within `lifetimeMs`. */
function fade(ageMs: number, lifetimeMs: number): number {
  return Math.min(Math.max(1 - ageMs / lifetimeMs, 0), 1);
}
