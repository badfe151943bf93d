/**
 * Limits the rate at which one VM sends requests to a service that many VMs share,
 * without messages between them.
 *
 * There is no limit until an endpoint is full or reports a long queue. The limit then
 * increases additively with each answer while the endpoints' queues are short, and
 * decreases by a factor when an endpoint refuses or queues grow. All VMs see the same
 * queues, so their limits add up to about the capacity of the service.
 */

import type {ExchangeEnd, ReportedLoad} from './admission_request.js';
import {ServiceTime} from './service_time.js';

/**
 * Target for the time that requests wait at an endpoint, as a share of their slack: the
 * objective less the service time.
 */
const TARGET_WAIT_SHARE = 0.3;
/** Share of the slack from which a queue is long, so that the limit starts. */
const CONTENDED_WAIT_SHARE = 0.5;
/** Growth for one answer, in shares of the rate of one slot; less as the queue comes near its target. */
const MAX_GROWTH = 0.05;
/** Factor on the rate after a refusal, and the lowest factor for a queue. */
const REFUSAL_FACTOR = 0.5;
const MIN_QUEUE_FACTOR = 0.6;
/** Minimum time between two reductions, ms; the first has to take effect. */
const REDUCTION_PAUSE_MS = 60;
/** Lowest rate, as a share of this VM's fair rate; queues shrink at that rate. */
const MIN_FAIR_SHARE = 0.5;
/** Lowest rate, as a share of the rate of one slot; answers must go on to show when queues are gone. */
const MIN_SLOT_SHARE = 0.05;
/** Maximum number of unused sends that are kept for later. */
const MAX_CREDIT = 4;
/** Time over which this VM's share of the load is measured, ms. */
const RATE_WINDOW_MS = 5000;
/** Lowest utilization of the endpoints that is assumed. */
const MIN_UTILIZATION = 0.05;
/** Time without queues after which the limit ends, ms. */
const NO_QUEUE_MS = 2000;
/** Service time that is assumed before the first answer, ms. */
const INITIAL_SERVICE_MS = 50;

/** Rate limit of one VM for one service; its unit is requests per ms. */
export class SendLimit {
  private readonly serviceTime = new ServiceTime();
  /** Undefined while there is no limit. */
  private ratePerMs: number | undefined;
  /** Number of requests that may be sent at once. */
  private credit = MAX_CREDIT;
  private creditAtMs = 0;
  /** Number of answers, in which older ones weigh less. */
  private recentAnswers = 0;
  private answeredAtMs = 0;
  /** Sum of the utilization of the endpoints at these answers. */
  private recentUtilization = 0;
  private firstAnswerAtMs: number | undefined;
  private reducedAtMs = -Infinity;
  private queueSeenAtMs = -Infinity;
  /** Whether the last answer came from an endpoint with a long queue. */
  private wasQueueLong = false;
  private slots = 0;
  private running = 0;

  /** Sets the number of slots of all endpoints that may get requests. */
  setSlots(slots: number): void {
    this.slots = slots;
  }

  /** Number of requests that were sent and have not ended. */
  get inFlight(): number {
    return this.running;
  }

  /** Requests per second that may be sent; undefined while there is no limit. */
  get limitPerS(): number | undefined {
    return this.ratePerMs === undefined ? undefined : this.ratePerMs * 1000;
  }

  /**
   * Whether a request may be sent now such that `reserve` further ones could follow at
   * once. Always true without endpoints, since the sender finds that out by itself.
   */
  maySend(reserve: number, nowMs: number): boolean {
    if (this.slots === 0) return true;
    if (this.running >= this.slots) return false;
    this.addCredit(nowMs);
    return this.ratePerMs === undefined || this.credit >= 1 + reserve;
  }

  /** Expected time until a request with `ahead` others before it may be sent, ms. */
  measureWaitMs(ahead: number, reserve: number, nowMs: number): number {
    this.addCredit(nowMs);
    return Math.max(
      this.measureCreditWaitMs(ahead + 1 + reserve),
      this.measureSlotWaitMs(ahead + 1),
    );
  }

  recordSent(nowMs: number): void {
    this.addCredit(nowMs);
    this.credit = Math.max(this.credit - 1, 0);
    this.running += 1;
  }

  /** Records the end of a request that was sent. */
  recordEnd(end: ExchangeEnd, objectiveMs: number, nowMs: number): void {
    this.running = Math.max(this.running - 1, 0);
    this.addCredit(nowMs);
    if (end.kind === 'full') this.reduce(REFUSAL_FACTOR, nowMs);
    if (end.kind !== 'answered') return;
    const queueShare = end.load ? measureQueueShare(end.load) : 0;
    // An answer took as long as the queue before it and its own run.
    this.serviceTime.record(end.tookMs / (1 + queueShare));
    this.recordUtilization(end.load, nowMs);
    const waitMs = end.load
      ? queueShare * this.serviceMs
      : end.answeredInMs - this.serviceMs;
    const slackMs = Math.max(objectiveMs - this.serviceMs, 1);
    this.adjust(waitMs / slackMs, nowMs);
  }

