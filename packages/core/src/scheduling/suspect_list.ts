/**
 * Identifies requests that crash endpoints, as distinct from requests that were
 * only in flight on an endpoint when it crashed.
 */

/** Level of suspicion against a request. */
export type Suspicion =
  /** In flight at no more than one crash. */
  | 'none'
  /** In flight at two or more crashes: runs as the only suspect on an endpoint. */
  | 'suspect'
  /** In flight at enough crashes, isolated or not, to be refused. */
  | 'convicted';

/** Crashes after which a request is suspected. */
const CRASHES_TO_SUSPECT = 2;
/**
 * Crashes as an isolated suspect that convict; another VM's request may cause
 * one.
 */
const ISOLATED_CRASHES_TO_CONVICT = 2;
/**
 * Crashes of any kind that convict; an innocent request is unlikely to be in
 * flight at so many.
 */
const CRASHES_TO_CONVICT = 5;
/** Time without a crash after which a fingerprint is dropped. */
const FORGET_AFTER_MS = 30 * 60_000;
const MAX_FINGERPRINTS = 10_000;
/**
 * Time within which an identical report is a duplicate, as reports arrive from
 * the log and from a peer.
 */
const DUPLICATE_REPORT_MS = 5000;
const MAX_REPORTS = 1000;

interface CrashHistory {
  crashes: number;
  isolatedCrashes: number;
  isConvicted: boolean;
  lastCrashAtMs: number;
}

/**
 * Counts crashes by request fingerprint, as a request that crashes endpoints is
 * repeated by its caller or by retries and crashes one endpoint after another.
 * Two crashes make a fingerprint suspected. A suspect is then isolated: this VM
 * sends nothing else to its endpoint for a while. A crash in that time counts
 * against the suspect alone, not against requests that were already running
 * there. Two such crashes convict it: one may be caused by another VM's request.
 */
export class SuspectList {
  private readonly histories = new Map<string, CrashHistory>();
  private readonly reported = new Map<string, number>();

  /**
   * Records a crash and the requests in flight on the endpoint. If `isolated`, an
   * isolated suspect, was among them, the crash counts against it alone.
   */
  recordCrash(
    fingerprints: readonly string[],
    nowMs: number,
    isolated?: string,
  ): void {
    const counted = isolated ? [isolated] : [...new Set(fingerprints)];
    for (const fingerprint of counted) {
      this.countCrash(fingerprint, fingerprint === isolated, nowMs);
    }
    this.prune(nowMs);
  }

  /**
   * Records a crash reported by another VM: its isolated suspect alone, or all
   * requests in flight.
   */
  recordReportedCrash(fingerprints: readonly string[], nowMs: number): void {
    const key = [...fingerprints].sort().join();
    const isDuplicate =
      nowMs - (this.reported.get(key) ?? -Infinity) < DUPLICATE_REPORT_MS;
    this.reported.delete(key);
    this.reported.set(key, nowMs);
    if (this.reported.size > MAX_REPORTS) {
      this.reported.delete(this.reported.keys().next().value!);
    }
    if (isDuplicate) return;
    const [first] = fingerprints;
    const isIsolated =
      fingerprints.length === 1 && this.classify(first) === 'suspect';
    this.recordCrash(fingerprints, nowMs, isIsolated ? first : undefined);
  }

  /**
   * Clears the history of a request that finished, as it can't be the one that
   * crashes endpoints.
   */
  recordFinished(fingerprint: string): void {
    if (this.histories.size > 0) this.histories.delete(fingerprint);
  }

  classify(fingerprint: string): Suspicion {
    const history = this.histories.get(fingerprint);
    if (!history) return 'none';
    if (history.isConvicted) return 'convicted';
    return history.crashes >= CRASHES_TO_SUSPECT ? 'suspect' : 'none';
  }

  private countCrash(
    fingerprint: string,
    isIsolated: boolean,
    nowMs: number,
  ): void {
    const history = this.histories.get(fingerprint);
    const crashes = (history?.crashes ?? 0) + 1;
    const isolatedCrashes =
      (history?.isolatedCrashes ?? 0) + (isIsolated ? 1 : 0);
    const isConvicted =
      isolatedCrashes >= ISOLATED_CRASHES_TO_CONVICT ||
      crashes >= CRASHES_TO_CONVICT;
    this.histories.delete(fingerprint);
    this.histories.set(fingerprint, {
      crashes,
      isolatedCrashes,
      isConvicted,
      lastCrashAtMs: nowMs,
    });
  }

  private prune(nowMs: number): void {
    for (const [fingerprint, history] of this.histories) {
      const isOld = nowMs - history.lastCrashAtMs > FORGET_AFTER_MS;
      if (!isOld && this.histories.size <= MAX_FINGERPRINTS) break;
      this.histories.delete(fingerprint);
    }
  }
}
