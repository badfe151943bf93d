/** Requests that were running on an endpoint when it crashed. */

import type {EndpointId} from '@radishyoke/shared/ids';

/** Fingerprint, endpoints that crashed while it ran there, last crash time. */
export type SuspectEntry = readonly [string, readonly EndpointId[], number];

/** Crash history of one fingerprint. */
export interface Suspect {
  readonly endpoints: readonly EndpointId[];
  readonly lastCrashAtMs: number;
  readonly crashes: number;
}

/** Maximum number of crashes stored for each fingerprint. */
const MAX_CRASHES_PER_FINGERPRINT = 8;
/** Maximum number of fingerprints; the oldest are dropped first. */
const MAX_SUSPECTS = 10_000;

/** Crash histories by request fingerprint. */
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
        endpoints: [...earlier, endpoint].slice(-MAX_CRASHES_PER_FINGERPRINT),
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
