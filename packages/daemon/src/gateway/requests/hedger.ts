/**
 * Decides for one request when it is hedged and whether it is sent again after a failure,
 * and records how long its endpoints took. The policy depends on whether the endpoints of
 * the service are chosen by expected time.
 */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {RequestTerms} from '@radishyoke/core/routing/attempt_policy';
import {
  FixedHedgePolicy,
  type HedgePolicy,
  MeasuredHedgePolicy,
} from '@radishyoke/core/routing/hedge_policy';
import type {ServiceRecord} from '@radishyoke/core/routing/service_record';
import type {
  EndpointExchange,
  ExchangeOutcome,
} from '../endpoints/endpoint_exchange.js';
import {pickHedgeTarget} from '../endpoints/endpoint_picker.js';
import type {ForwarderDeps} from './forward_request.js';

/** What to do when a hedge is due. */
export type HedgeStep =
  /** Start it, at any endpoint if none is named. */
  | {readonly kind: 'start'; readonly entry: EndpointEntry | undefined}
  | {readonly kind: 'wait'; readonly delayMs: number}
  | {readonly kind: 'skip'};

const FIXED_POLICY = new FixedHedgePolicy();

/** Hedges and retries of one request. */
export class Hedger {
  /** Start of the first attempt that is not known to have been refused. */
  private startedMs = performance.now();
  /** Endpoint of the hedge, once it was started. */
  private hedgeEndpointId: string | undefined;
  private isRequestCounted = false;

  constructor(
    private readonly deps: ForwarderDeps,
    private readonly service: string | undefined,
    private readonly terms: RequestTerms,
    private readonly deadlineAtMs: number,
  ) {}

  /** Returns the ms until a hedge is due, counted from the first attempt; undefined for never. */
  measureDelayMs(): number | undefined {
    return this.policy.measureDelayMs(this.terms);
  }

  /**
   * Decides about a hedge that is due, at an endpoint that is not in `tried`.
   *
   * @param hasRoom Whether admission has room for a second copy.
   */
  decide(tried: ReadonlySet<string>, hasRoom: boolean): HedgeStep {
    const {service, timedService, terms, deps} = this;
    if (service === undefined || !timedService) {
      return {kind: 'start', entry: undefined};
    }
    const target = pickHedgeTarget(deps, service, tried);
    const nowMs = performance.now();
    const elapsedMs = nowMs - this.startedMs;
    const decision = this.policy.decide(terms, {
      elapsedMs,
      remainingMs: this.deadlineAtMs - nowMs,
      expectedMs: target?.expectedMs,
      hasRoom,
      nowMs,
    });
    switch (decision.kind) {
      case 'start':
        this.hedgeEndpointId = target?.entry.id;
        deps.metrics.count('hedges_started');
        return {kind: 'start', entry: target?.entry};
      case 'wait':
        deps.metrics.count(`hedges_${decision.reason}`);
        return {kind: 'wait', delayMs: decision.untilMs - elapsedMs};
      case 'skip':
        deps.metrics.count(`hedges_${decision.reason}`);
        return {kind: 'skip'};
    }
  }

  /** Returns whether the request may be sent again after it ran and failed. */
  takeRetry(): boolean {
    const isAllowed = this.policy.takeRetry(performance.now());
    if (!isAllowed) this.deps.metrics.count('retries_over_budget');
    return isAllowed;
  }

  /** Records the start of an attempt before which none has run. */
  recordStart(): void {
    this.startedMs = performance.now();
    if (this.isRequestCounted) return;
    this.isRequestCounted = true;
    this.timedService?.budget.recordRequest();
  }

  /** Records an attempt that ended before the request was settled. */
  recordOutcome(
    entry: EndpointEntry,
    outcome: ExchangeOutcome,
    tookMs: number,
  ): void {
    // Failures are answered early and tell nothing about the duration of work.
    if (outcome.kind !== 'answered' || outcome.answer.status >= 400) return;
    const nowMs = performance.now();
    this.deps.view.recordDuration(entry, tookMs, nowMs);
    this.timedService?.recordAnswer(nowMs - this.startedMs);
    if (this.hedgeEndpointId === undefined) return;
    const isWon = entry.id === this.hedgeEndpointId;
    this.deps.metrics.count(isWon ? 'hedges_won' : 'hedges_lost');
  }

  /** Records an attempt that was still running when the request was settled. */
  recordUnfinished(entry: EndpointEntry, {sentMs}: EndpointExchange): void {
    if (sentMs === undefined) return;
    const nowMs = performance.now();
    this.deps.view.recordUnfinished(entry, nowMs - sentMs, nowMs);
  }

  private get timedService(): ServiceRecord | undefined {
    const {service} = this;
    if (service === undefined) return undefined;
    return this.deps.view.findTimedService(service);
  }

  private get policy(): HedgePolicy {
    const {timedService} = this;
    return timedService ? new MeasuredHedgePolicy(timedService) : FIXED_POLICY;
  }
}