  private recordUtilization(
    load: ReportedLoad | undefined,
    nowMs: number,
  ): void {
    const weight = this.measureDecay(nowMs);
    const utilization = load
      ? Math.min(load.running / Math.max(load.slots, 1), 1)
      : 1;
    this.recentAnswers = this.recentAnswers * weight + 1;
    this.recentUtilization = this.recentUtilization * weight + utilization;
    this.answeredAtMs = nowMs;
    this.firstAnswerAtMs ??= nowMs;
  }

  /** Adjusts the rate to the time that requests wait at an endpoint, in shares of their slack. */
  private adjust(waitShare: number, nowMs: number): void {
    if (this.ratePerMs === undefined) {
      this.checkContended(waitShare, nowMs);
      return;
    }
    if (waitShare > TARGET_WAIT_SHARE) {
      const excess = Math.min(waitShare / TARGET_WAIT_SHARE - 1, 1);
      this.reduce(1 - excess * (1 - MIN_QUEUE_FACTOR), nowMs);
      return;
    }
    const growth = MAX_GROWTH * (1 - waitShare / TARGET_WAIT_SHARE);
    const fullPerMs = this.slots * this.slotRatePerMs;
    this.ratePerMs = Math.min(
      this.ratePerMs + growth * this.slotRatePerMs,
      fullPerMs,
    );
    if (waitShare > 0) this.queueSeenAtMs = nowMs;
    const noQueueSinceMs = Math.max(this.queueSeenAtMs, this.reducedAtMs);
    if (nowMs - noQueueSinceMs > NO_QUEUE_MS) this.ratePerMs = undefined;
  }

  /** Starts the limit after two long queues in a row; a single one may be due to an uneven choice of endpoints. */
  private checkContended(waitShare: number, nowMs: number): void {
    const isLong = waitShare > CONTENDED_WAIT_SHARE;
    if (isLong && this.wasQueueLong) this.reduce(1, nowMs);
    this.wasQueueLong = isLong;
  }

  private reduce(factor: number, nowMs: number): void {
    if (nowMs - this.reducedAtMs < REDUCTION_PAUSE_MS) return;
    this.reducedAtMs = nowMs;
    const fairPerMs = this.measureFairRate(nowMs);
    const lowestPerMs = Math.max(
      fairPerMs * MIN_FAIR_SHARE,
      MIN_SLOT_SHARE * this.slotRatePerMs,
    );
    if (this.ratePerMs === undefined) {
      // At the fair rate the queues no longer grow.
      this.ratePerMs = Math.max(fairPerMs, lowestPerMs);
      return;
    }
    const reducedPerMs = Math.max(this.ratePerMs * factor, lowestPerMs);
    this.ratePerMs = Math.min(this.ratePerMs, reducedPerMs);
  }

  /**
   * This VM's share of the endpoints' full rate: its own rate, scaled up by what the
   * endpoints could run beyond the load of all VMs.
   */
  private measureFairRate(nowMs: number): number {
    if (this.firstAnswerAtMs === undefined) return this.slotRatePerMs;
    const elapsedMs = nowMs - this.firstAnswerAtMs;
    const coveredMs =
      RATE_WINDOW_MS * (1 - Math.exp(-elapsedMs / RATE_WINDOW_MS));
    const answers = this.recentAnswers * this.measureDecay(nowMs);
    const ownRatePerMs = answers / Math.max(coveredMs, this.serviceMs);
    const utilization = this.recentUtilization / this.recentAnswers;
    return ownRatePerMs / Math.max(utilization, MIN_UTILIZATION);
  }

  private addCredit(nowMs: number): void {
    const elapsedMs = Math.max(nowMs - this.creditAtMs, 0);
    this.creditAtMs = nowMs;
    const earned =
      this.ratePerMs === undefined ? MAX_CREDIT : elapsedMs * this.ratePerMs;
    this.credit = Math.min(this.credit + earned, MAX_CREDIT);
  }

  private measureDecay(nowMs: number): number {
    return Math.exp((this.answeredAtMs - nowMs) / RATE_WINDOW_MS);
  }

  private measureCreditWaitMs(sends: number): number {
    if (this.ratePerMs === undefined) return 0;
    return Math.max(sends - this.credit, 0) / this.ratePerMs;
  }

  private measureSlotWaitMs(sends: number): number {
    if (this.slots === 0) return 0;
    const missing = Math.max(this.running + sends - this.slots, 0);
    return missing / (this.slots * this.slotRatePerMs);
  }

  private get serviceMs(): number {
    return Math.max(this.serviceTime.ms ?? INITIAL_SERVICE_MS, 1);
  }

  /** Number of requests per ms that one slot runs. */
  private get slotRatePerMs(): number {
    return 1 / this.serviceMs;
  }
}

/** Requests that wait at an endpoint, in shares of its slots. */
function measureQueueShare({running, waiting, slots}: ReportedLoad): number {
  return Math.max(running + waiting - slots, 0) / Math.max(slots, 1);
}
