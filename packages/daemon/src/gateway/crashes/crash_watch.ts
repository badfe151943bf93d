/**
 * Holds back requests that crash endpoints: sees which requests of this VM were
 * beside a crash, keeps the book of these, and tells the other VMs.
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

/** What tells the other VMs. */
export interface CrashPublisher {
  publish(fingerprint: string): void;
}

export interface CrashWatchDeps {
  readonly book: CrashRegistry;
  readonly publisher: CrashPublisher;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
  /** Whether an endpoint is there; a connection is tried unless a test says otherwise. */
  readonly probe?: (target: ProbeTarget) => Promise<boolean>;
}

/** A first crash is told to others unless the request ends well within this time, ms: most do at their next endpoint. */
const PUBLISH_DELAY_MS = 250;
/** Crashes from which it is told at once. */
const IMMEDIATE_PUBLISH_MARKS = 2;
/** Requests that one log line names. */
const MAX_LOGGED_FINGERPRINTS = 20;

export class CrashWatch {
  /** By endpoint. */
  private readonly inFlight = new Map<string, Set<InFlightRequest>>();
  private readonly recentAnswers = new RecentAnswers();
  private readonly probe: (target: ProbeTarget) => Promise<boolean>;
  private readonly detector: CrashDetector;

  constructor(private readonly deps: CrashWatchDeps) {
    this.probe = deps.probe ?? probeEndpoint;
    this.detector = new CrashDetector({
      probe: this.probe,
      hasSurvivor: (id, beforeMs) => this.hasSurvivor(id, beforeMs),
      onCrash: (entry, broken, atMs) => this.recordCrash(entry, broken, atMs),
    });
  }

  isQuarantined(fingerprint: () => string): boolean {
    return this.hasSuspects && this.getStatus(fingerprint()).kind === 'held';
  }

  /** Whether the request was beside a crash before. */
  isSuspected(fingerprint: () => string): boolean {
    return this.hasSuspects && this.getStatus(fingerprint()).kind !== 'clear';
  }

  /** Whether it is being found out if a suspect was beside one more crash. */
  isBeingChecked(fingerprint: () => string): boolean {
    if (!this.detector.isChecking || !this.isSuspected(fingerprint))
      return false;
    return this.detector.isCheckingRequest(fingerprint());
  }

  /** For how much longer the request is held back, ms. */
  measureQuarantineMs(fingerprint: string): number {
    const status = this.getStatus(fingerprint);
    if (status.kind !== 'held') return 0;
    return Math.max(Math.ceil(status.untilMs - Date.now()), 0);
  }

  countCrashes(fingerprint: string): number {
    return this.deps.book.getCrashes(fingerprint).length;
  }

  /**
   * Whether a request may go to the endpoint now: a suspect only to one that is
   * there, as it would be blamed for an endpoint that others had crashed.
   */
  async maySendTo(
    entry: EndpointEntry,
    fingerprint: () => string,
  ): Promise<boolean> {
    return !this.isSuspected(fingerprint) || this.probe(entry);
  }

  /** A request goes to an endpoint. */
  recordStart(entry: EndpointEntry, fingerprint: () => string): WatchedRequest {
    if (this.hasSuspects) this.deps.book.recordStart(fingerprint(), Date.now());
    const watched = new WatchedRequest(entry, fingerprint, (ended, how) =>
      this.onEnd(ended, how),
    );
    const atEndpoint = this.inFlight.get(entry.id) ?? new Set();
    this.inFlight.set(entry.id, atEndpoint.add(watched));
    return watched;
  }

  /** Resolves once it is known whether the endpoint has crashed, if that is asked. */
  waitForCheck(endpointId: string): Promise<void> {
    return this.detector.waitForCheck(endpointId);
  }

  /** The list says that the endpoint is gone, or has a new life. */
  onEndpointGone(entry: EndpointEntry): void {
    this.detector.onEndpointGone(entry);
  }

  /** The endpoint is another one now, or gone. */
  forget(endpointId: string): void {
    this.detector.forget(endpointId);
  }

  /** Another VM tells of a request; one that was answered here a moment ago is cleared for all. */
  onRemoteUpdate(fingerprint: string): void {
    if (this.wasAnsweredRecently(fingerprint))
      this.withdrawSuspicion(fingerprint);
  }

  /** Whether any request is suspected: without one no fingerprint is looked up. */
  private get hasSuspects(): boolean {
    return this.deps.book.size > 0;
  }

  private getStatus(fingerprint: string): QuarantineStatus {
    return this.deps.book.getStatus(fingerprint, Date.now());
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

  /** Of a request on trial a broken connection is enough: a crash may be known for one only seconds later. */
  private onBrokenConnection(watched: InFlightRequest): void {
    const fingerprint = watched.fingerprint();
    const isProbe = this.deps.book.runsAsProbe(fingerprint);
    if (isProbe)
      this.recordCrash(
        watched.entry,
        new Map([[fingerprint, watched]]),
        Date.now(),
      );
    this.detector.checkEndpoint(watched);
  }

  /** What ran there without a crash is not to blame for earlier ones. */
  private clearRequest({fingerprint}: InFlightRequest): void {
    if (!this.hasSuspects && !this.detector.isChecking) return;
    this.detector.removeRequest(fingerprint());
    this.withdrawSuspicion(fingerprint());
  }

  private withdrawSuspicion(fingerprint: string): void {
    const {book, publisher, logger} = this.deps;
    if (!book.clear(fingerprint)) return;
    publisher.publish(fingerprint);
    logger.log('info', 'request cleared', {fingerprint});
  }

  private recordCrash(
    {id, service}: EndpointEntry,
    interrupted: InterruptedRequests,
    atMs: number,
  ): void {
    const {book, metrics, logger} = this.deps;
    metrics.count('endpoint_crashes');
    for (const [fingerprint, watched] of interrupted) {
      if (this.wasAnsweredRecently(fingerprint)) continue;
      const weight = isEarlyEnd(watched) ? EARLY_WEIGHT : LATE_WEIGHT;
      book.recordCrash(fingerprint, {endpointId: id, atMs, weight});
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
    const {book, publisher} = this.deps;
    if (book.getCrashes(fingerprint).length >= IMMEDIATE_PUBLISH_MARKS) {
      publisher.publish(fingerprint);
      return;
    }
    setTimeout(() => {
      if (book.has(fingerprint)) publisher.publish(fingerprint);
    }, PUBLISH_DELAY_MS).unref();
  }
}
