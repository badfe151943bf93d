import test from 'ava';
import {silentLogger} from '../../../logger.js';
import {MemoryStore} from '../../__tests__/gateway_fixtures.js';
import {IndexReplicas} from '../index_replica.js';
import {PAYLOAD_TOPIC} from '../batch_topics.js';
import {
  createBatch,
  createItem,
  createResult,
  writeBatch,
} from './batch_fixtures.js';

const TEXT_CHARS = 1000;

/** A log with a batch of six results, and a VM that knows nothing yet. */
async function createColdReplica() {
  const store = new MemoryStore();
  const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
  const batch = createBatch(
    'b0',
    ids.map(id => createItem(id, 100)),
  );
  const results = ids.map(id => createResult(id, id.repeat(TEXT_CHARS)));
  const book = new IndexReplicas(store, silentLogger).locate('b0');
  await writeBatch(store, book.partition, batch, results);
  await book.sync();
  return {book, store, batch, results, entry: book.index.get('b0')!};
}

test('results come from the log, unchanged and in their order', async t => {
  const {book, entry, results} = await createColdReplica();
  const page = await book.readResults(entry, 0, Infinity);
  t.true(page.ok);
  if (page.ok) t.deepEqual(page.value, results);
});

test('a page has one result at least and no more than it may hold', async t => {
  const {book, entry, results} = await createColdReplica();
  for (const [maxBytes, count] of [
    [10, 1],
    [2 * TEXT_CHARS, 2],
  ]) {
    const page = await book.readResults(entry, 3, maxBytes);
    t.true(page.ok);
    if (page.ok) t.deepEqual(page.value, results.slice(3, 3 + count));
  }
});

// A reader is told that there is nothing where there is a result.
// 1. A result stands in the index and its text can not be read.
// 2. An empty page would be taken for the end.
test('a text that can not be read is an error, not an empty page', async t => {
  const {book, entry, store} = await createColdReplica();
  store.read = async () => ({kind: 'expired', firstOffset: 5});
  const page = await book.readResults(entry, 0, Infinity);
  t.false(page.ok);
  if (!page.ok) t.is(page.error.kind, 'log_unavailable');
});

test('a submission is read as it was made', async t => {
  const {book, entry, batch} = await createColdReplica();
  const read = await book.readSubmission(entry);
  t.true(read.ok);
  if (!read.ok) return;
  t.deepEqual(
    read.value.items.map(({id, body}) => [id, Buffer.from(body)]),
    batch.items.map(({id, body}) => [id, Buffer.from(body)]),
  );
});

// A coordinator ends, and each of its successors after it.
// 1. The payload of a submission can not be decoded.
// 2. Whoever opens the batch meets the same bytes.
test('a submission that can not be decoded is an error', async t => {
  const {book, entry, store} = await createColdReplica();
  store.open(PAYLOAD_TOPIC, book.partition)[entry.payload[0].offset].fill(0xc1);
  const read = await book.readSubmission(entry);
  t.false(read.ok);
  if (!read.ok) t.is(read.error.kind, 'internal');
});

// A fleet that comes back after a loss of all VMs can not read its own batches.
// 1. Each VM knows nothing and is asked about one batch.
// 2. Each reads all texts of all batches of the partition; all reads share one
//    bandwidth, calls end at their deadline and are made again.
// Cause: the bytes that a VM reads grew with all that was ever written.
test('a VM that knows nothing reads the texts it is asked for, not those of other batches', async t => {
  const store = new MemoryStore();
  const ids = ['a', 'b', 'c', 'd'];
  const results = ids.map(id => createResult(id, id.repeat(20 * TEXT_CHARS)));
  for (let i = 0; i < 20; i++) {
    const batch = createBatch(
      `b${i}`,
      ids.map(id => createItem(id, TEXT_CHARS)),
    );
    await writeBatch(store, 0, batch, results);
  }
  const stored = store.list(PAYLOAD_TOPIC).reduce((n, r) => n + r.length, 0);
  const book = new IndexReplicas(store, silentLogger).open(0);
  await book.sync();
  const [answer] = [await book.readResults(book.index.get('b7')!, 2, Infinity)];
  t.true(answer.ok);
  if (answer.ok) t.deepEqual(answer.value, results.slice(2));
  const asked = 2 * 20 * TEXT_CHARS;
  t.true(store.readBytes < asked + 0.02 * stored, `${store.readBytes} bytes`);
});
