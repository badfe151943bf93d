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
import {type BrokenRequests, CrashInquiries} from './crash_inquiries.js';
import {probeEndpoint, type ProbeTarget} from './endpoint_probe.js';
import {
  isEarly,
  type InFlightRequest,
  type WatchedEnd,
  WatchedRequest,
} from './watched_request.js';

/** What tells the other VMs. */
export interface CrashTeller {
  tell(fingerprint: string): void;
}

export interface WatchParts {
  readonly book: CrashRegistry;
  readonly news: CrashTeller;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
  /** Whether an endpoint is there; a connection is tried unless a test says otherwise. */
  readonly probe?: (target: ProbeTarget) => Promise<boolean>;
}

/** A first crash is told to others unless the request ends well within this time, ms: most do at their next endpoint. */
const TELL_MS = 250;
/** Crashes from which it is told at once. */
const TELL_MARKS = 2;
/** Requests that one log line names. */
const MAX_NAMED = 20;

export class CrashWatch {
  /** By endpoint. */
  private readonly inFlight = new Map<string, Set<InFlightRequest>>();
  private readonly answers = new RecentAnswers();
  private readonly probe: (target: ProbeTarget) => Promise<boolean>;
  private readonly inquiries: CrashInquiries;

  constructor(private readonly parts: WatchParts) {
    this.probe = parts.probe ?? probeEndpoint;
    this.inquiries = new CrashInquiries({
      probe: this.probe,
      hasSurvivor: (id, beforeMs) => this.hasSurvivor(id, beforeMs),
      onCrash: (entry, broken, atMs) => this.noteCrash(entry, broken, atMs),
    });
  }

  isHeld(fingerprint: () => string): boolean {
    return this.isAlert && this.judge(fingerprint()).kind === 'held';
  }

  /** Whether the request was beside a crash before. */
  isSuspect(fingerprint: () => string): boolean {
    return this.isAlert && this.judge(fingerprint()).kind !== 'clear';
  }

  /** Whether it is being found out if a suspect was beside one more crash. */
  isAsked(fingerprint: () => string): boolean {
    if (!this.inquiries.isBusy || !this.isSuspect(fingerprint)) return false;
    return this.inquiries.concerns(fingerprint());
  }

  /** For how much longer the request is held back, ms. */
  measureHoldMs(fingerprint: string): number {
    const standing = this.judge(fingerprint);
    if (standing.kind !== 'held') return 0;
    return Math.max(Math.ceil(standing.untilMs - Date.now()), 0);
  }

  countCrashes(fingerprint: string): number {
    return this.parts.book.getCrashes(fingerprint).length;
  }

  /**
   * Whether a request may go to the endpoint now: a suspect only to one that is
   * there, as it would be blamed for an endpoint that others had crashed.
   */
  async isFit(
    entry: EndpointEntry,
    fingerprint: () => string,
  ): Promise<boolean> {
    return !this.isSuspect(fingerprint) || this.probe(entry);
  }

  /** A request goes to an endpoint. */
  begin(entry: EndpointEntry, fingerprint: () => string): WatchedRequest {
    if (this.isAlert) this.parts.book.recordStart(fingerprint(), Date.now());
    const watched = new WatchedRequest(entry, fingerprint, (ended, how) =>
      this.noteEnd(ended, how),
    );
    const here = this.inFlight.get(entry.id) ?? new Set();
    this.inFlight.set(entry.id, here.add(watched));
    return watched;
  }

  /** Resolves once it is known whether the endpoint has crashed, if that is asked. */
  settle(endpointId: string): Promise<void> {
    return this.inquiries.settle(endpointId);
  }

  /** The list says that the endpoint is gone, or has a new life. */
  noteGone(entry: EndpointEntry): void {
    this.inquiries.noteGone(entry);
  }

  /** The endpoint is another one now, or gone. */
  forget(endpointId: string): void {
    this.inquiries.forget(endpointId);
  }

  /** Another VM tells of a request; one that was answered here a moment ago is cleared for all. */
  noteNews(fingerprint: string): void {
    if (this.isAnswered(fingerprint)) this.withdraw(fingerprint);
  }

  /** Whether any request is suspected: without one no fingerprint is looked up. */
  private get isAlert(): boolean {
    return this.parts.book.size > 0;
  }

  private judge(fingerprint: string): QuarantineStatus {
    return this.parts.book.getStatus(fingerprint, Date.now());
  }

  private isAnswered(fingerprint: string): boolean {
    return this.answers.hasRecent(fingerprint, performance.now());
  }

  private hasSurvivor(endpointId: string, beforeMs: number): boolean {
    const here = this.inFlight.get(endpointId) ?? [];
    return [...here].some(({startedMs}) => startedMs < beforeMs);
  }

  private noteEnd(watched: InFlightRequest, how: WatchedEnd): void {
    const {entry} = watched;
    const here = this.inFlight.get(entry.id);
    here?.delete(watched);
    if (here?.size === 0) this.inFlight.delete(entry.id);
    if (how === 'broken') return this.takeBreak(watched);
    if (how === 'answered') {
      this.answers.record(watched.fingerprint(), performance.now());
    }
    const hasRun = how === 'answered' || !isEarly(watched);
    if (hasRun) this.clear(watched);
  }

  /** Of a request on trial a broken connection is enough: a crash may be known for one only seconds later. */
  private takeBreak(watched: InFlightRequest): void {
    const name = watched.fingerprint();
    const isTrial = this.parts.book.runsAsProbe(name);
    if (isTrial)
      this.noteCrash(watched.entry, new Map([[name, watched]]), Date.now());
    this.inquiries.open(watched);
  }

  /** What ran there without a crash is not to blame for earlier ones. */
  private clear({fingerprint}: InFlightRequest): void {
    if (!this.isAlert && !this.inquiries.isBusy) return;
    this.inquiries.clear(fingerprint());
    this.withdraw(fingerprint());
  }

  private withdraw(fingerprint: string): void {
    const {book, news, logger} = this.parts;
    if (!book.clear(fingerprint)) return;
    news.tell(fingerprint);
    logger.log('info', 'request cleared', {fingerprint});
  }

  private noteCrash(
    {id, service}: EndpointEntry,
    broken: BrokenRequests,
    atMs: number,
  ): void {
    const {book, metrics, logger} = this.parts;
    metrics.count('endpoint_crashes');
    for (const [fingerprint, watched] of broken) {
      if (this.isAnswered(fingerprint)) continue;
      const weight = isEarly(watched) ? EARLY_WEIGHT : LATE_WEIGHT;
      book.recordCrash(fingerprint, {endpointId: id, atMs, weight});
      this.tellSoon(fingerprint);
      this.logHold(fingerprint);
    }
    logger.log('warn', 'endpoint crashed', {
      endpoint: id,
      service,
      requests: broken.size,
      fingerprints: [...broken.keys()].slice(0, MAX_NAMED).join(','),
    });
  }

  private logHold(fingerprint: string): void {
    const retryAfterMs = this.measureHoldMs(fingerprint);
    if (retryAfterMs === 0) return;
    const crashes = this.countCrashes(fingerprint);
    const fields = {fingerprint, crashes, retryAfterMs};
    this.parts.logger.log('warn', 'crashing request held back', fields);
  }

  private tellSoon(fingerprint: string): void {
    const {book, news} = this.parts;
    if (book.getCrashes(fingerprint).length >= TELL_MARKS) {
      news.tell(fingerprint);
      return;
    }
    setTimeout(() => {
      if (book.has(fingerprint)) news.tell(fingerprint);
    }, TELL_MS).unref();
  }
}
