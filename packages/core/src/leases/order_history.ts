/**
 * Tracks when lease holders may last have ordered each engine, according to the
 * log. An engine that does not check fencing tokens must never get orders from
 * two holders alternately. A new holder therefore avoids engines that its
 * predecessor may just have ordered, and may order all others at once.
 */

/** The last moment at which orders may have been given. */
interface HistoryEntry {
  /** Steady ms at which the record was read. */
  readonly readMs: number;
  /** How long after that an order may still have arrived, ms. */
  readonly windowMs: number;
  /** Number of renewals that had been read before. */
  readonly renewals: number;
}

export class OrderHistory {
  private readonly byEngine = new Map<string, HistoryEntry>();
  /** Applies to all engines. */
  private allEngines: HistoryEntry | undefined;
  private renewals = 0;

  /**
   * @param renewMs Minimum time between a renewal and the holder's previous
   *     record, ms.
   */
  constructor(private readonly renewMs: number) {}

  /**
   * Records a holder's announcement that it will order `engines` within
   * `windowMs`.
   */
  recordOrders(
    engines: readonly string[],
    windowMs: number,
    nowMs: number,
  ): void {
    const entry = this.createEntry(windowMs, nowMs);
    for (const id of engines) this.byEngine.set(id, entry);
  }

  /**
   * Records that any engine may be ordered until `windowMs` from now without an
   * announcement.
   */
  recordUnknown(windowMs: number, nowMs: number): void {
    this.allEngines = this.createEntry(windowMs, nowMs);
  }

  recordRenewal(): void {
    this.renewals += 1;
  }

  /**
   * Time since another holder may last have ordered the engine, ms; Infinity if
   * none ever has.
   */
  measureQuietMs(engineId: string, nowMs: number): number {
    return Math.min(
      this.measureAgeMs(this.byEngine.get(engineId), nowMs),
      this.measureAgeMs(this.allEngines, nowMs),
    );
  }

  /**
   * A VM that reads the log from its start reads old records late, but the
   * renewals after them prove their age. After a power loss of all VMs, engines
   * that were ordered seconds before can thus be ordered at once.
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
