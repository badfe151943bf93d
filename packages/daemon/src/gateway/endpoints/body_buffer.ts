/**
 * Collects the body of one answer. Its memory is bounded whatever the other side sends:
 * a body without end, or one in pieces so small that each costs more than it holds.
 */

import type {BodyBudget, BodyHolder} from './body_budget.js';

/** Each piece counts as at least this long, bytes. */
const MIN_PIECE_BYTES = 1024;
const EMPTY = Buffer.alloc(0);

export class BodyBuffer implements BodyHolder {
  private memory: Buffer = EMPTY;
  private length = 0;
  private countedBytes = 0;
  private isEvicted = false;

  /**
   * @param maxBytes Longest body that is accepted.
   * @param budget Memory that all bodies share; without one it is not limited.
   */
  constructor(
    private readonly maxBytes: number,
    private readonly budget?: BodyBudget,
  ) {}

  /** Adds a piece; returns false, and drops the body, if it is too long or there is too little memory. */
  push(piece: Buffer): boolean {
    this.countedBytes += Math.max(piece.length, MIN_PIECE_BYTES);
    const isTooLong = this.countedBytes > this.maxBytes;
    if (isTooLong || this.isEvicted || !this.reserve(piece.length)) {
      this.drop();
      return false;
    }
    piece.copy(this.memory, this.length);
    this.length += piece.length;
    return true;
  }

  /** Returns the body, which counts no longer as unfinished. */
  take(): Buffer {
    const body = this.memory.subarray(0, this.length);
    this.drop();
    return body;
  }

  /** Gives the memory back; the body is lost. */
  drop(): void {
    this.memory = EMPTY;
    this.length = 0;
    this.budget?.release(this);
  }

  evict(): void {
    this.isEvicted = true;
    this.drop();
  }

  /** Makes room for `bytes` more; returns false if there is none. */
  private reserve(bytes: number): boolean {
    const needed = this.length + bytes;
    if (needed <= this.memory.length) return true;
    const size = Math.max(needed, this.memory.length * 2);
    this.budget?.hold(this, size);
    if (this.isEvicted) return false;
    const memory = Buffer.allocUnsafe(size);
    this.memory.copy(memory, 0, 0, this.length);
    this.memory = memory;
    return true;
  }
}
