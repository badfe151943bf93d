/**
 * Blocks of memory that are used again. What a body no longer needs would otherwise stay
 * until the next garbage collection, and a small VM has no room for it meanwhile.
 */

/** Size of a block, bytes. */
export const BLOCK_BYTES = 16 * 1024;

/** Blocks that nobody uses at the moment. */
export class BlockPool {
  private readonly free: Buffer[] = [];

  /** @param maxFree Most unused blocks that are kept. */
  constructor(private readonly maxFree: number) {}

  /** Returns a block, which belongs to the caller until it is put back. */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes blocks back, to which nobody else may refer any more. */
  put(blocks: readonly Buffer[]): void {
    const room = this.maxFree - this.free.length;
    for (const block of blocks.slice(0, room)) this.free.push(block);
  }
}
