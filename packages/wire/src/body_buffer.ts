/**
 * Collects the body of one message. Its memory is bounded whatever the other side sends:
 * a body without end, or one in pieces so small that each costs more than it holds.
 */

import {BLOCK_BYTES} from './block_pool.js';
import {MemoryBudget, type MemoryHolder} from './memory_budget.js';

export interface BodyBufferOptions {
  /** Each piece counts as at least this long, bytes. */
  readonly minPieceBytes?: number;
  /** Length that the sender has announced, bytes; memory for it is allocated, and counts, at its first piece. */
  readonly announcedBytes?: number;
  /** Called when the body is dropped because there is too little memory. */
  readonly onEvicted?: () => void;
}

/** Each piece counts as at least this long unless the options say otherwise, bytes. */
const MIN_PIECE_BYTES = 1024;

/** The body of one message. */
export class BodyBuffer implements MemoryHolder {
  /** All but the last are full. One block if the length was announced; otherwise no reference to a block of full size leaves this class. */
  private blocks: Buffer[] = [];
  /** Bytes in the last block. */
  private used = 0;
  private length = 0;
  private capacity = 0;
  private countedBytes = 0;
  private isEvicted = false;
  /** The body, once it is complete. */
  private whole: Buffer | undefined;
  private lastPieceMs = performance.now();

  /**
   * @param maxBytes Longest body that is accepted.
   * @param budget Memory that all bodies share.
   */
  constructor(
    private readonly maxBytes: number,
    private readonly budget = new MemoryBudget(),
    private readonly options: BodyBufferOptions = {},
  ) {}

  /** Steady ms of the last piece; undefined once the body is whole. */
  get progressMs(): number | undefined {
    return this.whole ? undefined : this.lastPieceMs;
  }

  /** Whether more came than is accepted. */
  get isTooLong(): boolean {
    return this.countedBytes > this.maxBytes;
  }

  /** Adds a piece; returns false, and drops the body, if it is too long or there is too little memory. */
  push(piece: Buffer): boolean {
    const {minPieceBytes = MIN_PIECE_BYTES} = this.options;
    this.lastPieceMs = performance.now();
    this.countedBytes += Math.max(piece.length, minPieceBytes);
    if (this.isTooLong || this.isEvicted || !this.append(piece)) {
      this.drop();
      return false;
    }
    return true;
  }

  /** Returns the body, which counts no longer. */
  take(): Buffer {
    const body = this.finish();
    this.drop();
    return body;
  }

  /** Returns the body, which is kept, and counts, until `drop` is called. */
  finish(): Buffer {
    this.whole ??= this.join();
    return this.whole;
  }

  /** Gives the memory back; the body is lost. */
  drop(): void {
    this.freeBlocks();
    this.whole = undefined;
    this.length = 0;
    this.capacity = 0;
    this.budget.release(this);
  }

  evict(): void {
    this.isEvicted = true;
    this.drop();
    this.options.onEvicted?.();
  }

  /** Copies `piece` to the end; returns false if there is too little memory. */
  private append(piece: Buffer): boolean {
    let copied = 0;
    while (copied < piece.length) {
      if (
        this.length === this.capacity &&
        !this.addBlock(piece.length - copied)
      ) {
        return false;
      }
      const bytes = piece.copy(this.blocks.at(-1)!, this.used, copied);
      copied += bytes;
      this.used += bytes;
      this.length += bytes;
    }
    return true;
  }

  /** Adds a block for `bytes` more; returns false if there is too little memory. */
  private addBlock(bytes: number): boolean {
    const size = this.chooseSize(bytes);
    this.capacity += size;
    if (!this.budget.hold(this, this.capacity)) return false;
    const isPooled = this.isUnannounced && size === BLOCK_BYTES;
    const block = isPooled
      ? this.budget.blocks.take()
      : Buffer.allocUnsafe(size);
    this.blocks.push(block);
    this.used = 0;
    return true;
  }

  private get isUnannounced(): boolean {
    return this.options.announcedBytes === undefined;
  }

  /** Returns the announced length, or a size that doubles a small body. */
  private chooseSize(bytes: number): number {
    const {announcedBytes} = this.options;
    if (announcedBytes !== undefined) return Math.max(announcedBytes, bytes);
    return Math.min(Math.max(bytes, this.capacity), BLOCK_BYTES);
  }

  private join(): Buffer {
    const [first] = this.blocks;
    const isOwn = !this.isUnannounced || first?.length < BLOCK_BYTES;
    if (this.blocks.length === 1 && isOwn) {
      return first.subarray(0, this.length);
    }
    const body = Buffer.concat(this.blocks, this.length);
    this.freeBlocks();
    return body;
  }

  private freeBlocks(): void {
    if (this.isUnannounced) {
      this.budget.blocks.put(
        this.blocks.filter(({length}) => length === BLOCK_BYTES),
      );
    }
    this.blocks = [];
    this.used = 0;
  }
}
