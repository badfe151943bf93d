/**
 * Decides when a request without an answer is hedged, that is, sent to a second endpoint,
 * and whether a failed request is retried.
 */

import {measureHedgeMs, type RequestTerms} from './attempt_policy.js';
import type {ServiceRecord} from './service_record.js';

/** The state of a request when its hedge is due. */
export interface HedgeMoment {
  /** Time since the first attempt started. */
  readonly elapsedMs: number;
  /** Time until the caller gives up. */
  readonly remainingMs: number;
  /** Expected duration at the best other endpoint; undefined if there is none. */
  readonly expectedMs: number | undefined;
  /** Whether admission has room for a second copy. */
  readonly hasRoom: boolean;
  readonly nowMs: number;
}

/** What to do when a hedge is due. */
export type HedgeDecision =
  | {readonly kind: 'start'}
  /** Decide again once this much time has passed since the first attempt. */
  | {
      readonly kind: 'wait';
      readonly untilMs: number;
      readonly reason: HedgeSkipReason;
    }
  | {readonly kind: 'skip'; readonly reason: HedgeSkipReason};

/** Why a hedge that is due does not start. */
export type HedgeSkipReason =
  | 'over_budget'
  | 'too_late'
  | 'no_endpoint'
  /** The service has no room for a second copy. */
  | 'no_room';

/** A way to decide on hedges and retries. */
export abstract class HedgePolicy {
  /** Returns the ms after the first attempt's start at which to decide; undefined for never. */
  abstract measureDelayMs(terms: RequestTerms): number | undefined;

  abstract decide(terms: RequestTerms, moment: HedgeMoment): HedgeDecision;

  /** Returns whether a request that ran and failed may be sent again, and counts it. */
  abstract takeRetry(nowMs: number): boolean;
}

/** Hedges at a fixed share of the objective and allows every retry. */
export class FixedHedgePolicy extends HedgePolicy {
  override measureDelayMs(terms: RequestTerms): number | undefined {
    return measureHedgeMs(terms);
  }

  override decide(): HedgeDecision {
    return {kind: 'start'};
  }

  override takeRetry(): boolean {
    return true;
  }
}

/** Minimum delay before a hedge, ms. */
const MIN_DELAY_MS = 20;
/** Multiple of the 95th percentile of durations from which an attempt is presumed lost. */
const LOST_DURATION_FACTOR = 3;
/** Timers may fire this much early, ms. */
const TIMER_SLACK_MS = 1;

/**
 * Hedges a request that takes longer than 95% of the recent ones if the second attempt is
 * expected to meet the objective and the service's budget allows it. Once the first
 * attempt is presumed lost, the second only has to meet the caller's deadline.
 */
export class MeasuredHedgePolicy extends HedgePolicy {
  constructor(private readonly service: ServiceRecord) {
    super();
  }

  override measureDelayMs(terms: RequestTerms): number | undefined {
    const fixedMs = measureHedgeMs(terms);
    const usualMs = this.service.measureP95Ms();
    if (fixedMs === undefined || usualMs === undefined) return fixedMs;
    return Math.min(Math.max(usualMs, MIN_DELAY_MS), terms.objectiveMs);
  }

  override decide(terms: RequestTerms, moment: HedgeMoment): HedgeDecision {
    const {elapsedMs, remainingMs} = moment;
    const lostMs = this.measurePresumedLostMs(terms);
    const isLost = elapsedMs >= lostMs - TIMER_SLACK_MS;
    const limitMs = isLost ? remainingMs : terms.objectiveMs - elapsedMs;
    const reason = this.findSkipReason(moment, limitMs);
    if (!reason) return {kind: 'start'};
    if (isLost) return {kind: 'skip', reason};
    return {kind: 'wait', untilMs: lostMs, reason};
  }

  override takeRetry(nowMs: number): boolean {
    return this.service.budget.takeRetry(nowMs);
  }

  private measurePresumedLostMs(terms: RequestTerms): number {
    const usualMs = this.service.measureP95Ms() ?? 0;
    return Math.max(usualMs * LOST_DURATION_FACTOR, terms.objectiveMs);
  }

  private findSkipReason(
    {expectedMs, hasRoom, nowMs}: HedgeMoment,
    limitMs: number,
  ): HedgeSkipReason | undefined {
    if (expectedMs === undefined) return 'no_endpoint';
    if (expectedMs > limitMs) return 'too_late';
    if (!hasRoom) return 'no_room';
    return this.service.budget.takeHedge(nowMs) ? undefined : 'over_budget';
  }
}
