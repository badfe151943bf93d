/**
 * Rolls out a model's newest weights to its engines in waves, so that enough
 * engines keep serving, no faster than the weight store allows, and retries
 * failed swaps.
 *
 * Only an engine's report shows which version it runs, not the order sent to
 * it. An order can be lost, refused, or fail after it was accepted. In each
 * case the reported version stays behind and the engine is ordered again.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import {TokenBucket} from '../scheduling/token_bucket.js';

/** An engine according to its latest report. */
export interface ReportedEngine {
  readonly id: EndpointId;
  readonly weightVersion: number;
}

/** An order to load a weight version. */
export interface LoadOrder {
  readonly engine: EndpointId;
  readonly version: number;
  readonly fencing: number;
}

/** Result of sending an order. */
export type OrderOutcome =
  | 'begun'
  /** The engine received a higher fencing number: this holder is superseded. */
  | 'stale_fencing'
  | 'failed'
  /** No answer: the engine may or may not have accepted the order. */
  | 'unknown';

export interface WeightRolloutOptions {
  /** Fetches per second that the store allows; each order causes one. */
  readonly fetchesPerSecond: number;
  /** Share of the engines that may load at the same time. */
  readonly waveShare: number;
  /** Time to fetch and swap weights before the order counts as failed. */
  readonly swapTimeoutMs: number;
  /** The same time for an order without an answer. */
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
  /** The order in progress, if any. */
  pending?: {
    readonly version: number;
    readonly sentAtMs: number;
    readonly timeoutMs: number;
  };
  failures: number;
  retryAtMs: number;
}

/**
 * Orders for one model under one fencing number; each holder creates its own.
 */
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

  /** Whether an engine reported that a newer holder sends orders. */
  get isSuperseded(): boolean {
    return this.superseded;
  }

  /** Returns the orders to send now; called on new reports and versions. */
  plan(
    reported: readonly ReportedEngine[],
    newestVersion: number,
    nowMs: number,
  ): readonly LoadOrder[] {
    // A holder cannot detect that its lease expired during a pause. Engines
    // that check fencing numbers report it; after that the holder must also
    // send no orders to engines that do not check them.
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
    // Without an answer only the next report shows the result, and until then
    // the engine counts as loading. On a silent connection the order never
    // arrived, and a long wait would keep the other engines from the new
    // weights, so the timeout is shorter. Ordering the same version again is
    // harmless.
    if (outcome !== 'unknown') return;
    engine.pending = {...pending, timeoutMs: this.options.unansweredTimeoutMs};
  }

  /** Completes or fails the order in progress according to a report. */
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

/** Sorts the engines furthest behind first, as they add most to staleness. */
function sortBehindFirst(
  reported: readonly ReportedEngine[],
): readonly ReportedEngine[] {
  return [...reported].sort(
    (a, b) => a.weightVersion - b.weightVersion || (a.id < b.id ? -1 : 1),
  );
}
