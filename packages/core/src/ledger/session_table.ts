/**
 * Sessions of VMs. A lease is held only while its holder has a live session.
 */

/** One session: writer and the adjusted log time at which it expires. */
export type SessionEntry = readonly [string, number];

/** Sessions by writer. An absent session is equivalent to an expired one. */
export class SessionTable {
  private readonly expiries = new Map<string, number>();

  constructor(entries: readonly SessionEntry[] = []) {
    for (const [writer, expiryMs] of entries) {
      this.expiries.set(writer, expiryMs);
    }
  }

  renew(writer: string, ttlMs: number, nowMs: number): void {
    this.expiries.set(writer, nowMs + ttlMs);
  }

  close(writer: string): void {
    this.expiries.delete(writer);
  }

  isLive(writer: string, nowMs: number): boolean {
    return (this.expiries.get(writer) ?? 0) > nowMs;
  }

  /** Returns when the session expires; 0 for none. */
  findExpiryMs(writer: string): number {
    return this.expiries.get(writer) ?? 0;
  }

  /** Counts the sessions that are live at `nowMs`. */
  count(nowMs: number): number {
    let live = 0;
    for (const expiry of this.expiries.values()) if (expiry > nowMs) live++;
    return live;
  }

  dropExpired(nowMs: number): void {
    for (const [writer, expiry] of this.expiries) {
      if (expiry <= nowMs) this.expiries.delete(writer);
    }
  }

  toSnapshot(): readonly SessionEntry[] {
    return [...this.expiries];
  }
}
