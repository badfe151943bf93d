/**
 * Sees crashes of endpoints in connections that break, and which requests of
 * this VM ran there then. A broken connection alone is no crash: links are reset
 * and answers get lost. The endpoint must also be gone right after.
 */

import {
  type CrashBook,
  EARLY_WEIGHT,
  LATE_WEIGHT,
  type Standing,
} from '@radishyoke/core/crashes/crash_book';
import {RecentAnswers} from '@radishyoke/core/crashes/recent_answers';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';
import type {ExchangeOutcome} from '../endpoints/endpoint_exchange.js';
import type {StreamOutcome} from '../endpoints/endpoint_stream.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {probeEndpoint, type ProbeTarget} from './endpoint_probe.js';

/** What tells the other VMs. */
export interface CrashTeller {
  tell(fingerprint: string): void;
}

export interface WatchParts {
  readonly book: CrashBook;
  readonly news: CrashTeller;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
  /** Whether an endpoint is there; a connection is tried unless a test says otherwise. */
  readonly probe?: (target: ProbeTarget) => Promise<boolean>;
}

/** How the time of a request at an endpoint ended. */
export type StayEnd =
  /** The endpoint answered, whatever it said. */
  | 'answered'
  /** The connection broke, and not by this VM. */
  | 'broken'
  /** This VM ended it, or the endpoint did not run it. */
  | 'left';

/** Reads off the outcome of an exchange or a stream how the time there ended. */
export function judgeStay(
  kind: ExchangeOutcome['kind'] | StreamOutcome['kind'],
  isOwnEnd: boolean,
): StayEnd {
  switch (kind) {
    case 'answered':
    case 'whole':
      return 'answered';
    case 'unknown':
      return isOwnEnd ? 'left' : 'broken';
    case 'not_executed':
    case 'unsent':
      return 'left';
  }
}

/** One request at one endpoint. */
interface Stay {
  readonly entry: EndpointEntry;
  readonly fingerprint: () => string;
  readonly startedMs: number;
  /** Events that its stream has brought. */
  events: number;
}

/** Whether an endpoint has crashed, while that is being found out. */
interface Inquiry {
  readonly startedMs: number;
  /** Requests whose connections broke, by fingerprint. */
  readonly broken: Map<string, Stay>;
  readonly verdict: Promise<void>;
}

/** A connection that broke, at an endpoint that seemed to be there. */
interface OpenBreak {
  readonly fingerprint: string;
  readonly stay: Stay;
  /** Unix ms. */
  readonly atMs: number;
}

/** The list tells of a crash this long after it at most, ms: an entry lapses, or names a new life, within seconds. */
const LISTED_MS = 10_000;
/** Breaks of one endpoint that may still turn out to be a crash. */
const MAX_OPEN_BREAKS = 50;
/** Time for all connections to a crashed endpoint to break, ms. */
const BREAK_MS = 50;
/** Events after which a request did not crash its endpoint by being begun. */
const EARLY_EVENTS = 3;
/** A first crash is told to others unless the request ends well within this time, ms: most do at their next endpoint. */
const TELL_MS = 250;
/** Crashes from which it is told at once. */
const TELL_MARKS = 2;
/** Requests that one log line names. */
const MAX_NAMED = 20;

/** A request at an endpoint, until `end`. */
export class WatchedStay {
  private isOver = false;

  constructor(
    private readonly watch: CrashWatch,
    private readonly stay: Stay,
  ) {}

  noteEvent(): void {
    this.stay.events += 1;
  }

  end(how: StayEnd): void {
    if (this.isOver) return;
    this.isOver = true;
    this.watch.noteEnd(this.stay, how);
  }
}

export class CrashWatch {
  private readonly stays = new Map<string, Set<Stay>>();
  private readonly inquiries = new Map<string, Inquiry>();
  /** By endpoint. */
  private readonly openBreaks = new Map<string, readonly OpenBreak[]>();
  private readonly answers = new RecentAnswers();

  constructor(private readonly parts: WatchParts) {}

  /** Whether any request may be held back, so that its fingerprint is worth computing. */
  get isAlert(): boolean {
    return this.parts.book.size > 0;
  }

  judge(fingerprint: string): Standing {
    return this.parts.book.judge(fingerprint, Date.now());
  }

  isHeld(fingerprint: () => string): boolean {
    return this.isAlert && this.judge(fingerprint()).kind === 'held';
  }

  /** For how much longer the request is held back, ms. */
  measureHoldMs(fingerprint: string): number {
    const standing = this.judge(fingerprint);
    if (standing.kind !== 'held') return 0;
    return Math.max(Math.ceil(standing.untilMs - Date.now()), 0);
  }

  countCrashes(fingerprint: string): number {
    return this.parts.book.getMarks(fingerprint).length;
  }

  /** Whether the request was beside a crash before. */
  isSuspect(fingerprint: () => string): boolean {
    return this.isAlert && this.judge(fingerprint()).kind !== 'clear';
  }

  /** Whether it is being found out if the request was beside one more crash. */
  isAsked(fingerprint: () => string): boolean {
    if (this.inquiries.size === 0 || !this.isSuspect(fingerprint)) return false;
    const name = fingerprint();
    return [...this.inquiries.values()].some(({broken}) => broken.has(name));
  }

  /**
   * Whether a request may go to the endpoint now: a suspect only to one that is
   * there, as it would be blamed for an endpoint that others had crashed.
   */
  async isFit(
    entry: EndpointEntry,
    fingerprint: () => string,
  ): Promise<boolean> {
    const {probe = probeEndpoint} = this.parts;
    return !this.isSuspect(fingerprint) || probe(entry);
  }

