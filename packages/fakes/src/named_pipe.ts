/**
 * A named pipe that a process reads as a file. The process blocks when it opens
 * the pipe, so a test knows which point it has reached and can act before it continues.
 */

import {execFileSync} from 'node:child_process';
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  rmSync,
  writeSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MS = 2;
/** How long to wait for a reader, ms: a busy machine takes seconds to start a process. */
const READER_TIMEOUT_MS = 30_000;

export class NamedPipe {
  readonly path: string;
  private readonly folder: string;

  constructor() {
    this.folder = mkdtempSync(path.join(tmpdir(), 'radishyoke-pipe-'));
    this.path = path.join(this.folder, 'pipe');
    this.createPipe();
  }

  /**
   * Waits until a process opens the pipe. Returns a function that gives it the
   * text of the file, after which the process continues.
   */
  async waitForReader(): Promise<(text: string) => void> {
    const untilMs = performance.now() + READER_TIMEOUT_MS;
    let fd = this.openForWriting();
    while (fd === undefined) {
      if (performance.now() > untilMs)
        throw new Error('no process opened the pipe');
      await sleep(POLL_MS);
      fd = this.openForWriting();
    }
    const writer = fd;
    // The next reader must open a new pipe of the same name: on the same pipe, a
    // reader that has not finished would be mistaken for the next one.
    rmSync(this.path);
    this.createPipe();
    return text => {
      writeSync(writer, text);
      closeSync(writer);
    };
  }

  remove(): void {
    rmSync(this.folder, {recursive: true});
  }

  private createPipe(): void {
    execFileSync('mkfifo', [this.path]);
  }

  private openForWriting(): number | undefined {
    try {
      return openSync(this.path, constants.O_WRONLY | constants.O_NONBLOCK);
    } catch (err) {
      // No process has opened the pipe for reading.
      if ((err as NodeJS.ErrnoException).code === 'ENXIO') return undefined;
      throw err;
    }
  }
}
