/**
 * Writes log lines without ever blocking on their reader. Node.js writes to a
 * pipe synchronously, so a stalled reader would stall the VM. Lines are buffered,
 * written off the main thread one buffer at a time, and dropped and counted when
 * the buffer is full.
 */

import {write} from 'node:fs';

/** Maximum size of the buffered lines, characters; about one second of lines at peak load. */
const MAX_WAITING_CHARS = 512 * 1024;
/** Lines are buffered this long before a write, ms. One write costs about as much as ten lines. */
const BUFFER_MS = 100;

export class LogSink {
  private waiting: string[] = [];
  private waitingChars = 0;
  private dropped = 0;
  private dropReporter: ((dropped: number) => void) | undefined;
  private timer: NodeJS.Timeout | undefined;
  /** Resolves when the write in progress has finished. */
  private writing: Promise<void> | undefined;

  /** @param fd File descriptor that lines are written to; 1 is standard output. */
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
   * Sets the function that logs the number of dropped lines. It must write an
   * ordinary log line with VM and time, so that the count can be attributed and
   * correlated when the logs of several VMs are merged.
   */
  setDropReporter(report: (dropped: number) => void): void {
    this.dropReporter = report;
  }

  /** Writes all buffered lines; resolves when they are written. */
  async flush(): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    // Lines added during a write must be written too, or they would be lost when
    // the process ends.
    while (this.writing) await this.writing;
    while (this.waiting.length > 0) await this.writeWaiting();
  }

  private writeWaiting(): Promise<void> {
    const text = Buffer.from(`${this.waiting.join('\n')}\n`);
    this.waiting = [];
    this.waitingChars = 0;
    // The buffer is empty now, so the line about dropped lines fits.
    this.reportDropped();
    this.writing = new Promise(resolve => this.writeAll(text, resolve));
    return this.writing;
  }

  private schedule(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      // Lines added during a write are scheduled when it has finished.
      if (!this.writing && this.waiting.length > 0) void this.writeWaiting();
    }, BUFFER_MS);
  }

  private writeAll(bytes: Buffer, resolve: () => void): void {
    write(this.fd, bytes, (err, written) => {
      // EAGAIN means that the reader is slow, so the rest is retried. Any other
      // error means that the reader is gone, and there is nowhere to report it.
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
