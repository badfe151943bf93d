/**
 * Brings a model's newest weights to its engines: in waves that leave capacity,
 * no faster than the store hands weights out, with failed swaps tried again.
 *
 * What an engine runs is what it reports, never what it was ordered. An order
 * can be lost, refused, or fail after it was taken; each shows as a report that
 * stays behind, and the engine is ordered again.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import {TokenBucket} from '../scheduling/token_bucket.js';

/** One engine as its latest report shows it. */
export interface ReportedEngine {
  readonly id: EndpointId;
  readonly weightVersion: number;
}

/** An order to be sent. */
export interface LoadOrder {
  readonly engine: EndpointId;
  readonly version: number;
  readonly fencing: number;
}

/** What became of sending an order. */
export type OrderOutcome =
  | 'begun'
  /** The engine knows a higher fencing number: this holder is no longer it. */
  | 'stale_fencing'
  | 'failed'
  /** No answer: the engine may have taken it or not. */
  | 'unknown';

export interface WeightRolloutOptions {
  /** Fetches a second that the store allows; each order causes one. */
  readonly fetchesPerSecond: number;
  /** Part of the engines that may load at once. */
  readonly waveShare: number;
  /** Time that an engine has to fetch and swap before it counts as failed. */
  readonly swapTimeoutMs: number;
  /** The same for an order that nobody answered. */
  readonly unansweredTimeoutMs: number;
  readonly firstRetryMs: number;
  readonly maxRetryMs: number;
}

export const DEFAULT_ROLLOUT_OPTIONS: WeightRolloutOptions = {
  fetchesPerSecond: 4,
  waveShare: 1 / 3,
  swapTimeoutMs: 15_000,
  unansweredTimeoutMs: 4000,
  firstRetryMs: 1000,
  maxRetryMs: 60_000,
};

interface EngineOrders {
  /** The order under way; absent when none is. */
  pending?: {
    readonly version: number;
    readonly sentAtMs: number;
    readonly timeoutMs: number;
  };
  failures: number;
  retryAtMs: number;
}

/** Orders of one model under one fencing number; a new holder makes a new one. */
export class WeightRollout {
  private readonly engines = new Map<EndpointId, EngineOrders>();
  private readonly fetchBucket: TokenBucket;
  private superseded = false;

  constructor(
    private readonly fencing: number,
    private readonly options: WeightRolloutOptions = DEFAULT_ROLLOUT_OPTIONS,
  ) {
    const {fetchesPerSecond} = options;
    this.fetchBucket = new TokenBucket(
      Math.max(1, fetchesPerSecond),
      fetchesPerSecond,
    );
  }

  /** Whether an engine told that a newer holder gives orders. */
  get isSuperseded(): boolean {
    return this.superseded;
  }

  /** The orders to be sent now. Called whenever reports or versions are new. */
  plan(
    reported: readonly ReportedEngine[],
    newestVersion: number,
    nowMs: number,
  ): readonly LoadOrder[] {
    // A holder whose lease lapsed while it was paused still believes it holds
    // it. Engines that check fencing numbers tell it so; to those that don't it
    // must not send on.
    if (this.superseded) return [];
    for (const engine of reported) this.applyReport(engine, nowMs);
    let room = this.countOrderRoom(reported);
    const orders: LoadOrder[] = [];
    for (const engine of sortBehindFirst(reported)) {
      if (room === 0 || engine.weightVersion >= newestVersion) break;
      if (!this.canOrder(engine.id, nowMs)) continue;
      if (!this.fetchBucket.take(nowMs)) break;
      this.getOrders(engine.id).pending = {
        version: newestVersion,
        sentAtMs: nowMs,
        timeoutMs: this.options.swapTimeoutMs,
      };
      const {fencing} = this;
      orders.push({engine: engine.id, version: newestVersion, fencing});
      room--;
    }
    return orders;
  }

  recordOutcome(order: LoadOrder, outcome: OrderOutcome, nowMs: number): void {
    if (outcome === 'stale_fencing') this.superseded = true;
    const engine = this.getOrders(order.engine);
    const {pending} = engine;
    if (pending?.version !== order.version) return;
    if (outcome === 'failed') this.scheduleRetry(engine, nowMs);
    // After no answer the report tells, and until then the engine counts as
    // loading. An order on a connection that went silent never arrived, and a
    // long wait for it keeps all others from the new weights. Ordering the same
    // version again is harmless.
    if (outcome !== 'unknown') return;
    engine.pending = {...pending, timeoutMs: this.options.unansweredTimeoutMs};
  }

  /** Sees what a report tells of the order under way. */
  private applyReport(
    {id, weightVersion}: ReportedEngine,
    nowMs: number,
  ): void {
    const engine = this.getOrders(id);
    const {pending} = engine;
    if (!pending) return;
    if (weightVersion >= pending.version) {
      engine.pending = undefined;
      engine.failures = 0;
      engine.retryAtMs = 0;
      return;
    }
    const waitedMs = nowMs - pending.sentAtMs;
    if (waitedMs >= pending.timeoutMs) this.scheduleRetry(engine, nowMs);
  }

  private scheduleRetry(engine: EngineOrders, nowMs: number): void {
    const {firstRetryMs, maxRetryMs} = this.options;
    engine.pending = undefined;
    const waitMs = firstRetryMs * 2 ** Math.min(20, engine.failures++);
    engine.retryAtMs = nowMs + Math.min(maxRetryMs, waitMs);
  }

  private countOrderRoom(reported: readonly ReportedEngine[]): number {
    const waveSize = Math.floor(reported.length * this.options.waveShare);
    const loading = reported.filter(
      ({id}) => this.getOrders(id).pending !== undefined,
    ).length;
    return Math.max(0, Math.max(1, waveSize) - loading);
  }

  private canOrder(id: EndpointId, nowMs: number): boolean {
    const {pending, retryAtMs} = this.getOrders(id);
    return !pending && nowMs >= retryAtMs;
  }

  private getOrders(id: EndpointId): EngineOrders {
    let engine = this.engines.get(id);
    if (!engine) {
      engine = {failures: 0, retryAtMs: 0};
      this.engines.set(id, engine);
    }
    return engine;
  }
}

/** Those furthest behind first: they hold staleness up. */
function sortBehindFirst(
  reported: readonly ReportedEngine[],
): readonly ReportedEngine[] {
  return [...reported].sort(
    (a, b) => a.weightVersion - b.weightVersion || (a.id < b.id ? -1 : 1),
  );
}
