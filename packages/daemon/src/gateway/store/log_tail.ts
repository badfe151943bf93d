/** Reads one partition of the log from where it was last read to its end. */

import type {EventLogger} from '../../logger.js';
import type {LogStore, StoredRecord} from './log_store.js';

export class LogTail {
  private next = 0;

  constructor(
    private readonly store: LogStore,
    private readonly topic: string,
    private readonly partition: number,
    private readonly logger: EventLogger,
  ) {}

  /** Offset of the record that is read next. */
  get nextOffset(): number {
    return this.next;
  }

  /** A record that can not be read would otherwise stop each VM that reads it. */
  private take(
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

  /** Hands over all records that were not read yet; says whether the end was reached. */
  async read(onRecord: (record: StoredRecord) => void): Promise<boolean> {
    for (;;) {
      const {store, topic, partition} = this;
      const outcome = await store.read(topic, partition, this.next, {
        waitMs: 0,
      });
      switch (outcome.kind) {
        case 'failed':
          return false;
        case 'expired':
          this.next = outcome.firstOffset;
          continue;
        case 'page':
          for (const record of outcome.records) {
            this.next = record.offset + 1;
            this.take(record, onRecord);
          }
          if (this.next >= outcome.endOffset) return true;
          if (outcome.records.length === 0) return false;
      }
    }
  }
}
