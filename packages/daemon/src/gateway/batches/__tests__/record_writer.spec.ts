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

// Guards against the loss of a result that a trainer waits for: the log refuses
// an append or its answer is lost, and the writer continues with the next records.
test('an append is retried until the log confirms it', async t => {
  const store = new MemoryStore();
  store.appendPlans.push('refused', 'unknown_but_done');
  const writer = new IndexWriter(store, 0);
  writer.write({kind: 'ended', batchId: 'b0'});
  await waitFor(() => store.appends >= 3);
  await sleep(20);
  const records = store.open(INDEX_TOPIC, 0).map(decodeIndexRecord);
  const ended = {kind: 'ended', batchId: 'b0'};
  t.deepEqual(records, [ended, ended], 'a duplicate has no effect');
});

test('records written at the same time share one append', async t => {
  const store = new MemoryStore();
  const writer = new IndexWriter(store, 0);
  for (const batchId of ['a', 'b', 'c']) writer.write({kind: 'ended', batchId});
  await waitFor(() => store.open(INDEX_TOPIC, 0).length === 3);
  t.is(store.appends, 1);
});

// Guards against a VM that runs out of memory during a long outage of the log.
test('a writer refuses records once its queue is full', async t => {
  const store = new MemoryStore();
  for (let i = 0; i < 1000; i++) store.appendPlans.push('refused');
  const writer = new ProgressWriter(store, 0);
  const data = 'x'.repeat(1024 * 1024);
  const events = [{id: 1, data, version: 1, run: 'r'}];
  const write = () => writer.write({batchId: 'b', itemId: 'i', events});
  let accepted = 0;
  while (accepted < 100 && write()) accepted += 1;
  t.true(accepted > 5 && accepted < 20);
  writer.stop();
});

// Guards against a step that is late although all but one of its results could be
// written in time. A lost answer to an append is noticed only after most of a
// second, and later results must not wait for it.
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

// Guards against a text that is generated again after a failover although all of
// it was written: progress that does not follow the previous record is dropped.
test('progress is stored in the order in which it was made', async t => {
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

// Guards against a log that reaches its size limit and refuses all appends. Items
// run for minutes and their output is written twice per second, so progress that is
// too old for a failover must be trimmed.
test.serial('progress that is older than its retention is trimmed', async t => {
  const clock = install();
  // Without this, modules that import `node:timers/promises` keep the real clock.
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
});

/** Writes a result with `text` and waits until the index has it. */
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

// Guards against a result in the index whose text can not be read because the log
// refused to store it.
test('a result is added to the index only after its text is stored', async t => {
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

test('a stored text is not stored again when the append to the index is retried', async t => {
  const store = new MemoryStore();
  store.appendPlans.push('appended', 'refused', 'refused');
  await listText(store, 'text');
  t.is(store.open(PAYLOAD_TOPIC, 0).length, 1);
});

// Guards against a long text that blocks all results behind it for ever, because
// it is written as one record that exceeds the log's limit.
test('a text may be larger than a record', async t => {
  const store = new MemoryStore();
  const text = 'x'.repeat(2.5 * store.maxRecordBytes);
  await listText(store, text);
  const texts = store.open(PAYLOAD_TOPIC, 0);
  t.is(texts.length, 3);
  t.true(texts.every(({length}) => length <= store.maxRecordBytes));
});
