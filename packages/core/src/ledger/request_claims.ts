/** At-most-once claims on callers' request ids, within a horizon. */

/** One claimed id: key, writer of the winning claim, time of the last claim. */
export type ClaimEntry = readonly [string, string, number];

interface Claim {
  readonly winner: string;
  readonly lastClaimAtMs: number;
}

/** Claims kept at most, some 14 MB; over it new ids are refused. */
export const MAX_REQUEST_CLAIMS = 60_000;

/** What a claim came to; `full` means that none can be kept now. */
export type ClaimOutcome = 'won' | 'lost' | 'full';

/**
 * The first claim on an id wins. A claim counts for `horizonMs` of log time from
 * the last attempt to claim the id, won or lost: so whether a claim wins depends
 * on the horizon before it alone, and every reader that has seen that much of
 * the log judges alike.
 */
export class RequestClaims {
  /** In the order of the last claim, because each claim is put in anew. */
  private readonly claims = new Map<string, Claim>();
  /** One string a writer, for all of its claims. */
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
    // Dropping the oldest to make room would let a resent request run twice,
    // unseen. A refused id was not run, and its caller is told so.
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

  /** Forgets the claim that `writer` won; returns whether it held it. */
  release(key: string, writer: string, nowMs: number): boolean {
    this.dropExpired(nowMs);
    if (this.claims.get(key)?.winner !== writer) return false;
    return this.claims.delete(key);
  }

  /** Who holds the claim on `key`, if anybody does. */
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
