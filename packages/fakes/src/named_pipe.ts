/**
 * A file that a test hands to a process piece by piece. A process that opens it
 * waits there, so that the test knows how far it has come and can act on it
 * before it goes on.
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
/** A program that does not read within this time has failed, ms; a busy machine takes seconds to start one. */
const READER_TIMEOUT_MS = 30_000;

export class NamedPipe {
  readonly path: string;
  private readonly folder: string;

  constructor() {
    this.folder = mkdtempSync(path.join(tmpdir(), 'radishyoke-pipe-'));
    this.path = path.join(this.folder, 'pipe');
    this.createPipe();
  }

  /** Waits until a process reads; it reads on when the function that is returned is called with the text. */
  async waitForReader(): Promise<(text: string) => void> {
    const untilMs = performance.now() + READER_TIMEOUT_MS;
    let fd = this.openForWriting();
    while (fd === undefined) {
      if (performance.now() > untilMs) throw new Error('no program reads');
      await sleep(POLL_MS);
      fd = this.openForWriting();
    }
    const writer = fd;
    // Who reads next opens another pipe of the same name: a reader that is not
    // done with this one would be taken for the next.
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
      // The answer of a pipe that nobody reads.
      if ((err as NodeJS.ErrnoException).code === 'ENXIO') return undefined;
      throw err;
    }
  }
}
