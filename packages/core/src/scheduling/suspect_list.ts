/**
 * Finds the requests that crash the endpoints that run them, without blaming
 * those that merely ran beside them.
 */

/** How much a request is under suspicion. */
export type Suspicion =
  /** Was beside at most one crash. */
  | 'none'
  /** Was beside two crashes: runs only with no other suspect on its endpoint. */
  | 'suspect'
  /** Crashed two endpoints that it had to itself as the newcomer: refused. */
  | 'convicted';

/** Crashes after which a request is under suspicion. */
const CRASHES_TO_SUSPECT = 2;
/** Crashes as an accused; one may be another VM's doing. */
const ISOLATED_CRASHES_TO_CONVICT = 2;
/** Crashes that no bystander is likely to have been beside. */
const CRASHES_TO_CONVICT = 5;
/** A fingerprint is forgotten after this long without a crash. */
const FORGET_AFTER_MS = 30 * 60_000;
const MAX_FINGERPRINTS = 10_000;
/** The same news from the log and from a peer come within this time. */
const DUPLICATE_REPORT_MS = 5000;
const MAX_REPORTS = 1000;

interface CrashHistory {
  crashes: number;
  isolatedCrashes: number;
  isConvicted: boolean;
  lastCrashAtMs: number;
}

/**
 * A request that crashes endpoints is sent again by its caller or by retries
 * and takes down one endpoint after the other; it shows as crashes that follow
 * one fingerprint. Two crashes put a fingerprint under suspicion. A suspect is
 * then the only newcomer from this VM at its endpoint for a while; a crash in
 * that time accuses it, and those beside it, who had been running there, are not
 * blamed. Two accusations convict: one may be due to another VM's newcomer.
 */
export class SuspectList {
  private readonly histories = new Map<string, CrashHistory>();
  private readonly reported = new Map<string, number>();

  /**
   * Notes a crash here and what ran on the endpoint then. `accused` is the
   * suspect that was the only newcomer there, if there was one.
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

  /** Notes what another VM tells of a crash: the accused alone, or all. */
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

  /** A request that ran to its end is not what crashes endpoints. */
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
      isolatedCrashes: isolatedCrashes,
      isConvicted: isConvicted,
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
