/** Model of a plain service that runs a limited number of requests at a time. */

import type {EndpointId} from '@radishyoke/shared/ids';
import type {LoadReport} from '@radishyoke/shared/endpoint';
import type {VirtualClock} from './virtual_clock.js';

interface QueuedRequest {
  readonly serviceMs: number;
  readonly onEnd: () => void;
}

export class AppModel {
  private running = 0;
  private readonly waiting: QueuedRequest[] = [];

  constructor(
    private readonly clock: VirtualClock,
    private readonly maxConcurrent: number,
  ) {}

  run(serviceMs: number, onEnd: () => void): void {
    if (this.running >= this.maxConcurrent) {
      this.waiting.push({serviceMs, onEnd});
      return;
    }
    this.running++;
    this.clock.scheduleAfter(serviceMs, () => this.finish(onEnd));
  }

  reportLoad(endpoint: EndpointId): LoadReport {
    return {
      endpoint,
      running: this.running,
      waiting: this.waiting.length,
      waitingPromptTokens: 0,
      tokensPerSecond: 0,
      weightVersion: 0,
      leaving: false,
      measuredAtMs: this.clock.nowMs,
    };
  }

  private finish(onEnd: () => void): void {
    this.running--;
    const next = this.waiting.shift();
    if (next) this.run(next.serviceMs, next.onEnd);
    onEnd();
  }
}
