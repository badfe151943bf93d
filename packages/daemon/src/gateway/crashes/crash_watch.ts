/**
 * Quarantines requests that crash endpoints: tracks which requests of this VM were in
 * flight on an endpoint when it crashed, and publishes that to the other VMs.
 */

import {
  type CrashRegistry,
  EARLY_WEIGHT,
  LATE_WEIGHT,
  type QuarantineStatus,
} from '@radishyoke/core/crashes/crash_registry';
import {RecentAnswers} from '@radishyoke/core/crashes/recent_answers';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EventLogger} from '../../logger.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {type InterruptedRequests, CrashDetector} from './crash_detector.js';
import {probeEndpoint, type ProbeTarget} from './endpoint_probe.js';
import {
  isEarlyEnd,
  type InFlightRequest,
  type WatchedEnd,
  WatchedRequest,
} from './watched_request.js';

/** Publishes the crash records of a request to the other VMs. */
export interface CrashPublisher {
  publish(fingerprint: string): void;
}

export interface CrashWatchDeps {
  readonly registry: CrashRegistry;
  readonly publisher: CrashPublisher;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
  /** Whether an endpoint is reachable; replaced in tests, opens a connection by default. */
  readonly probe?: (target: ProbeTarget) => Promise<boolean>;
}

/** A request's first crash is published after this delay, ms, unless the request succeeds before: most do at their next endpoint. */
const PUBLISH_DELAY_MS = 250;
/** The crashes of a request are published at once if it has at least this many. */
const IMMEDIATE_PUBLISH_CRASHES = 2;
const MAX_LOGGED_FINGERPRINTS = 20;

export class CrashWatch {
  /** By endpoint id. */
  private readonly inFlight = new Map<string, Set<InFlightRequest>>();
  private readonly recentAnswers = new RecentAnswers();
  private readonly probe: (target: ProbeTarget) => Promise<boolean>;
  private readonly detector: CrashDetector;

  constructor(private readonly deps: CrashWatchDeps) {
    this.probe = deps.probe ?? probeEndpoint;
    this.detector = new CrashDetector({
      probe: this.probe,
      hasSurvivor: (id, beforeMs) => this.hasSurvivor(id, beforeMs),
      onCrash: (entry, interrupted, atMs) =>
        this.recordCrash(entry, interrupted, atMs),
    });
  }

  isQuarantined(fingerprint: () => string): boolean {
    return this.hasSuspects && this.getStatus(fingerprint()).kind === 'held';
  }

  /** Whether the request was in flight on an endpoint when it crashed. */
  isSuspected(fingerprint: () => string): boolean {
    return this.hasSuspects && this.getStatus(fingerprint()).kind !== 'clear';
  }

  /** Whether a suspected request is part of a check in progress, which may add another crash to it. */
  isBeingChecked(fingerprint: () => string): boolean {
    if (!this.detector.isChecking || !this.isSuspected(fingerprint))
      return false;
    return this.detector.isCheckingRequest(fingerprint());
  }

  /** Remaining time of the request's quarantine, ms; 0 if it has none. */
  measureQuarantineMs(fingerprint: string): number {
    const status = this.getStatus(fingerprint);
    if (status.kind !== 'held') return 0;
    return Math.max(Math.ceil(status.untilMs - Date.now()), 0);
  }

  countCrashes(fingerprint: string): number {
    return this.deps.registry.getCrashes(fingerprint).length;
  }

  /**
   * Whether a request may be sent to the endpoint now. A suspected request only goes to
   * a reachable endpoint, or it would be blamed for a crash that another request caused.
   */
  async maySendTo(
    entry: EndpointEntry,
    fingerprint: () => string,
  ): Promise<boolean> {
    return !this.isSuspected(fingerprint) || this.probe(entry);
  }

  /** Records that a request is sent to an endpoint. */
  recordStart(entry: EndpointEntry, fingerprint: () => string): WatchedRequest {
    if (this.hasSuspects)
      this.deps.registry.recordStart(fingerprint(), Date.now());
    const watched = new WatchedRequest(entry, fingerprint, (ended, how) =>
      this.onEnd(ended, how),
    );
    const atEndpoint = this.inFlight.get(entry.id) ?? new Set();
    this.inFlight.set(entry.id, atEndpoint.add(watched));
    return watched;
  }

  /** Resolves once the check of the endpoint ends; at once if there is none. */
  waitForCheck(endpointId: string): Promise<void> {
    return this.detector.waitForCheck(endpointId);
  }

