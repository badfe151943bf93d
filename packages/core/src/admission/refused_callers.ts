/**
 * Tracks when refused callers may retry. A request that retries goes before new ones, and
 * later refusals ask for a later retry. Retries are recognized by account, since each
 * attempt has an id of its own.
 */

import type {TenantId} from '@radishyoke/shared/ids';
import {BinaryHeap} from '../scheduling/binary_heap.js';

/** Maximum number of accounts that are remembered, and of refusals of each and of all. */
const MAX_ACCOUNTS = 1000;
const MAX_ACCOUNT_REFUSALS = 50;
const MAX_REFUSALS = 1000;
/** A caller returns at most this long after it may, ms. */
const RETURN_WINDOW_MS = 200;

/** Refused callers of one service by account; all times are steady ms. */
export class RefusedCallers {
  /** Steady ms at which the refused callers of each account may return. */
  private readonly byAccount = new Map<TenantId, BinaryHeap<number>>();
  /** Those of all accounts. */
  private readonly expected = createEarliestFirst();

  record(account: TenantId, returnsAtMs: number): void {
    if (this.expected.size < MAX_REFUSALS) this.expected.push(returnsAtMs);
    const returns = this.openAccount(account);
    if (returns && returns.size < MAX_ACCOUNT_REFUSALS) {
      returns.push(returnsAtMs);
    }
  }

  /** Number of refused callers that may not return yet. */
  countExpected(nowMs: number): number {
    dropBefore(this.expected, nowMs);
    return this.expected.size;
  }

  /** Whether a request that arrives now counts as one that returns; each refusal counts once. */
  takeReturn(account: TenantId, nowMs: number): boolean {
    const returns = this.byAccount.get(account);
    if (!returns) return false;
    dropBefore(returns, nowMs - RETURN_WINDOW_MS);
    const earliestMs = returns.peek() ?? Infinity;
    const isReturn = earliestMs <= nowMs;
    if (isReturn) returns.pop();
    if (returns.size === 0) this.byAccount.delete(account);
    return isReturn;
  }

  private openAccount(account: TenantId): BinaryHeap<number> | undefined {
    const existing = this.byAccount.get(account);
    if (existing || this.byAccount.size >= MAX_ACCOUNTS) return existing;
    const returns = createEarliestFirst();
    this.byAccount.set(account, returns);
    return returns;
  }
}

function createEarliestFirst(): BinaryHeap<number> {
  return new BinaryHeap<number>((a, b) => a < b);
}

function dropBefore(times: BinaryHeap<number>, limitMs: number): void {
  while ((times.peek() ?? Infinity) < limitMs) times.pop();
}
