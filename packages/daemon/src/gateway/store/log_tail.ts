/** Reads one partition of the log incrementally, each time from the last position to the end. */

import type {EventLogger} from '../../logger.js';
import type {LogStore, StoredRecord} from './log_store.js';

export class LogTail {
  private position = 0;

  constructor(
    private readonly store: LogStore,
    private readonly topic: string,
    private readonly partition: number,
    private readonly logger: EventLogger,
  ) {}

  /** Offset of the next record to read. */
  get nextOffset(): number {
    return this.position;
  }

  /** Skips a record that can not be read, which would otherwise stop every VM that reads it. */
  private handleRecord(
    record: StoredRecord,
    onRecord: (record: StoredRecord) => void,
  ): void {
    try {
      onRecord(record);
    } catch (err) {
      this.logger.log('error', 'record can not be read and is skipped', {
        partition: this.partition,
        offset: record.offset,
        detail: String(err),
      });
    }
  }

  /** Passes all new records to `onRecord`; returns whether the end was reached. */
  async read(onRecord: (record: StoredRecord) => void): Promise<boolean> {
    for (;;) {
      const {store, topic, partition} = this;
      const outcome = await store.read(topic, partition, this.position, {
        waitMs: 0,
      });
      switch (outcome.kind) {
        case 'failed':
          return false;
        case 'expired':
          this.position = outcome.firstOffset;
          continue;
        case 'page':
          for (const record of outcome.records) {
            this.position = record.offset + 1;
            this.handleRecord(record, onRecord);
          }
          if (this.position >= outcome.endOffset) return true;
          if (outcome.records.length === 0) return false;
      }
    }
  }
}
