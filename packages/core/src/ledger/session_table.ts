/** Sessions of VMs: what their leases hang on. */

/** One session: writer and the adjusted log time at which it lapses. */
export type SessionEntry = readonly [string, number];

/** Sessions by writer. Absent and lapsed mean the same. */
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

  /** When the session lapses; 0 for none. */
  findExpiryMs(writer: string): number {
    return this.expiries.get(writer) ?? 0;
  }

  /** Sessions live at `nowMs`. */
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
