/** Creates batches and writes them to a log as callers and a coordinator would. */

import type {
  Batch,
  BatchItem,
  ItemResult,
} from '@radishyoke/core/batches/batch_record';
import type {LogStore} from '../../store/log_store.js';
import {encodeBatch, encodeRecord} from '../batch_codec.js';
import {INDEX_TOPIC} from '../batch_topics.js';
import {PayloadLog} from '../payload_log.js';

export function createItem(id: string, bodyBytes = 0): BatchItem {
  return {
    id,
    group: 'g',
    path: '/r/',
    headers: {},
    body: new Uint8Array(bodyBytes).fill(id.charCodeAt(0)),
    promptTokens: 1,
    maxOutputTokens: 1,
    expectedOutputTokens: 1,
  };
}

export function createBatch(id: string, items: readonly BatchItem[]): Batch {
  return {
    id,
    host: 'h',
    path: '/r/',
    step: 0,
    model: 'm',
    minVersion: 0,
    groupsWanted: 1,
    items,
    submittedAtMs: Date.now(),
  };
}

export function createResult(itemId: string, output: string): ItemResult {
  return {itemId, state: 'done', output, versions: [1], score: 'proof'};
}

/** Writes an accepted batch and its `results` to `partition`. */
export async function writeBatch(
  store: LogStore,
  partition: number,
  batch: Batch,
  results: readonly ItemResult[],
): Promise<void> {
  const payloads = new PayloadLog(store);
  const texts = results.map(({output}) => Buffer.from(output));
  const stored = await payloads.append(partition, [
    encodeBatch(batch),
    ...texts,
  ]);
  if (stored.kind === 'failed') throw new Error(stored.error.kind);
  const [payload, ...refs] = stored.refs;
  const {items, ...header} = batch;
  const itemIds = items.map(({id}) => id);
  const records = results.map(({itemId, state, versions, score}, i) => {
    const scoreField = score === undefined ? {} : {score};
    const text = refs[i];
    const listed = {itemId, state, versions, ...scoreField, text, writer: 'vm'};
    return encodeRecord({kind: 'result', batchId: batch.id, listed});
  });
  const accepted = encodeRecord({kind: 'accepted', header, itemIds, payload});
  await store.append(INDEX_TOPIC, partition, [accepted, ...records]);
}
