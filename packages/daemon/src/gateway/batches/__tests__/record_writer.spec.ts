import {syncBuiltinESMExports} from 'node:module';
import {setTimeout as sleep} from 'node:timers/promises';
import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {decodeIndexRecord, decodeProgressRecord} from '../batch_codec.js';
import {INDEX_TOPIC, PAYLOAD_TOPIC, PROGRESS_TOPIC} from '../batch_topics.js';
import {IndexWriter, ProgressWriter} from '../record_writer.js';
import {MemoryStore} from '../../__tests__/gateway_fixtures.js';

async function waitFor(isDone: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !isDone(); i++) await sleep(10);
}

// A result that a trainer waits for is lost.
// 1. The log refuses an append, then gets one and its answer is lost.
// 2. The writer goes on with the next records.
test('records are appended again until the log says that they stand', async t => {
  const store = new MemoryStore();
  store.appendPlans.push('refused', 'unknown_but_done');
  const writer = new IndexWriter(store, 0);
  writer.write({kind: 'ended', batchId: 'b0'});
  await waitFor(() => store.appends >= 3);
  await sleep(20);
  const records = store.open(INDEX_TOPIC, 0).map(decodeIndexRecord);
  const ended = {kind: 'ended', batchId: 'b0'};
  t.deepEqual(records, [ended, ended], 'twice is as good as once');
});

test('records of one moment go in one call', async t => {
  const store = new MemoryStore();
  const writer = new IndexWriter(store, 0);
  for (const batchId of ['a', 'b', 'c']) writer.write({kind: 'ended', batchId});
  await waitFor(() => store.open(INDEX_TOPIC, 0).length === 3);
  t.is(store.appends, 1);
});

// A VM runs out of memory while the log is away for long.
test('a writer takes no more than it may hold', async t => {
  const store = new MemoryStore();
  for (let i = 0; i < 1000; i++) store.appendPlans.push('refused');
  const writer = new ProgressWriter(store, 0);
  const data = 'x'.repeat(1024 * 1024);
  const events = [{id: 1, data, version: 1, run: 'r'}];
  const write = () => writer.write({batchId: 'b', itemId: 'i', events});
  let taken = 0;
  while (taken < 100 && write()) taken += 1;
  t.true(taken > 5 && taken < 20);
  writer.stop();
});

// A step is late though all but one of its results could stand in time.
// 1. The answer to an append is lost, which shows only after most of a second.
// 2. Results that come meanwhile wait behind it.
test('results do not wait behind an append whose answer is lost', async t => {
  const store = new MemoryStore();
  const append = store.append.bind(store);
  let isFirst = true;
  store.append = async (...args) => {
    const isLost = isFirst;
    isFirst = false;
    return isLost ? new Promise(() => undefined) : append(...args);
  };
  const writer = new IndexWriter(store, 0);
  writer.write({kind: 'ended', batchId: 'lost'});
  await sleep(60);
  for (const batchId of ['b1', 'b2', 'b3']) {
    writer.write({kind: 'ended', batchId});
    await sleep(60);
  }
  await waitFor(() => store.open(INDEX_TOPIC, 0).length === 3);
  t.is(store.open(INDEX_TOPIC, 0).length, 3);
});

// A successor makes a text anew though all of it was written down.
// Cause: progress that does not follow what is known is dropped.
test('progress stands in the order in which it was made', async t => {
  const store = new MemoryStore();
  store.appendPlans.push('refused', 'refused');
  const writer = new ProgressWriter(store, 0);
  for (const itemId of ['a', 'b', 'c']) {
    writer.write({batchId: 'b', itemId, events: []});
    await sleep(50);
  }
  await waitFor(() => store.open(PROGRESS_TOPIC, 0).length === 3);
  const records = store.open(PROGRESS_TOPIC, 0).map(decodeProgressRecord);
  t.deepEqual(
    records.map(({itemId}) => itemId),
    ['a', 'b', 'c'],
  );
});

// The log refuses every append once it holds as much as it may in all.
// 1. Items run for minutes, and their output is written down twice a second.
// 2. Nobody trims what no successor would go on from.
test.serial(
  'progress that nobody goes on from any more is trimmed',
  async t => {
    const clock = install();
    // Modules that import `node:timers/promises` see the paused clock only then.
    syncBuiltinESMExports();
    t.teardown(() => {
      clock.uninstall();
      syncBuiltinESMExports();
    });
    const store = new MemoryStore();
    const writer = new ProgressWriter(store, 1);
    for (let i = 0; i < 90; i++) {
      writer.write({batchId: 'b', itemId: 'i', events: []});
      await clock.tickAsync(1000);
    }
    t.is(store.trims[0], 'batch_progress/1 before 0');
    const last = Number(store.trims.at(-1)!.split(' ').at(-1));
    t.true(last >= 10 && last <= 30, store.trims.join(', '));
  },
);

/** Lists an item with `text` and waits until the index has it. */
async function listText(store: MemoryStore, text: string): Promise<void> {
  const writer = new IndexWriter(store, 0);
  const listed = {
    itemId: 'i',
    state: 'done',
    versions: [1],
    writer: 'vm',
  } as const;
  writer.writeResult('b0', listed, Buffer.from(text));
  await waitFor(() => store.open(INDEX_TOPIC, 0).length > 0);
}

// A reader finds a result in the index and no text behind it.
// 1. The log refuses the text of a result.
// 2. The result goes into the index all the same.
test('a result is listed only once its text stands', async t => {
  const store = new MemoryStore();
  store.appendPlans.push('refused', 'unknown');
  await listText(store, 'text');
  const [record] = store.open(INDEX_TOPIC, 0).map(decodeIndexRecord);
  const texts = store.open(PAYLOAD_TOPIC, 0);
  if (record.kind !== 'result') return t.fail();
  const [{offset, bytes}] = record.listed.text;
  t.is(Buffer.from(texts[offset]).toString(), 'text');
  t.is(bytes, 4);
});

test('a text that stands is not stored again when the index did not answer', async t => {
  const store = new MemoryStore();
  store.appendPlans.push('appended', 'refused', 'refused');
  await listText(store, 'text');
  t.is(store.open(PAYLOAD_TOPIC, 0).length, 1);
});

// A long text blocks all results behind it for ever.
// Cause: the log takes records up to a bound, and a text was one record.
test('a text may be larger than a record', async t => {
  const store = new MemoryStore();
  const text = 'x'.repeat(2.5 * store.maxRecordBytes);
  await listText(store, text);
  const texts = store.open(PAYLOAD_TOPIC, 0);
  t.is(texts.length, 3);
  t.true(texts.every(({length}) => length <= store.maxRecordBytes));
});
