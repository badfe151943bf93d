/** Requests that ran on endpoints when these crashed. */

import type {EndpointId} from '@radishyoke/shared/ids';

/** One fingerprint: endpoints it crashed, with the time of the last crash. */
export type SuspectEntry = readonly [string, readonly EndpointId[], number];

/** What is known of one fingerprint. */
export interface Suspect {
  readonly endpoints: readonly EndpointId[];
  readonly lastCrashAtMs: number;
  readonly crashes: number;
}

/** Crashes remembered of one fingerprint. */
const MAX_ENDPOINTS_KEPT = 8;
/** Fingerprints kept at most; over it the oldest go first. */
const MAX_SUSPECTS = 10_000;

/** Fingerprints by the crashes that they took part in. */
export class SuspectTable {
  private readonly suspects = new Map<
    string,
    {readonly endpoints: readonly EndpointId[]; readonly lastCrashAtMs: number}
  >();

  constructor(entries: readonly SuspectEntry[] = []) {
    for (const [fingerprint, endpoints, lastCrashAtMs] of entries) {
      this.suspects.set(fingerprint, {endpoints, lastCrashAtMs});
    }
  }

  recordCrash(
    endpoint: EndpointId,
    fingerprints: readonly string[],
    nowMs: number,
  ): void {
    for (const fingerprint of fingerprints) {
      const earlier = this.suspects.get(fingerprint)?.endpoints ?? [];
      this.suspects.delete(fingerprint);
      this.suspects.set(fingerprint, {
        endpoints: [...earlier, endpoint].slice(-MAX_ENDPOINTS_KEPT),
        lastCrashAtMs: nowMs,
      });
    }
    this.dropOverflow();
  }

  find(fingerprint: string): Suspect | undefined {
    const entry = this.suspects.get(fingerprint);
    return entry && {...entry, crashes: entry.endpoints.length};
  }

  list(): readonly string[] {
    return [...this.suspects.keys()];
  }

  dropBefore(sinceMs: number): void {
    for (const [fingerprint, {lastCrashAtMs}] of this.suspects) {
      if (lastCrashAtMs < sinceMs) this.suspects.delete(fingerprint);
    }
  }

  toSnapshot(): readonly SuspectEntry[] {
    return [...this.suspects].map(([fingerprint, s]) => [
      fingerprint,
      s.endpoints,
      s.lastCrashAtMs,
    ]);
  }

  private dropOverflow(): void {
    for (const fingerprint of this.suspects.keys()) {
      if (this.suspects.size <= MAX_SUSPECTS) return;
      this.suspects.delete(fingerprint);
    }
  }
}
