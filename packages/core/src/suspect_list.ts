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
  /** Crashed an endpoint as its only suspect: refused. */
  | 'convicted';

/** Crashes after which a request is under suspicion. */
const CRASHES_TO_SUSPECT = 2;
/** A fingerprint is forgotten after this long without a crash. */
const FORGET_AFTER_MS = 30 * 60_000;
const MAX_FINGERPRINTS = 10_000;

interface CrashHistory {
  crashes: number;
  convicted: boolean;
  lastCrashAtMs: number;
}

/**
 * A request that crashes endpoints is sent again by its caller or by retries
 * and takes down one endpoint after the other; it shows as crashes that follow
 * one fingerprint. Two crashes put a fingerprint under suspicion. A suspect then
 * runs with no other suspect beside it, so that a further crash names exactly
 * one. Where a suspect took part in a crash, those beside it are not counted.
 */
export class SuspectList {
  private readonly histories = new Map<string, CrashHistory>();

  /** Notes one crash and what ran on the endpoint then. */
  noteCrash(fingerprints: readonly string[], nowMs: number): void {
    const blamed = this.selectBlamed(fingerprints);
    for (const fingerprint of blamed) {
      const history = this.histories.get(fingerprint);
      const crashes = (history?.crashes ?? 0) + 1;
      // The only one that was beside two earlier crashes as well ran alone
      // among suspects: the third crash is its own.
      const convicted =
        history?.convicted ||
        (crashes > CRASHES_TO_SUSPECT && blamed.length === 1);
      this.histories.delete(fingerprint);
      this.histories.set(fingerprint, {
        crashes,
        convicted,
        lastCrashAtMs: nowMs,
      });
    }
    this.prune(nowMs);
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

  private selectBlamed(fingerprints: readonly string[]): readonly string[] {
    const unique = [...new Set(fingerprints)];
    const suspects = unique.filter(f => this.classify(f) !== 'none');
    return suspects.length > 0 ? suspects : unique;
  }

  private prune(nowMs: number): void {
    for (const [fingerprint, history] of this.histories) {
      const isOld = nowMs - history.lastCrashAtMs > FORGET_AFTER_MS;
      if (!isOld && this.histories.size <= MAX_FINGERPRINTS) break;
      this.histories.delete(fingerprint);
    }
  }
}
