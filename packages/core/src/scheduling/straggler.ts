/**
 * Decides whether an attempt that delays its step should move to a faster
 * endpoint. A step completes only with its last sample.
 */

import type {TenantId} from '@radishyoke/shared/ids';
import {TokenBucket} from './token_bucket.js';
import type {Attempt} from './work_state.js';

/** What to do with one attempt. */
export type StragglerAction =
  | 'leave'
  /** Stop it and resume from its output on another endpoint. */
  | 'move'
  /** Also resume from its output on another endpoint, and use the first result. */
  | 'hedge';

/** Time without progress after which an attempt is hedged. */
const STALLED_BEFORE_HEDGE_MS = 1500;
/** Minimum ratio of the expected time without a move to that with one. */
const MIN_SPEEDUP = 1.5;
const MIN_SAVED_MS = 2000;
/** Moves and hedges earned per work item started. */
const BUDGET_PER_START = 0.05;
const BUDGET_BURST = 16;
/** Moves and hedges earned per second, so that a long tail can use some. */
const BUDGET_PER_SECOND = 0.5;

export class StragglerPolicy {
  private readonly budgets = new Map<TenantId, TokenBucket>();

  recordStart(tenant: TenantId): void {
    this.getBudget(tenant).add(BUDGET_PER_START);
  }

  /** Takes one move or hedge from the tenant's budget if there is one. */
  takeBudget(tenant: TenantId, nowMs: number): boolean {
    return this.getBudget(tenant).take(nowMs);
  }

  private getBudget(tenant: TenantId): TokenBucket {
    let budget = this.budgets.get(tenant);
    if (!budget) {
      budget = new TokenBucket(BUDGET_BURST, BUDGET_PER_SECOND);
      this.budgets.set(tenant, budget);
    }
    return budget;
  }
}

/** Expected times of an attempt on its current and on the target endpoint. */
export interface StragglerTimes {
  /** Ms per token on the current endpoint. */
  readonly currentMs: number;
  /** Ms per token on the target endpoint. */
  readonly targetMs: number;
  /** Ms to prefill the prompt and the output so far on the target endpoint. */
  readonly resumeMs: number;
}

/** Compares the expected time of staying with that of moving. */
export function decideStragglerAction(
  attempt: Attempt,
  remainingTokens: number,
  times: StragglerTimes,
  nowMs: number,
): StragglerAction {
  if (nowMs - attempt.progressAtMs > STALLED_BEFORE_HEDGE_MS) return 'hedge';
  const stayMs = remainingTokens * times.currentMs;
  const moveMs = remainingTokens * times.targetMs + times.resumeMs;
  const isWorthIt =
    stayMs > moveMs * MIN_SPEEDUP && stayMs - moveMs > MIN_SAVED_MS;
  return isWorthIt ? 'move' : 'leave';
}
