/**
 * Reports records of keyed topics that can not be used. A writer may repeat such a
 * record every second, so a line is written only when a key has a new problem.
 */

import type {EventLogger} from '../../logger.js';
import type {GatewayMetrics} from '../gateway_metrics.js';

/** Maximum number of keys whose last problem is kept; beyond, lines may repeat. */
const MAX_KEYS = 1000;

export class SkippedRecords {
  private readonly details = new Map<string, string>();

  constructor(
    private readonly metrics: GatewayMetrics,
    private readonly logger: EventLogger,
  ) {}

  /** Records that the record of `key` at `offset` is skipped because of `detail`. */
  record(key: string, offset: number, detail: string): void {
    this.metrics.count('records_skipped');
    if (this.details.get(key) === detail) return;
    if (this.details.size >= MAX_KEYS) this.details.clear();
    this.details.set(key, detail);
    const fields = {key: escapeKey(key), offset, detail};
    this.logger.log('warn', 'record skipped', fields);
  }

  /** Records that the key has a usable record or none at all. */
  forget(key: string): void {
    this.details.delete(key);
  }
}

/** Escapes everything but visible ASCII characters, so that a key can be searched for. */
function escapeKey(key: string): string {
  return key.replace(
    /[^\x21-\x7e]/g,
    char => `\\u${char.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}