  /** A request goes to an endpoint; `fingerprint` is asked for only where it matters. */
  begin(entry: EndpointEntry, fingerprint: () => string): WatchedStay {
    if (this.isAlert) this.parts.book.noteStart(fingerprint(), Date.now());
    const startedMs = performance.now();
    const stay = {entry, fingerprint, startedMs, events: 0};
    const here = this.stays.get(entry.id) ?? new Set();
    this.stays.set(entry.id, here.add(stay));
    return new WatchedStay(this, stay);
  }

  /** The list says that the endpoint is gone, or has a new life: what broke there lately was a crash. */
  noteGone(entry: EndpointEntry): void {
    const open = this.openBreaks.get(entry.id) ?? [];
    this.openBreaks.delete(entry.id);
    const recent = open.filter(({atMs}) => Date.now() - atMs < LISTED_MS);
    if (recent.length === 0) return;
    const broken = recent.map(
      ({fingerprint, stay}) => [fingerprint, stay] as const,
    );
    this.noteCrash(entry, new Map(broken), recent[0].atMs);
  }

  /** The endpoint is another one now, or gone. */
  forget(endpointId: string): void {
    this.openBreaks.delete(endpointId);
  }

  /** Resolves once it is known whether the endpoint has crashed, if that is asked. */
  async settle(endpointId: string): Promise<void> {
    await this.inquiries.get(endpointId)?.verdict;
  }

  /** @internal */
  noteEnd(stay: Stay, how: StayEnd): void {
    const {entry} = stay;
    const here = this.stays.get(entry.id);
    here?.delete(stay);
    if (here?.size === 0) this.stays.delete(entry.id);
    if (how === 'broken') return this.inquire(stay);
    if (how === 'answered') {
      this.answers.note(stay.fingerprint(), performance.now());
    }
    const hasRun = how === 'answered' || stay.events > EARLY_EVENTS;
    if (hasRun) this.clear(stay);
  }

  /** Another VM tells of a request; one that was answered here a moment ago is cleared for all. */
  noteNews(fingerprint: string): void {
    if (this.isAnswered(fingerprint)) this.withdraw(fingerprint);
  }

  private isAnswered(fingerprint: string): boolean {
    return this.answers.speaksFor(fingerprint, performance.now());
  }

  /** What ran there without a crash is not to blame for earlier ones. */
  private clear({fingerprint}: Stay): void {
    if (!this.isAlert && this.inquiries.size === 0) return;
    const name = fingerprint();
    for (const {broken} of this.inquiries.values()) broken.delete(name);
    this.withdraw(name);
  }

  private withdraw(fingerprint: string): void {
    const {book, news, logger} = this.parts;
    if (!book.clear(fingerprint)) return;
    news.tell(fingerprint);
    logger.log('info', 'request cleared', {fingerprint});
  }

  private inquire(stay: Stay): void {
    const {id} = stay.entry;
    const open = this.inquiries.get(id);
    if (open) {
      open.broken.set(stay.fingerprint(), stay);
      return;
    }
    const broken = new Map([[stay.fingerprint(), stay]]);
    const startedMs = performance.now();
    const verdict = this.conclude(stay.entry, broken, startedMs);
    this.inquiries.set(id, {startedMs, broken, verdict});
  }

  private async conclude(
    entry: EndpointEntry,
    broken: ReadonlyMap<string, Stay>,
    startedMs: number,
  ): Promise<void> {
    const {probe = probeEndpoint} = this.parts;
    const crashedAtMs = Date.now();
    const [isThere] = await Promise.all([probe(entry), sleep(BREAK_MS)]);
    this.inquiries.delete(entry.id);
    if (this.hasSurvivor(entry.id, startedMs)) return;
    if (isThere) this.keepBreaks(entry.id, broken, crashedAtMs);
    else this.noteCrash(entry, broken, crashedAtMs);
  }

  private keepBreaks(
    endpointId: string,
    broken: ReadonlyMap<string, Stay>,
    atMs: number,
  ): void {
    const more = [...broken].map(([fingerprint, stay]) => ({
      fingerprint,
      stay,
      atMs,
    }));
    const known = this.openBreaks.get(endpointId) ?? [];
    const all = [...known, ...more].slice(-MAX_OPEN_BREAKS);
    this.openBreaks.set(endpointId, all);
  }

  /** Whether a request that was there before goes on. */
  private hasSurvivor(endpointId: string, beforeMs: number): boolean {
    const here = this.stays.get(endpointId) ?? [];
    return [...here].some(({startedMs}) => startedMs < beforeMs);
  }

  private noteCrash(
    {id, service}: EndpointEntry,
    broken: ReadonlyMap<string, Stay>,
    atMs: number,
  ): void {
    const {book, metrics, logger} = this.parts;
    metrics.count('endpoint_crashes');
    for (const [fingerprint, {events}] of broken) {
      if (this.isAnswered(fingerprint)) continue;
      const weight = events > EARLY_EVENTS ? LATE_WEIGHT : EARLY_WEIGHT;
      book.noteCrash(fingerprint, {endpointId: id, atMs, weight});
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
    if (book.getMarks(fingerprint).length >= TELL_MARKS) {
      news.tell(fingerprint);
      return;
    }
    setTimeout(() => {
      if (book.has(fingerprint)) news.tell(fingerprint);
    }, TELL_MS).unref();
  }
}
