/**
 * When the holders of a lease last may have given orders to each engine, as far
 * as the log tells. An engine that does not check tokens must never hear two
 * holders by turns, so a new holder leaves alone what the one before may just
 * have ordered, and may order all other engines at once.
 */

/** A moment up to which orders may have been given. */
interface OrderMark {
  /** Steady ms at which it was read here. */
  readonly readMs: number;
  /** How long after that an order may still have arrived, ms. */
  readonly windowMs: number;
  /** Renewals that were read before it. */
  readonly renewals: number;
}

export class OrderMarks {
  private readonly byEngine = new Map<string, OrderMark>();
  /** Stands for all engines. */
  private all: OrderMark | undefined;
  private renewals = 0;

  /** @param renewMs Least time between a holder's renewal and its record before, ms. */
  constructor(private readonly renewMs: number) {}

  /** A holder wrote that it is about to order `engines`, within `windowMs`. */
  noteOrders(
    engines: readonly string[],
    windowMs: number,
    nowMs: number,
  ): void {
    const mark = this.createMark(windowMs, nowMs);
    for (const id of engines) this.byEngine.set(id, mark);
  }

  /** Any engine may have been ordered until `windowMs` from now, without a word in the log. */
  noteUnknown(windowMs: number, nowMs: number): void {
    this.all = this.createMark(windowMs, nowMs);
  }

  noteRenewal(): void {
    this.renewals += 1;
  }

  /** How long no other holder has given orders to the engine, ms; Infinity where none ever did. */
  measureQuietMs(engineId: string, nowMs: number): number {
    return Math.min(
      this.measureAgeMs(this.byEngine.get(engineId), nowMs),
      this.measureAgeMs(this.all, nowMs),
    );
  }

  /**
   * A VM that reads the log from its start reads a mark late, but the renewals
   * behind it took their time: after all VMs lost power, engines that were
   * ordered seconds before are free at once.
   */
  private measureAgeMs(mark: OrderMark | undefined, nowMs: number): number {
    if (!mark) return Infinity;
    const renewedMs = (this.renewals - mark.renewals) * this.renewMs;
    return Math.max(nowMs - mark.readMs, renewedMs) - mark.windowMs;
  }

  private createMark(windowMs: number, nowMs: number): OrderMark {
    return {readMs: nowMs, windowMs, renewals: this.renewals};
  }
}
