/**
 * Distinguishes endpoint crashes from connections that merely broke. After a crash the
 * endpoint is unreachable, or its entry soon leaves the list of endpoints or names a new
 * incarnation.
 */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ProbeTarget} from './endpoint_probe.js';
import type {InFlightRequest} from './watched_request.js';

/** Requests whose connections to one endpoint broke, by fingerprint. */
export type InterruptedRequests = ReadonlyMap<string, InFlightRequest>;

export interface CrashDetectorDeps {
  /** Whether an endpoint is reachable. */
  readonly probe: (target: ProbeTarget) => Promise<boolean>;
  /** Whether a request that was sent to the endpoint before `beforeMs` (steady) is still running there. */
  readonly hasSurvivor: (endpointId: string, beforeMs: number) => boolean;
  /** Called when an endpoint crashed at `atMs` (Unix) with these requests in flight. */
  readonly onCrash: (
    entry: EndpointEntry,
    interrupted: InterruptedRequests,
    atMs: number,
  ) => void;
}

/** A check in progress of whether an endpoint crashed. */
interface CrashCheck {
  readonly interrupted: Map<string, InFlightRequest>;
  readonly finished: Promise<void>;
}

/** A connection that broke although its endpoint was reachable afterwards. */
interface UnexplainedBreak {
  readonly fingerprint: string;
  readonly watched: InFlightRequest;
  /** Unix ms. */
  readonly atMs: number;
}

/** All connections to a crashed endpoint break within this time, ms. */
const BREAK_WINDOW_MS = 50;
/** Longest time until the list of endpoints shows a crash, ms: an entry expires or names a new incarnation within seconds. */
const MAX_LIST_DELAY_MS = 10_000;
/** Breaks tracked per endpoint that may still turn out to be a crash. */
const MAX_UNEXPLAINED_BREAKS = 50;

export class CrashDetector {
  /** By endpoint id. */
  private readonly checks = new Map<string, CrashCheck>();
  /** By endpoint id. */
  private readonly unexplained = new Map<string, readonly UnexplainedBreak[]>();

  constructor(private readonly deps: CrashDetectorDeps) {}

  get isChecking(): boolean {
    return this.checks.size > 0;
  }

  /** Whether a check is in progress on an endpoint where the request was in flight. */
  isCheckingRequest(fingerprint: string): boolean {
    const checks = [...this.checks.values()];
    return checks.some(({interrupted}) => interrupted.has(fingerprint));
  }

  /** Checks whether an endpoint crashed after the connection of `watched` broke; joins a check in progress. */
  checkEndpoint(watched: InFlightRequest): void {
    const {id} = watched.entry;
    const running = this.checks.get(id);
    if (running) {
      running.interrupted.set(watched.fingerprint(), watched);
      return;
    }
    const interrupted = new Map([[watched.fingerprint(), watched]]);
    const finished = this.runCheck(watched.entry, interrupted);
    this.checks.set(id, {interrupted, finished});
  }

  /** Removes a request that succeeded elsewhere from all checks in progress. */
  removeRequest(fingerprint: string): void {
    for (const {interrupted} of this.checks.values())
      interrupted.delete(fingerprint);
  }

  /** Resolves once the check of the endpoint ends; at once if there is none. */
  async waitForCheck(endpointId: string): Promise<void> {
    await this.checks.get(endpointId)?.finished;
  }

  /** Treats recent breaks as a crash, since the list shows the endpoint gone or in a new incarnation. */
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

  /** Drops the breaks of an endpoint that was replaced or removed. */
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
