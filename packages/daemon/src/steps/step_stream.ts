/** The trainer's end of a step: one open response that carries its events. */

import type {ServerResponse} from 'node:http';
import type {StepEvent} from '@radishyoke/shared/rollout';

/** Time between heartbeats; a client takes three missed ones for a cut, ms. */
export const HEARTBEAT_INTERVAL_MS = 1000;

export class StepStream {
  private readonly heartbeat: NodeJS.Timeout;
  private blockedSinceMs: number | undefined;

  constructor(
    private readonly res: ServerResponse,
    private readonly fencing: number,
    private readonly slowReaderTimeoutMs: number,
    headers: Readonly<Record<string, string>>,
  ) {
    res.writeHead(200, {'content-type': 'application/x-ndjson', ...headers});
    res.on('drain', () => (this.blockedSinceMs = undefined));
    this.heartbeat = setInterval(
      () => this.sendHeartbeat(),
      HEARTBEAT_INTERVAL_MS,
    );
    res.once('close', () => clearInterval(this.heartbeat));
    this.sendHeartbeat();
  }

  send(event: StepEvent): void {
    if (this.res.destroyed) return;
    const hasRoom = this.res.write(`${JSON.stringify(event)}\n`);
    if (!hasRoom) this.blockedSinceMs ??= Date.now();
  }

  /** Ends the response; what was sent before still goes out. */
  end(): void {
    clearInterval(this.heartbeat);
    this.res.end();
  }

  private sendHeartbeat(): void {
    // A reader that takes nothing would pile up every rollout of the step in
    // this process. It is cut off and goes on from its cursor when it is back.
    const blockedMs = Date.now() - (this.blockedSinceMs ?? Date.now());
    if (blockedMs > this.slowReaderTimeoutMs) {
      this.res.destroy();
      return;
    }
    this.send({kind: 'heartbeat', fencing: this.fencing});
  }
}
