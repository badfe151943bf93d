/**
 * Finds attempts that hold up their step and would be complete much earlier
 * elsewhere. A step is as late as its last sample.
 */

import type {TenantId} from '@radishyoke/shared/ids';
import {TokenBucket} from './token_bucket.js';
import type {Attempt} from './work_state.js';

/** What to do about one attempt. */
export type StragglerAction =
  | 'leave'
  /** Stop it and go on from its output elsewhere. */
  | 'move'
  /** Go on from its output elsewhere as well, and take what ends first. */
  | 'hedge';

/** An attempt that has shown nothing for this long may never again. */
const STALLED_BEFORE_HEDGE_MS = 1500;
/** How many times faster the other endpoint has to be. */
const MIN_SPEEDUP = 1.5;
const MIN_SAVED_MS = 2000;
/** Second attempts for the tail, as a share of all starts. */
const BUDGET_PER_START = 0.05;
const BUDGET_BURST = 16;
/** What time alone adds, so that a long tail isn't left alone. */
const BUDGET_PER_SECOND = 0.5;

export class StragglerPolicy {
  private readonly budgets = new Map<TenantId, TokenBucket>();

  recordStart(tenant: TenantId): void {
    this.getBudget(tenant).add(BUDGET_PER_START);
  }

  /** Whether the tenant's budget allows one more second attempt; takes it. */
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

/** Expected ms for one token where the attempt is and where it could go. */
export interface StragglerTimes {
  readonly currentMs: number;
  readonly targetMs: number;
  /** What it costs to go on there: reading prompt and output again. */
  readonly resumeMs: number;
}

/** Compares staying with going on elsewhere. */
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
