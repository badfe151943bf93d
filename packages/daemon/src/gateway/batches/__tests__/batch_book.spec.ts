import test from 'ava';
import type {
  Batch,
  BatchItem,
  ItemResult,
} from '@radishyoke/core/batches/batch_record';
import {MAX_KEPT_CHARS} from '@radishyoke/core/batches/result_cache';
import {silentLogger} from '../../../logger.js';
import {MemoryStore} from '../../__tests__/gateway_fixtures.js';
import {encodeRecord, encodeSubmission} from '../batch_codec.js';
import {BatchShelf} from '../batch_book.js';

function createItem(id: string): BatchItem {
  return {
    id,
    group: 'g',
    path: '/r/',
    headers: {},
    body: new Uint8Array(),
    promptTokens: 1,
    maxOutputTokens: 1,
    expectedOutputTokens: 1,
  };
}

function createBatch(itemIds: readonly string[]): Batch {
  return {
    id: 'b0',
    host: 'h',
    path: '/r/',
    step: 0,
    model: 'm',
    minVersion: 0,
    groupsWanted: 1,
    items: itemIds.map(createItem),
    submittedAtMs: Date.now(),
  };
}

function createResult(itemId: string, output: string): ItemResult {
  return {itemId, state: 'done', output, versions: [1], score: 'proof'};
}

/** A book whose results fill three times the memory that is kept. */
async function createFullBook() {
  const store = new MemoryStore();
  const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
  const half = MAX_KEPT_CHARS / 2;
  const results = ids.map(id => createResult(id, id.repeat(half)));
  const records = encodeSubmission(createBatch(ids), 's', store.maxRecordBytes);
  store.records.push(...records);
  for (const result of results) {
    store.records.push(encodeRecord({kind: 'result', batchId: 'b0', result}));
  }
  const book = new BatchShelf(store, silentLogger).locate('b0');
  await book.sync();
  return {book, store, results, entry: book.ledger.get('b0')!};
}

// A coordinator runs out of memory; or a reader gets half of what was listed.
// 1. Results of several steps are kept for as long as callers may ask.
// 2. The oldest texts are let go; a caller reads from the first position on.
test('results that are no longer in memory come from the log, unchanged', async t => {
  const {book, entry, results} = await createFullBook();
  const kept = entry.results.filter(({result}) => result !== undefined);
  t.is(kept.length, 2);
  const page = await book.readResults(entry, 0, Infinity);
  t.true(page.ok);
  if (page.ok) t.deepEqual(page.value, results);
});

test('a page has one result at least and no more than it may hold', async t => {
  const {book, entry, results} = await createFullBook();
  const page = await book.readResults(entry, 3, 10);
  t.true(page.ok);
  if (page.ok) t.deepEqual(page.value, [results[3]]);
});

// A reader is told that there is nothing where there is a result.
// 1. The text is no longer in memory and the log can not be reached.
// 2. An empty page would be taken for the end.
test('a text that can not be read is an error, not an empty page', async t => {
  const {book, entry, store} = await createFullBook();
  store.read = async () => ({
    kind: 'expired',
    firstOffset: 5,
  });
  const page = await book.readResults(entry, 0, Infinity);
  t.false(page.ok);
  if (!page.ok) t.is(page.error.kind, 'log_unavailable');
});
