/**
 * When the holders of a lease last may have given orders to each engine, as far
 * as the log tells. An engine that does not check tokens must never hear two
 * holders by turns, so a new holder leaves alone what the one before may just
 * have ordered, and may order all other engines at once.
 */

/** A moment up to which orders may have been given. */
interface HistoryEntry {
  /** Steady ms at which it was read here. */
  readonly readMs: number;
  /** How long after that an order may still have arrived, ms. */
  readonly windowMs: number;
  /** Renewals that were read before it. */
  readonly renewals: number;
}

export class OrderHistory {
  private readonly byEngine = new Map<string, HistoryEntry>();
  /** Stands for all engines. */
  private allEngines: HistoryEntry | undefined;
  private renewals = 0;

  /** @param renewMs Least time between a holder's renewal and its record before, ms. */
  constructor(private readonly renewMs: number) {}

  /** A holder wrote that it is about to order `engines`, within `windowMs`. */
  recordOrders(
    engines: readonly string[],
    windowMs: number,
    nowMs: number,
  ): void {
    const entry = this.createEntry(windowMs, nowMs);
    for (const id of engines) this.byEngine.set(id, entry);
  }

  /** Any engine may have been ordered until `windowMs` from now, without a word in the log. */
  recordUnknown(windowMs: number, nowMs: number): void {
    this.allEngines = this.createEntry(windowMs, nowMs);
  }

  recordRenewal(): void {
    this.renewals += 1;
  }

  /** How long no other holder has given orders to the engine, ms; Infinity where none ever did. */
  measureQuietMs(engineId: string, nowMs: number): number {
    return Math.min(
      this.measureAgeMs(this.byEngine.get(engineId), nowMs),
      this.measureAgeMs(this.allEngines, nowMs),
    );
  }

  /**
   * A VM that reads the log from its start reads a mark late, but the renewals
   * behind it took their time: after all VMs lost power, engines that were
   * ordered seconds before are free at once.
   */
  private measureAgeMs(entry: HistoryEntry | undefined, nowMs: number): number {
    if (!entry) return Infinity;
    const renewedMs = (this.renewals - entry.renewals) * this.renewMs;
    return Math.max(nowMs - entry.readMs, renewedMs) - entry.windowMs;
  }

  private createEntry(windowMs: number, nowMs: number): HistoryEntry {
    return {readMs: nowMs, windowMs, renewals: this.renewals};
  }
}
