/** Tracks the requests of callers from their arrival until their answers have been sent. */

import type {ServerResponse} from 'node:http';

export class ActiveRequests {
  private readonly answers = new Set<ServerResponse>();
  private onIdle: Array<() => void> = [];

  /** Adds a request by its answer. */
  add(res: ServerResponse): void {
    this.answers.add(res);
    res.once('close', () => {
      this.answers.delete(res);
      if (this.answers.size === 0) this.reportIdle();
    });
  }

  /** Closes the connection of each request with its answer, if the head of that was not sent yet. */
  closeAfterAnswer(): void {
    for (const res of this.answers) {
      if (!res.headersSent) res.setHeader('Connection', 'close');
    }
  }

  /** Resolves when no request is active; at once if none is. */
  waitUntilIdle(): Promise<void> {
    if (this.answers.size === 0) return Promise.resolve();
    return new Promise(resolve => this.onIdle.push(resolve));
  }

  private reportIdle(): void {
    const waiting = this.onIdle;
    this.onIdle = [];
    for (const resolve of waiting) resolve();
  }
}
