import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createJob, type Job} from '@radishyoke/core/batches/batch_job';
import type {FailureKind} from '@radishyoke/core/batches/batch_record';
import {silentLogger} from '../../../logger.js';
import {MemoryStore} from '../../__tests__/gateway_fixtures.js';
import {encodeRecord} from '../batch_codec.js';
import {BatchLoader} from '../batch_loader.js';
import {INDEX_TOPIC} from '../batch_topics.js';
import {IndexReplicas} from '../index_replica.js';
import {ItemLog} from '../item_log.js';
import {createBatch, createItem, writeBatch} from './batch_fixtures.js';

const BATCH = createBatch('b0', [createItem('a')]);

function createItemJob(): Job {
  const open = {
    batch: BATCH,
    terms: undefined,
    promisedUntilMs: Infinity,
    jobs: new Map<string, Job>(),
    carriedGroups: new Set<string>(),
    chosenGroups: new Set<string>(),
  };
  return createJob(open, BATCH.items[0]);
}

/** Creates a log with one accepted batch and the writer of its coordinator. */
async function createWriter() {
  const store = new MemoryStore();
  const replicas = new IndexReplicas(store, silentLogger);
  const {partition} = replicas.locate(BATCH.id);
  await writeBatch(store, partition, BATCH, []);
  const records = store.open(INDEX_TOPIC, partition);
  return {
    store,
    records,
    itemLog: new ItemLog(store, replicas, 'vm.0'),
    async waitForRecords(count: number): Promise<void> {
      for (let i = 0; i < 200 && records.length < count; i++) await sleep(10);
    },
  };
}

/** Reads the item as a coordinator does that takes over. */
async function readItem(store: MemoryStore) {
  const replicas = new IndexReplicas(store, silentLogger);
  const replica = replicas.locate(BATCH.id);
  await replica.sync();
  const loader = new BatchLoader(store, replicas, silentLogger);
  const entry = replica.index.get(BATCH.id)!;
  const options = {mayHaveProgress: true, textsOf: new Set<string>()};
  const {signal} = new AbortController();
  const state = await loader.load(entry, options, signal);
  return {...state!.items.get('a')!, ...entry.items.get('a')!};
}

const KINDS: readonly FailureKind[] = [
  'attempt_failed',
  'attempt_impossible',
  'reward_failed',
];

for (const kind of KINDS) {
  // Guards against an item that the next coordinator gives up too early, as the answer to an append was lost.
  test(`a failure whose append is repeated counts once after a takeover: ${kind}`, async t => {
    const {store, records, itemLog, waitForRecords} = await createWriter();
    store.appendPlans.push('unknown_but_done', 'unknown_but_done');
    itemLog.writeFailure(kind, createItemJob(), 'vm.0-1');
    await waitForRecords(4);
    const late = records.at(-1)!;
    itemLog.writeFailure(kind, createItemJob(), 'vm.0-2');
    await waitForRecords(5);
    records.push(late);
    const {failedRuns, rejectedRuns, failedRewardCalls} = await readItem(store);
    const ids = [...failedRuns, ...rejectedRuns, ...failedRewardCalls];
    t.deepEqual(ids, ['vm.0-1', 'vm.0-2']);
  });
}

test('failures that a build without ids wrote are read', async t => {
  const {store, records, itemLog, waitForRecords} = await createWriter();
  const record = {batchId: 'b0', itemId: 'a', kind: 'attempt_failed'} as const;
  records.push(encodeRecord(record), encodeRecord(record));
  itemLog.writeFailure('attempt_failed', createItemJob(), 'vm.0-1');
  await waitForRecords(4);
  const {failedRuns} = await readItem(store);
  t.is(failedRuns.length, 2);
});
