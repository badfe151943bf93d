/**
 * Holds a batch back until this VM has read the configuration that accepted it.
 * Until then none of its items is started or given up, because by an older
 * version its route may be missing or lead to another service.
 */

import {
  type IndexedBatch,
  isComplete,
} from '@radishyoke/core/batches/batch_index';
import {
  findPromisedUntilMs,
  includesAcceptance,
} from '@radishyoke/core/batches/config_knowledge';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';
import type {ConfigHolder} from '../store/config_holder.js';

/** How the wait for a batch's configuration ended. */
export type WaitEnd =
  /** The configuration that accepted the batch has been read. */
  | 'known'
  /** It has not, and the retention under which the batch was accepted is over. */
  | 'overdue'
  /** The batch is complete, or this VM is no longer the coordinator. */
  | 'obsolete';

/** Pause between two reads of the configuration, ms. */
const RETRY_MS = 50;

export class AcceptanceWait {
  private waiting = 0;

  constructor(
    private readonly config: ConfigHolder,
    private readonly logger: EventLogger,
  ) {}

  /** Number of batches that are held back. */
  get waitingCount(): number {
    return this.waiting;
  }

  /** Resolves at once if the configuration has been read already. */
  async wait(entry: IndexedBatch, signal: AbortSignal): Promise<WaitEnd> {
    const learntMs = performance.now();
    if (this.isKnown(entry, learntMs)) return 'known';
    this.waiting += 1;
    const outcome = await this.readUntilKnown(entry, learntMs, signal);
    this.waiting -= 1;
    const {id, acceptedUnder} = entry.header;
    this.logger.log('info', 'batch waited for its configuration', {
      requestId: id,
      configVersion: this.config.version,
      acceptedUnder: acceptedUnder?.configVersion,
      outcome,
      tookMs: Math.round(performance.now() - learntMs),
    });
    return outcome;
  }

  private async readUntilKnown(
    entry: IndexedBatch,
    learntMs: number,
    signal: AbortSignal,
  ): Promise<WaitEnd> {
    const promisedUntilMs = findPromisedUntilMs(entry.header);
    for (;;) {
      await this.config.confirmCurrent();
      if (signal.aborted || isComplete(entry)) return 'obsolete';
      if (this.isKnown(entry, learntMs)) return 'known';
      if (Date.now() > promisedUntilMs) return 'overdue';
      await sleep(RETRY_MS);
    }
  }

  private isKnown({header}: IndexedBatch, learntMs: number): boolean {
    return includesAcceptance(this.config.knowledge, header, learntMs);
  }
}
