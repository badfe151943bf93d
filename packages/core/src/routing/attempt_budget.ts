/**
 * Limits retries and hedges over all requests of a service, so that a service that is
 * slow or failing as a whole does not get twice the work. A part of the budget is reserved
 * for retries.
 */

import {TokenBucket} from '../scheduling/token_bucket.js';

/** Further attempts that each request earns. */
const EARNED_PER_REQUEST = 0.05;
/** Further attempts that are earned over time, for services with few requests. */
const EARNED_PER_SECOND = 0.02;
/** Attempts that hedges leave to retries, for requests that fail together when an endpoint crashes. */
const RETRY_RESERVE = 5;
/** Maximum number of hedges that can be saved up. */
const MAX_SAVED_HEDGES = 3;

/** Token bucket of further attempts of one service on one VM. */
export class AttemptBudget {
  private readonly bucket = new TokenBucket(
    RETRY_RESERVE + MAX_SAVED_HEDGES,
    EARNED_PER_SECOND,
  );

  recordRequest(): void {
    this.bucket.add(EARNED_PER_REQUEST);
  }

  /** Returns whether a request that failed may be sent again, and counts it. */
  takeRetry(nowMs: number): boolean {
    return this.bucket.take(nowMs);
  }

  /** Returns whether a hedge may start, and counts it. */
  takeHedge(nowMs: number): boolean {
    const needed = RETRY_RESERVE + 1;
    if (this.bucket.measureWaitMs(nowMs, needed) > 0) return false;
    return this.bucket.take(nowMs);
  }
}
