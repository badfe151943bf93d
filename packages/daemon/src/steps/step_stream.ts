/** An open HTTP response that streams a step's events to the trainer. */

import type {ServerResponse} from 'node:http';
import type {StepEvent} from '@radishyoke/shared/rollout';

/**
 * Time between heartbeats, ms. A client treats three missed heartbeats as a
 * broken connection.
 */
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

  /** Ends the response; events sent before are still delivered. */
  end(): void {
    clearInterval(this.heartbeat);
    this.res.end();
  }

  private sendHeartbeat(): void {
    // For a trainer that does not read, this process would have to buffer every
    // rollout of the step. So it is disconnected; it can resume from its
    // cursor.
    const blockedMs = Date.now() - (this.blockedSinceMs ?? Date.now());
    if (blockedMs > this.slowReaderTimeoutMs) {
      this.res.destroy();
      return;
    }
    this.send({kind: 'heartbeat', fencing: this.fencing});
  }
}
