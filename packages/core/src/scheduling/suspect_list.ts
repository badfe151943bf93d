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
const ACCUSATIONS_TO_CONVICT = 2;
/** Crashes that no bystander is likely to have been beside. */
const CRASHES_TO_CONVICT = 5;
/** A fingerprint is forgotten after this long without a crash. */
const FORGET_AFTER_MS = 30 * 60_000;
const MAX_FINGERPRINTS = 10_000;
/** The same news from the log and from a peer come within this time. */
const COPY_MS = 5000;
const MAX_REPORTED = 1000;

interface CrashHistory {
  crashes: number;
  accusations: number;
  convicted: boolean;
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
  noteCrash(
    fingerprints: readonly string[],
    nowMs: number,
    accused?: string,
  ): void {
    const blamed = accused ? [accused] : [...new Set(fingerprints)];
    for (const fingerprint of blamed) {
      this.count(fingerprint, fingerprint === accused, nowMs);
    }
    this.prune(nowMs);
  }

  /** Notes what another VM tells of a crash: the accused alone, or all. */
  noteReported(fingerprints: readonly string[], nowMs: number): void {
    const key = [...fingerprints].sort().join();
    const isCopy = nowMs - (this.reported.get(key) ?? -Infinity) < COPY_MS;
    this.reported.delete(key);
    this.reported.set(key, nowMs);
    if (this.reported.size > MAX_REPORTED) {
      this.reported.delete(this.reported.keys().next().value!);
    }
    if (isCopy) return;
    const [first] = fingerprints;
    const isAccused =
      fingerprints.length === 1 && this.classify(first) === 'suspect';
    this.noteCrash(fingerprints, nowMs, isAccused ? first : undefined);
  }

  /** A request that ran to its end is not what crashes endpoints. */
  noteFinished(fingerprint: string): void {
    if (this.histories.size > 0) this.histories.delete(fingerprint);
  }

  classify(fingerprint: string): Suspicion {
    const history = this.histories.get(fingerprint);
    if (!history) return 'none';
    if (history.convicted) return 'convicted';
    return history.crashes >= CRASHES_TO_SUSPECT ? 'suspect' : 'none';
  }

  private count(fingerprint: string, accused: boolean, nowMs: number): void {
    const history = this.histories.get(fingerprint);
    const crashes = (history?.crashes ?? 0) + 1;
    const accusations = (history?.accusations ?? 0) + (accused ? 1 : 0);
    const convicted =
      accusations >= ACCUSATIONS_TO_CONVICT || crashes >= CRASHES_TO_CONVICT;
    this.histories.delete(fingerprint);
    this.histories.set(fingerprint, {
      crashes,
      accusations,
      convicted,
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
