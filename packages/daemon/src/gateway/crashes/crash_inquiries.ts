/**
 * Tells crashes of endpoints from connections that only broke: links are reset
 * and answers get lost, but a crashed endpoint is gone right after, or its entry
 * in the list vanishes or names a new life.
 */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ProbeTarget} from './endpoint_probe.js';
import type {InFlightRequest} from './watched_request.js';

/** Requests whose connections to one endpoint broke, by fingerprint. */
export type BrokenRequests = ReadonlyMap<string, InFlightRequest>;

export interface InquiryParts {
  /** Whether an endpoint is there. */
  readonly probe: (target: ProbeTarget) => Promise<boolean>;
  /** Whether a request that came to the endpoint before `beforeMs` (steady) goes on there. */
  readonly hasSurvivor: (endpointId: string, beforeMs: number) => boolean;
  /** An endpoint has crashed, at `atMs` (Unix), and had these requests. */
  readonly onCrash: (
    entry: EndpointEntry,
    broken: BrokenRequests,
    atMs: number,
  ) => void;
}

/** Whether one endpoint has crashed, while that is being found out. */
interface Inquiry {
  readonly broken: Map<string, InFlightRequest>;
  readonly verdict: Promise<void>;
}

/** A connection that broke, at an endpoint that seemed to be there. */
interface OpenBreak {
  readonly fingerprint: string;
  readonly watched: InFlightRequest;
  /** Unix ms. */
  readonly atMs: number;
}

/** Time for all connections to a crashed endpoint to break, ms. */
const BREAK_MS = 50;
/** The list tells of a crash this long after it at most, ms: an entry lapses, or names a new life, within seconds. */
const LISTED_MS = 10_000;
/** Breaks of one endpoint that may still turn out to be a crash. */
const MAX_OPEN_BREAKS = 50;

export class CrashInquiries {
  /** By endpoint. */
  private readonly inquiries = new Map<string, Inquiry>();
  /** By endpoint. */
  private readonly openBreaks = new Map<string, readonly OpenBreak[]>();

  constructor(private readonly parts: InquiryParts) {}

  get isBusy(): boolean {
    return this.inquiries.size > 0;
  }

  /** Whether it is being found out if the request was beside a crash. */
  concerns(fingerprint: string): boolean {
    const open = [...this.inquiries.values()];
    return open.some(({broken}) => broken.has(fingerprint));
  }

  /** A connection broke: finds out whether its endpoint has crashed. */
  open(watched: InFlightRequest): void {
    const {id} = watched.entry;
    const open = this.inquiries.get(id);
    if (open) {
      open.broken.set(watched.fingerprint(), watched);
      return;
    }
    const broken = new Map([[watched.fingerprint(), watched]]);
    const verdict = this.conclude(watched.entry, broken);
    this.inquiries.set(id, {broken, verdict});
  }

  /** The request ended well elsewhere, so it is not asked about any more. */
  clear(fingerprint: string): void {
    for (const {broken} of this.inquiries.values()) broken.delete(fingerprint);
  }

  /** Resolves once it is known whether the endpoint has crashed, if that is asked. */
  async settle(endpointId: string): Promise<void> {
    await this.inquiries.get(endpointId)?.verdict;
  }

  /** The list says that the endpoint is gone, or has a new life: what broke there lately was a crash. */
  noteGone(entry: EndpointEntry): void {
    const open = this.openBreaks.get(entry.id) ?? [];
    this.openBreaks.delete(entry.id);
    const recent = open.filter(({atMs}) => Date.now() - atMs < LISTED_MS);
    if (recent.length === 0) return;
    const broken = recent.map(
      ({fingerprint, watched}) => [fingerprint, watched] as const,
    );
    this.parts.onCrash(entry, new Map(broken), recent[0].atMs);
  }

  /** The endpoint is another one now, or gone. */
  forget(endpointId: string): void {
    this.openBreaks.delete(endpointId);
  }

  private async conclude(
    entry: EndpointEntry,
    broken: BrokenRequests,
  ): Promise<void> {
    const {probe, hasSurvivor, onCrash} = this.parts;
    const brokenMs = performance.now();
    const brokenAtMs = Date.now();
    const [isThere] = await Promise.all([probe(entry), sleep(BREAK_MS)]);
    this.inquiries.delete(entry.id);
    if (hasSurvivor(entry.id, brokenMs)) return;
    if (isThere) this.keep(entry.id, broken, brokenAtMs);
    else onCrash(entry, broken, brokenAtMs);
  }

  private keep(endpointId: string, broken: BrokenRequests, atMs: number): void {
    const more = [...broken].map(([fingerprint, watched]) => ({
      fingerprint,
      watched,
      atMs,
    }));
    const known = this.openBreaks.get(endpointId) ?? [];
    const all = [...known, ...more].slice(-MAX_OPEN_BREAKS);
    this.openBreaks.set(endpointId, all);
  }
}