  /** Handles an endpoint that left the list of endpoints or names a new incarnation there. */
  onEndpointGone(entry: EndpointEntry): void {
    this.detector.onEndpointGone(entry);
  }

  /** Drops the tracked breaks of an endpoint that was replaced or removed. */
  forget(endpointId: string): void {
    this.detector.forget(endpointId);
  }

  /** Handles a record from another VM: a request that was answered here recently is cleared on all VMs. */
  onRemoteUpdate(fingerprint: string): void {
    if (this.wasAnsweredRecently(fingerprint))
      this.withdrawSuspicion(fingerprint);
  }

  /** Whether any request is suspected; if not, fingerprints need not be computed. */
  private get hasSuspects(): boolean {
    return this.deps.registry.size > 0;
  }

  private getStatus(fingerprint: string): QuarantineStatus {
    return this.deps.registry.getStatus(fingerprint, Date.now());
  }

  private wasAnsweredRecently(fingerprint: string): boolean {
    return this.recentAnswers.hasRecent(fingerprint, performance.now());
  }

  private hasSurvivor(endpointId: string, beforeMs: number): boolean {
    const atEndpoint = this.inFlight.get(endpointId) ?? [];
    return [...atEndpoint].some(({startedMs}) => startedMs < beforeMs);
  }

  private onEnd(watched: InFlightRequest, how: WatchedEnd): void {
    const {entry} = watched;
    const atEndpoint = this.inFlight.get(entry.id);
    atEndpoint?.delete(watched);
    if (atEndpoint?.size === 0) this.inFlight.delete(entry.id);
    if (how === 'broken') return this.onBrokenConnection(watched);
    if (how === 'answered') {
      this.recentAnswers.record(watched.fingerprint(), performance.now());
    }
    const hasRun = how === 'answered' || !isEarlyEnd(watched);
    if (hasRun) this.clearRequest(watched);
  }

  /** For a probe of a quarantined request a broken connection counts as a crash at once, since a crash may be confirmed only seconds later. */
  private onBrokenConnection(watched: InFlightRequest): void {
    const fingerprint = watched.fingerprint();
    const isProbe = this.deps.registry.runsAsProbe(fingerprint);
    if (isProbe)
      this.recordCrash(
        watched.entry,
        new Map([[fingerprint, watched]]),
        Date.now(),
      );
    this.detector.checkEndpoint(watched);
  }

  /** Clears a request that ran without a crash, since it did not cause the earlier ones. */
  private clearRequest({fingerprint}: InFlightRequest): void {
    if (!this.hasSuspects && !this.detector.isChecking) return;
    this.detector.removeRequest(fingerprint());
    this.withdrawSuspicion(fingerprint());
  }

  private withdrawSuspicion(fingerprint: string): void {
    const {registry, publisher, logger} = this.deps;
    if (!registry.clear(fingerprint)) return;
    publisher.publish(fingerprint);
    logger.log('info', 'request cleared', {fingerprint});
  }

  private recordCrash(
    {id, service}: EndpointEntry,
    interrupted: InterruptedRequests,
    atMs: number,
  ): void {
    const {registry, metrics, logger} = this.deps;
    metrics.count('endpoint_crashes');
    for (const [fingerprint, watched] of interrupted) {
      if (this.wasAnsweredRecently(fingerprint)) continue;
      const weight = isEarlyEnd(watched) ? EARLY_WEIGHT : LATE_WEIGHT;
      registry.recordCrash(fingerprint, {endpointId: id, atMs, weight});
      this.schedulePublish(fingerprint);
      this.logQuarantine(fingerprint);
    }
    logger.log('warn', 'endpoint crashed', {
      endpoint: id,
      service,
      requests: interrupted.size,
      fingerprints: [...interrupted.keys()]
        .slice(0, MAX_LOGGED_FINGERPRINTS)
        .join(','),
    });
  }

  private logQuarantine(fingerprint: string): void {
    const retryAfterMs = this.measureQuarantineMs(fingerprint);
    if (retryAfterMs === 0) return;
    const crashes = this.countCrashes(fingerprint);
    const fields = {fingerprint, crashes, retryAfterMs};
    this.deps.logger.log('warn', 'crashing request held back', fields);
  }

  private schedulePublish(fingerprint: string): void {
    const {registry, publisher} = this.deps;
    if (registry.getCrashes(fingerprint).length >= IMMEDIATE_PUBLISH_CRASHES) {
      publisher.publish(fingerprint);
      return;
    }
    setTimeout(() => {
      if (registry.has(fingerprint)) publisher.publish(fingerprint);
    }, PUBLISH_DELAY_MS).unref();
  }
}
