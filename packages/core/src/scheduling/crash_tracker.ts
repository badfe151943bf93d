/** Sees crashes of endpoints in failed attempts, and who ran there then. */

import type {EndpointId} from '@radishyoke/shared/ids';
import type {EndpointState} from './endpoint_state.js';
import type {FailureKind} from './failure.js';
import type {SuspectList} from './suspect_list.js';
import type {Attempt} from './work_state.js';

/** A crash as the other VMs are told of it. */
export interface CrashReport {
  readonly endpoint: EndpointId;
  readonly fingerprints: readonly string[];
}

/** Feeds the suspect list; each method returns the crash it found, if any. */
export class CrashTracker {
  constructor(private readonly suspects: SuspectList) {}

  /**
   * Takes the end of an attempt, before the attempt is closed; `here` is all
   * that runs on the same endpoint, the attempt included.
   */
  noteFailure(
    attempt: Attempt,
    here: Iterable<Attempt>,
    failure: FailureKind,
    nowMs: number,
  ): CrashReport | undefined {
    switch (failure) {
      case 'crashed':
        return this.noteCrash(attempt, here, nowMs);
      case 'connection_lost':
        return this.noteLostConnection(attempt, here, nowMs);
      case 'connect_failed':
        return this.noteRefusal(attempt.endpoint, nowMs);
      default:
        return undefined;
    }
  }

  /** Counts a crash once, with all that ran there then. */
  private noteCrash(
    attempt: Attempt,
    here: Iterable<Attempt>,
    nowMs: number,
  ): CrashReport | undefined {
    if (attempt.isCrashCounted) return undefined;
    const {endpoint} = attempt;
    const running: string[] = [];
    for (const other of here) {
      if (other.isCrashCounted) continue;
      other.isCrashCounted = true;
      running.push(other.work.item.fingerprint);
    }
    const accused = endpoint.quarantined
      ? endpoint.suspect?.fingerprint
      : undefined;
    return this.report(endpoint, accused ? [accused] : running, nowMs, accused);
  }

  /**
   * A crash of a plain service shows as broken connections, and as a refused
   * one when it is tried again. Neither alone tells of a crash.
   */
  private noteLostConnection(
    attempt: Attempt,
    here: Iterable<Attempt>,
    nowMs: number,
  ): CrashReport | undefined {
    const {endpoint, work} = attempt;
    const isSuspect = endpoint.suspect?.workId === work.item.id;
    if (endpoint.quarantined && isSuspect) {
      return this.noteCrash(attempt, here, nowMs);
    }
    endpoint.noteLost(work.item.fingerprint, nowMs);
    return undefined;
  }

  private noteRefusal(
    endpoint: EndpointState,
    nowMs: number,
  ): CrashReport | undefined {
    const lost = endpoint.takeLost(nowMs);
    return lost.length > 0 ? this.report(endpoint, lost, nowMs) : undefined;
  }

  private report(
    endpoint: EndpointState,
    fingerprints: readonly string[],
    nowMs: number,
    accused?: string,
  ): CrashReport {
    endpoint.forgetCache();
    this.suspects.noteCrash(fingerprints, nowMs, accused);
    return {endpoint: endpoint.id, fingerprints};
  }
}
