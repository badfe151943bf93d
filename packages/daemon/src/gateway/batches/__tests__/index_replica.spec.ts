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

/** Creates a replica that has just read the index of a log with one batch of six results. */
async function createColdReplica() {
  const store = new MemoryStore();
  const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
  const batch = createBatch(
    'b0',
    ids.map(id => createItem(id, 100)),
  );
  const results = ids.map(id => createResult(id, id.repeat(TEXT_CHARS)));
  const replica = new IndexReplicas(store, silentLogger).locate('b0');
  await writeBatch(store, replica.partition, batch, results);
  await replica.sync();
  return {replica, store, batch, results, entry: replica.index.get('b0')!};
}

test('results are read from the log unchanged and in order', async t => {
  const {replica, entry, results} = await createColdReplica();
  const page = await replica.readResults(entry, 0, Infinity);
  t.true(page.ok);
  if (page.ok) t.deepEqual(page.value, results);
});

test('a page has at least one result and stays within its size limit', async t => {
  const {replica, entry, results} = await createColdReplica();
  for (const [maxBytes, count] of [
    [10, 1],
    [2 * TEXT_CHARS, 2],
  ]) {
    const page = await replica.readResults(entry, 3, maxBytes);
    t.true(page.ok);
    if (page.ok) t.deepEqual(page.value, results.slice(3, 3 + count));
  }
});

// Guards against an empty page, which a reader takes for the end of the results,
// where the index has a result whose text can not be read.
test('a text that can not be read is an error, not an empty page', async t => {
  const {replica, entry, store} = await createColdReplica();
  store.read = async () => ({kind: 'expired', firstOffset: 5});
  const page = await replica.readResults(entry, 0, Infinity);
  t.false(page.ok);
  if (!page.ok) t.is(page.error.kind, 'log_unavailable');
});

test('a submission is read as it was submitted', async t => {
  const {replica, entry, batch} = await createColdReplica();
  const read = await replica.readSubmission(entry);
  t.true(read.ok);
  if (!read.ok) return;
  t.deepEqual(
    read.value.items.map(({id, body}) => [id, Buffer.from(body)]),
    batch.items.map(({id, body}) => [id, Buffer.from(body)]),
  );
});

// Guards against a payload that can not be decoded and ends the coordinator's
// process, and then that of each coordinator that takes over and reads it again.
test('a submission that can not be decoded is an error', async t => {
  const {replica, entry, store} = await createColdReplica();
  store
    .open(PAYLOAD_TOPIC, replica.partition)
    [entry.payload[0].offset].fill(0xc1);
  const read = await replica.readSubmission(entry);
  t.false(read.ok);
  if (!read.ok) t.is(read.error.kind, 'internal');
});

// Guards against a fleet that can not read its batches after all VMs restarted.
// Each VM has an empty replica and gets a call about one batch. If it read the
// texts of all batches, the bytes to read would grow with all that was ever
// written; the reads share one bandwidth, exceed their deadlines and are repeated.
test('a VM with an empty replica reads only the requested texts, not those of other batches', async t => {
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
  const replica = new IndexReplicas(store, silentLogger).open(0);
  await replica.sync();
  const [answer] = [
    await replica.readResults(replica.index.get('b7')!, 2, Infinity),
  ];
  t.true(answer.ok);
  if (answer.ok) t.deepEqual(answer.value, results.slice(2));
  const requestedBytes = 2 * 20 * TEXT_CHARS;
  t.true(
    store.readBytes < requestedBytes + 0.02 * stored,
    `${store.readBytes} bytes`,
  );
});
