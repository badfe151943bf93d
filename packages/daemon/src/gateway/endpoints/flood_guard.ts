/**
 * Tells a stream of events from bytes that are none. A faulty endpoint may send bytes
 * without end, as fast as they are read: no event at all, or events that no work
 * produces so fast. Reading them would take all of the VM's time.
 */

/** Longest run of bytes without an event, bytes; usual events have some hundred. */
export const MAX_BYTES_WITHOUT_EVENT = 256 * 1024;
/** Each piece counts as at least this long, bytes, and each event as this much longer than it is. */
const MIN_PIECE_BYTES = 256;
/** Bytes that a stream may be ahead of the rate, and the rate, bytes a second. */
const BURST_BYTES = 1024 * 1024;
const BYTES_PER_S = 4 * 1024 * 1024;

export class FloodGuard {
  private bytesWithoutEvent = 0;
  private remainingBytes = BURST_BYTES;
  private lastMs = -Infinity;

  /** Records received bytes at `nowMs` (steady); returns false if they are part of a flood. */
  recordPiece(bytes: number, nowMs: number): boolean {
    this.bytesWithoutEvent += Math.max(bytes, MIN_PIECE_BYTES);
    if (this.bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) return false;
    const refill = ((nowMs - this.lastMs) / 1000) * BYTES_PER_S;
    this.remainingBytes = Math.min(this.remainingBytes + refill, BURST_BYTES);
    this.lastMs = nowMs;
    return this.spend(Math.max(bytes, MIN_PIECE_BYTES));
  }

  /** Records an event in the received bytes; returns false if it is part of a flood. */
  recordEvent(): boolean {
    this.bytesWithoutEvent = 0;
    return this.spend(MIN_PIECE_BYTES);
  }

  private spend(bytes: number): boolean {
    this.remainingBytes -= bytes;
    return this.remainingBytes >= 0;
  }
}
