/**
 * Decides for each request to one service whether it is sent, waits on this VM or is
 * refused, while callers may ask for more than the endpoints can run.
 *
 * A request waits only if it can be answered within its objective; otherwise it is
 * refused at once. A late request is sent only if no other one waits. A refused request
 * has not been sent by this decision.
 */

import type {
  AdmissionFacts,
  AdmissionRequest,
  ExchangeEnd,
  RefusalReason,
  Released,
  Verdict,
} from './admission_request.js';
import {RefusedCallers} from './refused_callers.js';
import {decideReturnMs} from './return_time.js';
import {SendLimit} from './send_limit.js';
import {RouteServiceTimes} from './service_time.js';
import {WaitingQueue} from './waiting_queue.js';

/** Maximum number of requests that wait for one service on one VM. */
const MAX_WAITING = 128;
/** Service time assumed before the first answer of a route, as a share of the remaining objective. */
const INITIAL_OBJECTIVE_SHARE = 0.25;
/** A send is reserved for each more urgent priority that had a request within this time, ms. */
const RESERVE_MS = 1000;
const MAX_RESERVED_SENDS = 2;

/** The decision on an arriving request, and the request that it displaces from the queue, if any. */
export interface Arrival<T extends AdmissionRequest> {
  readonly verdict: Verdict;
  /** A less urgent request that gave up its place in the queue. */
  readonly displaced: Released<T> | undefined;
}

/** A request that was sent and has ended. */
export interface EndedRequest {
  readonly route: string;
  readonly objectiveMs: number;
  readonly end: ExchangeEnd;
}

/** Admission control of one service on one VM: a rate limit and a queue. */
export class AdmissionControl<T extends AdmissionRequest> {
  private readonly limit = new SendLimit();
  private readonly queue = new WaitingQueue<T>();
  private readonly serviceTimes = new RouteServiceTimes();
  private readonly refused = new RefusedCallers();
  /** Steady ms of the last arrival at each priority. */
  private readonly arrivedAtMs = new Map<number, number>();

  /** Sets the number of slots of all endpoints that may get requests. */
  setSlots(slots: number): void {
    this.limit.setSlots(slots);
  }

  get waiting(): number {
    return this.queue.size;
  }

  get inFlight(): number {
    return this.limit.inFlight;
  }

  /** Rate limit in requests per second; undefined while there is none. */
  get limitPerS(): number | undefined {
    return this.limit.limitPerS;
  }

  listWaiting(): readonly T[] {
    return this.queue.requests;
  }

  /** Whether the caller's account has a refused request that is due to return. */
  takeReturn(account: T['account'], nowMs: number): boolean {
    return this.refused.takeReturn(account, nowMs);
  }

  /** Decides on an arriving request; `random` in [0, 1) spreads the return of refused callers. */
  arrive(request: T, nowMs: number, random: number): Arrival<T> {
    this.arrivedAtMs.set(request.priority, nowMs);
    // A refused request that has become late is not queued again.
    if (request.isReturning && nowMs > request.objectiveAtMs) {
      return this.refuseArrival(request, 'too_late', nowMs, random);
    }
    const refusal = this.checkInTime(request, nowMs);
    const mayGoNow =
      this.queue.countAhead(request) === 0 && this.mayTake(request, nowMs);
    if (refusal && !mayGoNow) {
      return this.refuseArrival(request, refusal, nowMs, random);
    }
    // Requests that are sent at once also pass the queue, which counts them for fair queueing.
    this.queue.push(request);
    if (mayGoNow && this.queue.peek() === request) {
      this.queue.take();
      this.limit.recordSent(nowMs);
      return {verdict: {kind: 'send'}, displaced: undefined};
    }
    return this.boundQueue(request, nowMs, random);
  }

  /** Removes the request of a caller that left; returns whether it was waiting. */
  leave(request: T): boolean {
    return this.queue.remove(request);
  }

  /** Whether one more copy of a request that is being served may be sent. */
  hasIdleCapacity(nowMs: number): boolean {
    return (
      this.queue.size === 0 && this.limit.maySend(MAX_RESERVED_SENDS, nowMs)
    );
  }

  /** Like `hasIdleCapacity`; takes the room if there is any. */
  takeIdleCapacity(nowMs: number): boolean {
    const isIdle = this.hasIdleCapacity(nowMs);
    if (isIdle) this.limit.recordSent(nowMs);
    return isIdle;
  }

  /** Records the end of a request that was sent. `release` then tells who goes next. */
  recordEnd({route, objectiveMs, end}: EndedRequest, nowMs: number): void {
    if (end.kind === 'answered') {
      this.serviceTimes.record(route, end.answeredInMs);
    }
    this.limit.recordEnd(end, objectiveMs, nowMs);
  }

  /** Removes and returns the waiting requests that can be sent now and those that have become late. */
  release(nowMs: number, random: () => number): readonly Released<T>[] {
    const released: Released<T>[] = [];
    for (;;) {
      const next = this.queue.peek();
      if (!next) return released;
      if (!this.mayTake(next, nowMs)) break;
      this.queue.take();
      released.push(this.releaseNext(next, nowMs, random()));
    }
    for (const request of this.queue.requests) {
      if (!this.isLate(request, nowMs)) continue;
      this.queue.remove(request);
      const verdict = this.refuse(request, 'too_late', nowMs, random());
      released.push({request, verdict});
    }
    return released;
  }

