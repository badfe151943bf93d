import test from 'ava';
import type {ProgressRecord} from '@radishyoke/core/batches/batch_record';
import {createError} from '@radishyoke/shared/error_kind';
import {silentLogger} from '../../../logger.js';
import {MemoryStore} from '../../__tests__/gateway_fixtures.js';
import {encodeRecord} from '../batch_codec.js';
import {IndexReplicas} from '../index_replica.js';
import {BatchLoader, type LoadOptions} from '../batch_loader.js';
import {INDEX_TOPIC, PROGRESS_TOPIC} from '../batch_topics.js';
import {
  createBatch,
  createItem,
  createResult,
  writeBatch,
} from './batch_fixtures.js';

const FRESH: LoadOptions = {mayHaveProgress: false, textsOf: new Set()};
const STARTED: LoadOptions = {mayHaveProgress: true, textsOf: new Set()};

/** Creates a loader and a log with one batch of three items, the first with a result. */
async function createLoad() {
  const store = new MemoryStore();
  const replicas = new IndexReplicas(store, silentLogger);
  const replica = replicas.locate('b0');
  const items = ['a', 'b', 'c'].map(id => createItem(id, 10));
  const results = [createResult('a', 'text of a')];
  await writeBatch(store, replica.partition, createBatch('b0', items), results);
  await replica.sync();
  return {
    store,
    replica,
    entry: replica.index.get('b0')!,
    loader: new BatchLoader(store, replicas, silentLogger),
    abort: new AbortController(),
    writeProgress(record: ProgressRecord): void {
      const records = store.open(PROGRESS_TOPIC, replica.partition);
      records.push(encodeRecord(record));
    },
  };
}

function createEvents(from: number, count: number) {
  return Array.from({length: count}, (_, i) => {
    const id = from + i;
    return {id, data: `${id}`, version: 1, run: 'r'};
  });
}

// Guards against a step that is generated again from the start after a failover,
// although the old coordinator had written part of a text. The partition also has
// the progress of other batches, which must not be mixed in.
test('a new coordinator reads the texts so far, and only those of the batch', async t => {
  const {loader, entry, abort, writeProgress} = await createLoad();
  const item = {batchId: 'b0', itemId: 'b'};
  writeProgress({...item, events: createEvents(1, 2)});
  writeProgress({batchId: 'b9', itemId: 'c', events: createEvents(1, 5)});
  writeProgress({...item, afterRun: 'r', events: createEvents(3, 1)});
  const state = await loader.load(entry, STARTED, abort.signal);
  const [a, b, c] = [...state!.items.values()];
  t.true(a.isListed);
  t.is(b.transcript.joinOutput(), '1\n2\n3');
  t.is(c.transcript.events.length, 0);
});

test('progress is not read for a batch that no coordinator has run', async t => {
  const {loader, entry, abort, store, writeProgress} = await createLoad();
  writeProgress({batchId: 'b0', itemId: 'b', events: createEvents(1, 1000)});
  store.readBytes = 0;
  await loader.load(entry, FRESH, abort.signal);
  t.true(store.readBytes < 2000, `${store.readBytes} bytes`);
});

test('texts of results are read only for the requested items', async t => {
  const {loader, entry, abort} = await createLoad();
  const options = {mayHaveProgress: true, textsOf: new Set(['a', 'z'])};
  const state = await loader.load(entry, options, abort.signal);
  t.is(state!.items.get('a')!.result!.output, 'text of a');
  const without = await loader.load(entry, STARTED, abort.signal);
  t.is(without!.items.get('a')!.result, undefined);
});

// Guards against a step that is never run. If the log does not answer while a
// coordinator reads an accepted batch, nothing else makes it read the batch again.
test('a failed read of a batch is retried until it succeeds', async t => {
  const {loader, entry, abort, store} = await createLoad();
  const read = store.read.bind(store);
  let failures = 2;
  store.read = async (...args) => {
    if (failures-- <= 0) return read(...args);
    return {kind: 'failed', error: createError('log_unavailable')};
  };
  const state = await loader.load(entry, FRESH, abort.signal);
  t.is(state!.batch.items.length, 3);
});

test('reading stops when the batch ends meanwhile', async t => {
  const {loader, entry, abort, store, replica} = await createLoad();
  store.read = async () => ({
    kind: 'failed',
    error: createError('log_unavailable'),
  });
  const loading = loader.load(entry, FRESH, abort.signal);
  replica.index.apply({kind: 'ended', batchId: 'b0'});
  t.is(await loading, undefined);
});

test('a progress record that can not be decoded is skipped', async t => {
  const {loader, entry, abort, store, replica, writeProgress} =
    await createLoad();
  store.open(PROGRESS_TOPIC, replica.partition).push(new Uint8Array([0xc1]));
  writeProgress({batchId: 'b0', itemId: 'b', events: createEvents(1, 1)});
  const state = await loader.load(entry, STARTED, abort.signal);
  t.is(state!.items.get('b')!.transcript.joinOutput(), '1');
  t.is(store.list(INDEX_TOPIC).length, 2);
});
