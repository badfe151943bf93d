/** At-most-once claims on callers' request ids, retained for a time horizon. */

/** One claimed id: key, writer of the winning claim, time of the last claim. */
export type ClaimEntry = readonly [string, string, number];

interface Claim {
  readonly winner: string;
  readonly lastClaimAtMs: number;
}

/** Maximum number of claims, about 14 MB; further ids are refused. */
export const MAX_REQUEST_CLAIMS = 60_000;

/** Result of a claim; `full` means that no more claims can be stored now. */
export type ClaimOutcome = 'won' | 'lost' | 'full';

/**
 * The first claim on an id wins. It stays in force until `horizonMs` of log
 * time after the last attempt to claim the id, won or lost. Whether a claim
 * wins thus depends only on the records within the horizon before it, so every
 * reader that has read that far back reaches the same result.
 */
export class RequestClaims {
  /** In order of the last claim, because each claim is reinserted. */
  private readonly claims = new Map<string, Claim>();
  /** One shared string for each writer, to save memory. */
  private readonly internedWriters = new Map<string, string>();

  constructor(
    private readonly horizonMs: number,
    entries: readonly ClaimEntry[] = [],
  ) {
    for (const [key, winner, lastClaimAtMs] of entries) {
      this.claims.set(key, {winner: this.internWriter(winner), lastClaimAtMs});
    }
  }

  /** Claims `key` for `writer`. */
  claim(key: string, writer: string, nowMs: number): ClaimOutcome {
    this.dropExpired(nowMs);
    const existing = this.claims.get(key);
    // Dropping the oldest claim to make room would let a resent request run
    // twice unnoticed. A refused request has not run, and the response to its
    // caller states that.
    if (existing === undefined && this.claims.size >= MAX_REQUEST_CLAIMS) {
      return 'full';
    }
    this.claims.delete(key);
    this.claims.set(key, {
      winner: existing?.winner ?? this.internWriter(writer),
      lastClaimAtMs: nowMs,
    });
    return existing === undefined ? 'won' : 'lost';
  }

  /** Removes the claim if `writer` won it; returns whether it did. */
  release(key: string, writer: string, nowMs: number): boolean {
    this.dropExpired(nowMs);
    if (this.claims.get(key)?.winner !== writer) return false;
    return this.claims.delete(key);
  }

  /** Returns the writer that holds the claim on `key`, if any. */
  findWinner(key: string): string | undefined {
    return this.claims.get(key)?.winner;
  }

  get size(): number {
    return this.claims.size;
  }

  toSnapshot(): readonly ClaimEntry[] {
    return [...this.claims].map(([key, {winner, lastClaimAtMs}]) => [
      key,
      winner,
      lastClaimAtMs,
    ]);
  }

  private internWriter(writer: string): string {
    const interned = this.internedWriters.get(writer);
    if (interned !== undefined) return interned;
    this.internedWriters.set(writer, writer);
    return writer;
  }

  private dropExpired(nowMs: number): void {
    for (const [key, {lastClaimAtMs}] of this.claims) {
      if (lastClaimAtMs + this.horizonMs > nowMs) return;
      this.claims.delete(key);
    }
    this.internedWriters.clear();
  }
}
