/** Wraps a log store and records the outcome and duration of its calls in the metrics. */

import type {GatewayMetrics} from '../gateway_metrics.js';
import {
  type AppendOptions,
  type AppendOutcome,
  type KeyedReadOutcome,
  LogStore,
  type NewKeyedRecord,
  type ReadOptions,
  type ReadOutcome,
} from './log_store.js';

export class MeteredStore extends LogStore {
  constructor(
    private readonly store: LogStore,
    private readonly metrics: GatewayMetrics,
  ) {
    super();
  }

  get partitions(): number {
    return this.store.partitions;
  }

  get maxRecordBytes(): number {
    return this.store.maxRecordBytes;
  }

  get maxAppendBytes(): number {
    return this.store.maxAppendBytes;
  }

  append(
    topic: string,
    partition: number,
    records: readonly Uint8Array[],
    options?: AppendOptions,
  ): Promise<AppendOutcome> {
    return this.measure(
      'append',
      this.store.append(topic, partition, records, options),
    );
  }

  appendKeyed(
    topic: string,
    records: readonly NewKeyedRecord[],
  ): Promise<AppendOutcome> {
    return this.measure('append_keyed', this.store.appendKeyed(topic, records));
  }

  read(
    topic: string,
    partition: number,
    from: number,
    options: ReadOptions,
  ): Promise<ReadOutcome> {
    return this.measure(
      labelRead('read', options),
      this.store.read(topic, partition, from, options),
    );
  }

  readKeyed(
    topic: string,
    from: number,
    options: ReadOptions,
  ): Promise<KeyedReadOutcome> {
    return this.measure(
      labelRead('read_keyed', options),
      this.store.readKeyed(topic, from, options),
    );
  }

  readNewest(topic: string): Promise<KeyedReadOutcome> {
    return this.measure('read_newest', this.store.readNewest(topic));
  }

  trim(topic: string, partition: number, offset: number): Promise<boolean> {
    return this.store.trim(topic, partition, offset);
  }

  close(): void {
    this.store.close();
  }

  private async measure<T extends {readonly kind: string}>(
    call: string,
    pending: Promise<T>,
  ): Promise<T> {
    const startedMs = performance.now();
    const outcome = await pending;
    const tookMs = performance.now() - startedMs;
    this.metrics.recordResult('store_calls', call, outcome.kind, tookMs);
    return outcome;
  }
}

/** Labels reads that wait for records separately, because their duration says nothing about the log's latency. */
function labelRead(call: string, {waitMs}: ReadOptions): string {
  return waitMs > 0 ? `${call}_waiting` : call;
}
