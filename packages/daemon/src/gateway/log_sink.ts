/**
 * Takes log lines without ever blocking on whoever reads them. Node.js writes to
 * a pipe synchronously, so a reader that stalls would stall the VM; here lines
 * are gathered, written off the main thread one buffer at a time, and dropped
 * with a count when too many wait.
 */

import {write} from 'node:fs';

/** Lines that wait may hold this many characters; about a second at the heaviest load seen. */
const MAX_WAITING_CHARS = 512 * 1024;
/** Lines are gathered this long before one write, ms; a write costs as much as ten lines. */
const BUFFER_MS = 100;

export class LogSink {
  private waiting: string[] = [];
  private waitingChars = 0;
  private dropped = 0;
  private dropReporter: ((dropped: number) => void) | undefined;
  private timer: NodeJS.Timeout | undefined;
  /** The write under way. */
  private writing: Promise<void> | undefined;

  /** @param fd Where lines go; 1 is standard output. */
  constructor(private readonly fd: number) {}

  readonly write = (line: string): void => {
    if (this.waitingChars + line.length > MAX_WAITING_CHARS) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingChars += line.length + 1;
    this.schedule();
  };

  /**
   * Tells of lines that were dropped by `report`, which writes a line as any
   * other, with VM and time. A count without them could not be put beside the
   * lines of other VMs, nor be told apart from theirs.
   */
  setDropReporter(report: (dropped: number) => void): void {
    this.dropReporter = report;
  }

  /** Writes what waits; resolves when all of it is written. */
  async flush(): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    // Lines that came during a write would be lost with the process otherwise.
    while (this.writing) await this.writing;
    while (this.waiting.length > 0) await this.writeWaiting();
  }

  private writeWaiting(): Promise<void> {
    const text = Buffer.from(`${this.waiting.join('\n')}\n`);
    this.waiting = [];
    this.waitingChars = 0;
    // Now there is room for the line about it.
    this.reportDropped();
    this.writing = new Promise(resolve => this.writeAll(text, resolve));
    return this.writing;
  }

  private schedule(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      // What comes during a write is gathered anew when it is done.
      if (!this.writing && this.waiting.length > 0) void this.writeWaiting();
    }, BUFFER_MS);
  }

  private writeAll(bytes: Buffer, resolve: () => void): void {
    write(this.fd, bytes, (err, written) => {
      // EAGAIN: the reader is slow; what is left is tried again. Any other
      // error means that nobody reads any more, and there is no one to tell.
      const isRetryable = err?.code === 'EAGAIN';
      const left = err ? bytes : bytes.subarray(written);
      if (left.length > 0 && (!err || isRetryable)) {
        setTimeout(() => this.writeAll(left, resolve), err ? BUFFER_MS : 0);
        return;
      }
      this.writing = undefined;
      if (this.waiting.length > 0) this.schedule();
      resolve();
    });
  }

  private reportDropped(): void {
    const {dropped} = this;
    if (dropped === 0 || !this.dropReporter) return;
    this.dropped = 0;
    this.dropReporter(dropped);
  }
}