  /** Time until `release` may return something without a further event, ms; undefined if nothing waits. */
  measureNextReleaseMs(nowMs: number): number | undefined {
    const next = this.queue.peek();
    if (!next) return undefined;
    const reserve = this.reserveFor(next, nowMs);
    const sendMs = this.limit.measureWaitMs(0, reserve, nowMs);
    const lateMs = this.measureUntilLateMs(nowMs);
    return Math.max(Math.min(sendMs, lateMs), 0);
  }

  /** Applies changed priorities of requests that wait. */
  reorder(): void {
    this.queue.reorder();
  }

  private boundQueue(request: T, nowMs: number, random: number): Arrival<T> {
    if (this.queue.size <= MAX_WAITING) {
      return {verdict: {kind: 'wait'}, displaced: undefined};
    }
    const last = this.queue.findDropCandidate()!;
    this.queue.remove(last);
    const verdict = this.refuse(last, 'queue_full', nowMs, random);
    if (last === request) return {verdict, displaced: undefined};
    return {verdict: {kind: 'wait'}, displaced: {request: last, verdict}};
  }

  private refuseArrival(
    request: T,
    reason: RefusalReason,
    nowMs: number,
    random: number,
  ): Arrival<T> {
    const verdict = this.refuse(request, reason, nowMs, random);
    return {verdict, displaced: undefined};
  }

  /** Returns why a request can not wait for its turn; undefined if it can. */
  private checkInTime(request: T, nowMs: number): RefusalReason | undefined {
    const answeredAtMs =
      nowMs +
      this.measureWaitMs(request, nowMs) +
      this.estimateServiceMs(request, nowMs);
    if (answeredAtMs > request.deadlineAtMs) return 'past_deadline';
    return answeredAtMs > request.objectiveAtMs ? 'too_late' : undefined;
  }

  private mayTake(next: T, nowMs: number): boolean {
    return this.limit.maySend(this.reserveFor(next, nowMs), nowMs);
  }

  private releaseNext(request: T, nowMs: number, random: number): Released<T> {
    const isWanted = this.queue.size > 0;
    if (isWanted && this.isLate(request, nowMs)) {
      const verdict = this.refuse(request, 'too_late', nowMs, random);
      return {request, verdict};
    }
    this.limit.recordSent(nowMs);
    return {request, verdict: {kind: 'send'}};
  }

  /** Whether a request would be late even if it were sent now. */
  private isLate(request: T, nowMs: number): boolean {
    return this.measureSlackMs(request, nowMs) < 0;
  }

  /** Time for which a request can still wait and be answered in time, ms. */
  private measureSlackMs(request: T, nowMs: number): number {
    const remainingMs = request.objectiveAtMs - nowMs;
    return remainingMs - this.estimateServiceMs(request, nowMs);
  }

  /** Time until the first of the waiting requests is late, ms. */
  private measureUntilLateMs(nowMs: number): number {
    const slacks = this.queue.requests.map(request =>
      this.measureSlackMs(request, nowMs),
    );
    return Math.min(...slacks);
  }

  private refuse(
    request: T,
    reason: RefusalReason,
    nowMs: number,
    random: number,
  ): Extract<Verdict, {readonly kind: 'refuse'}> {
    const facts = this.describe(request, nowMs);
    const terms = {
      drainMs: this.measureDrainMs(request, nowMs),
      remainingMs: request.deadlineAtMs - nowMs,
    };
    const retryAfterMs = decideReturnMs(terms, random);
    this.refused.record(request.account, nowMs + retryAfterMs);
    return {kind: 'refuse', refusal: {reason, retryAfterMs, facts}};
  }

  private describe(request: T, nowMs: number): AdmissionFacts {
    return {
      limitPerS: this.limit.limitPerS,
      inFlight: this.limit.inFlight,
      waiting: this.queue.size,
      expectedWaitMs: this.measureWaitMs(request, nowMs),
    };
  }

  /** Expected time until `request` could be sent after all callers refused before it, ms. */
  private measureDrainMs(request: T, nowMs: number): number {
    const returning = this.refused.countExpected(nowMs);
    return this.measureWaitMs(request, nowMs, returning);
  }

  private measureWaitMs(request: T, nowMs: number, returning = 0): number {
    const ahead = this.queue.countAhead(request) + returning;
    const reserve = this.reserveAgainst(request.priority, nowMs);
    return this.limit.measureWaitMs(ahead, reserve, nowMs);
  }

  private estimateServiceMs(request: T, nowMs: number): number {
    const remainingMs = Math.max(request.objectiveAtMs - nowMs, 0);
    return (
      this.serviceTimes.get(request.route) ??
      remainingMs * INITIAL_OBJECTIVE_SHARE
    );
  }

  private reserveFor(next: T, nowMs: number): number {
    if (this.queue.isLeastServedTurn) return 0;
    return this.reserveAgainst(next.priority, nowMs);
  }

  /** Number of sends that a request of this priority leaves to more urgent ones. */
  private reserveAgainst(priority: number, nowMs: number): number {
    let reserved = 0;
    for (const [level, arrivedAtMs] of this.arrivedAtMs) {
      const isRecent = nowMs - arrivedAtMs < RESERVE_MS;
      if (level < priority && isRecent) reserved += 1;
    }
    return Math.min(reserved, MAX_RESERVED_SENDS);
  }
}
