/** Detects endpoint crashes from failed attempts and records the requests in flight. */

import type {EndpointId} from '@radishyoke/shared/ids';
import type {EndpointState} from './endpoint_state.js';
import type {FailureKind} from './failure.js';
import type {SuspectList} from './suspect_list.js';
import type {Attempt} from './work_state.js';

/** A crash as reported to the other VMs. */
export interface CrashReport {
  readonly endpoint: EndpointId;
  readonly fingerprints: readonly string[];
}

/** Records detected crashes in the suspect list. */
export class CrashTracker {
  constructor(private readonly suspects: SuspectList) {}

  /**
   * Handles a failed attempt, before it is closed; `endpointAttempts` are all
   * attempts on its endpoint, including it. Returns the crash detected, if any.
   */
  recordFailure(
    attempt: Attempt,
    endpointAttempts: Iterable<Attempt>,
    failure: FailureKind,
    nowMs: number,
  ): CrashReport | undefined {
    switch (failure) {
      case 'crashed':
        return this.recordCrash(attempt, endpointAttempts, nowMs);
      case 'connection_lost':
        return this.recordLostConnection(attempt, endpointAttempts, nowMs);
      case 'connect_failed':
        return this.recordRefusedConnection(attempt.endpoint, nowMs);
      default:
        return undefined;
    }
  }

  /** Records a crash once for all attempts on the endpoint. */
  private recordCrash(
    attempt: Attempt,
    endpointAttempts: Iterable<Attempt>,
    nowMs: number,
  ): CrashReport | undefined {
    if (attempt.isCrashCounted) return undefined;
    const {endpoint} = attempt;
    const fingerprints: string[] = [];
    for (const other of endpointAttempts) {
      if (other.isCrashCounted) continue;
      other.isCrashCounted = true;
      fingerprints.push(other.work.item.fingerprint);
    }
    const isolated = endpoint.isIsolated
      ? endpoint.suspect?.fingerprint
      : undefined;
    return this.report(
      endpoint,
      isolated ? [isolated] : fingerprints,
      nowMs,
      isolated,
    );
  }

  /**
   * A crash of a plain service appears as broken connections followed by a refused
   * one; neither alone indicates a crash. For an isolated suspect, a broken
   * connection suffices.
   */
  private recordLostConnection(
    attempt: Attempt,
    endpointAttempts: Iterable<Attempt>,
    nowMs: number,
  ): CrashReport | undefined {
    const {endpoint, work} = attempt;
    const isSuspect = endpoint.suspect?.workId === work.item.id;
    if (endpoint.isIsolated && isSuspect) {
      return this.recordCrash(attempt, endpointAttempts, nowMs);
    }
    endpoint.recordLostConnection(work.item.fingerprint, nowMs);
    return undefined;
  }

  private recordRefusedConnection(
    endpoint: EndpointState,
    nowMs: number,
  ): CrashReport | undefined {
    const fingerprints = endpoint.takeLostConnections(nowMs);
    return fingerprints.length > 0
      ? this.report(endpoint, fingerprints, nowMs)
      : undefined;
  }

  private report(
    endpoint: EndpointState,
    fingerprints: readonly string[],
    nowMs: number,
    isolated?: string,
  ): CrashReport {
    endpoint.invalidateCache();
    this.suspects.recordCrash(fingerprints, nowMs, isolated);
    return {endpoint: endpoint.id, fingerprints};
  }
}
