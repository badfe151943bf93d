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
export type InterruptedRequests = ReadonlyMap<string, InFlightRequest>;

export interface CrashDetectorDeps {
  /** Whether an endpoint is there. */
  readonly probe: (target: ProbeTarget) => Promise<boolean>;
  /** Whether a request that came to the endpoint before `beforeMs` (steady) goes on there. */
  readonly hasSurvivor: (endpointId: string, beforeMs: number) => boolean;
  /** An endpoint has crashed, at `atMs` (Unix), and had these requests. */
  readonly onCrash: (
    entry: EndpointEntry,
    interrupted: InterruptedRequests,
    atMs: number,
  ) => void;
}

/** Whether one endpoint has crashed, while that is being found out. */
interface CrashCheck {
  readonly interrupted: Map<string, InFlightRequest>;
  readonly finished: Promise<void>;
}

/** A connection that broke, at an endpoint that seemed to be there. */
interface UnexplainedBreak {
  readonly fingerprint: string;
  readonly watched: InFlightRequest;
  /** Unix ms. */
  readonly atMs: number;
}

/** Time for all connections to a crashed endpoint to break, ms. */
const BREAK_WINDOW_MS = 50;
/** The list tells of a crash this long after it at most, ms: an entry lapses, or names a new life, within seconds. */
const MAX_LIST_DELAY_MS = 10_000;
/** Breaks of one endpoint that may still turn out to be a crash. */
const MAX_UNEXPLAINED_BREAKS = 50;

export class CrashDetector {
  /** By endpoint. */
  private readonly checks = new Map<string, CrashCheck>();
  /** By endpoint. */
  private readonly unexplained = new Map<string, readonly UnexplainedBreak[]>();

  constructor(private readonly deps: CrashDetectorDeps) {}

  get isChecking(): boolean {
    return this.checks.size > 0;
  }

  /** Whether it is being found out if the request was beside a crash. */
  isCheckingRequest(fingerprint: string): boolean {
    const checks = [...this.checks.values()];
    return checks.some(({interrupted}) => interrupted.has(fingerprint));
  }

  /** A connection broke: finds out whether its endpoint has crashed. */
  checkEndpoint(watched: InFlightRequest): void {
    const {id} = watched.entry;
    const running = this.checks.get(id);
    if (running) {
      running.interrupted.set(watched.fingerprint(), watched);
      return;
    }
    const interrupted = new Map([[watched.fingerprint(), watched]]);
    const finished = this.runCheck(watched.entry, interrupted);
    this.checks.set(id, {interrupted: interrupted, finished: finished});
  }

  /** The request ended well elsewhere, so it is not asked about any more. */
  removeRequest(fingerprint: string): void {
    for (const {interrupted} of this.checks.values())
      interrupted.delete(fingerprint);
  }

  /** Resolves once it is known whether the endpoint has crashed, if that is asked. */
  async waitForCheck(endpointId: string): Promise<void> {
    await this.checks.get(endpointId)?.finished;
  }

  /** The list says that the endpoint is gone, or has a new life: what broke there lately was a crash. */
  onEndpointGone(entry: EndpointEntry): void {
    const breaks = this.unexplained.get(entry.id) ?? [];
    this.unexplained.delete(entry.id);
    const recent = breaks.filter(
      ({atMs}) => Date.now() - atMs < MAX_LIST_DELAY_MS,
    );
    if (recent.length === 0) return;
    const interrupted = recent.map(
      ({fingerprint, watched}) => [fingerprint, watched] as const,
    );
    this.deps.onCrash(entry, new Map(interrupted), recent[0].atMs);
  }

  /** The endpoint is another one now, or gone. */
  forget(endpointId: string): void {
    this.unexplained.delete(endpointId);
  }

  private async runCheck(
    entry: EndpointEntry,
    interrupted: InterruptedRequests,
  ): Promise<void> {
    const {probe, hasSurvivor, onCrash} = this.deps;
    const brokenMs = performance.now();
    const brokenAtMs = Date.now();
    const [isReachable] = await Promise.all([
      probe(entry),
      sleep(BREAK_WINDOW_MS),
    ]);
    this.checks.delete(entry.id);
    if (hasSurvivor(entry.id, brokenMs)) return;
    if (isReachable) this.addUnexplained(entry.id, interrupted, brokenAtMs);
    else onCrash(entry, interrupted, brokenAtMs);
  }

  private addUnexplained(
    endpointId: string,
    interrupted: InterruptedRequests,
    atMs: number,
  ): void {
    const added = [...interrupted].map(([fingerprint, watched]) => ({
      fingerprint,
      watched,
      atMs,
    }));
    const earlier = this.unexplained.get(endpointId) ?? [];
    const all = [...earlier, ...added].slice(-MAX_UNEXPLAINED_BREAKS);
    this.unexplained.set(endpointId, all);
  }
}
