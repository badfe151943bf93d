import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {decodeBatchRecord} from '../batch_codec.js';
import {RecordWriter} from '../record_writer.js';
import {MemoryStore} from '../../__tests__/gateway_fixtures.js';

async function waitFor(isDone: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !isDone(); i++) await sleep(10);
}

// A result that a trainer waits for is lost.
// 1. The log refuses an append, then gets one and its answer is lost.
// 2. The writer goes on with the next records.
test('records are appended again until the log says that they stand', async t => {
  const store = new MemoryStore();
  store.plan.push('refused', 'unknown_but_done');
  const writer = new RecordWriter(store, 0);
  writer.write({kind: 'ended', batchId: 'b0'});
  await waitFor(() => store.appends >= 3);
  await sleep(20);
  const ids = store.records.map(bytes => decodeBatchRecord(bytes).batchId);
  t.deepEqual(ids, ['b0', 'b0'], 'twice is as good as once');
});

test('records of one moment go in one call', async t => {
  const store = new MemoryStore();
  const writer = new RecordWriter(store, 0);
  for (const batchId of ['a', 'b', 'c']) writer.write({kind: 'ended', batchId});
  await waitFor(() => store.records.length === 3);
  t.is(store.appends, 1);
});

// A VM runs out of memory while the log is away for long.
test('a writer takes no more than it may hold', async t => {
  const store = new MemoryStore();
  for (let i = 0; i < 1000; i++) store.plan.push('refused');
  const writer = new RecordWriter(store, 0);
  const bytes = new Uint8Array(1024 * 1024);
  const write = () =>
    writer.write({
      kind: 'slice',
      batchId: 'b',
      submission: 's',
      index: 0,
      bytes,
    });
  let taken = 0;
  while (taken < 100 && write()) taken += 1;
  t.true(taken > 5 && taken < 20);
  writer.stop();
});
