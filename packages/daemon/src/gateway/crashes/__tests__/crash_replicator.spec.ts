import {
  CrashRegistry,
  type CrashRecord,
  MAX_REQUESTS,
} from '@radishyoke/core/crashes/crash_registry';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {silentLogger} from '../../../logger.js';
import {createKeyed, MemoryStore} from '../../__tests__/gateway_fixtures.js';
import {decodeCrashRecords, encodeCrashRecords} from '../crash_codec.js';
import {CrashReplicator} from '../crash_replicator.js';

const CRASH: CrashRecord = {endpointId: 'e1', atMs: Date.now(), weight: 2};

function createReplicator(t: ExecutionContext, store = new MemoryStore()) {
  const registry = new CrashRegistry(0);
  const updated: string[] = [];
  const onUpdate = (fingerprint: string) => updated.push(fingerprint);
  const replicator = new CrashReplicator(
    store,
    'crashes',
    registry,
    onUpdate,
    silentLogger,
  );
  t.teardown(() => replicator.stop());
  return {registry, replicator, store, updated};
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  for (let i = 0; i < 400 && !isDone(); i++) await sleep(10);
}

test('crashes are written to the log and withdrawn when the request is cleared', async t => {
  const {registry, replicator, store} = createReplicator(t);
  registry.merge('f', [CRASH], Date.now());
  replicator.publish('f');
  await waitUntil(() => store.keyedWrites.length === 1);
  const [{key, value}] = store.keyedWrites;
  t.is(key, 'f');
  t.deepEqual(decodeCrashRecords(value!), {ok: true, value: [CRASH]});
  registry.clear('f');
  replicator.publish('f');
  await waitUntil(() => store.keyedWrites.length === 2);
  t.deepEqual(store.keyedWrites[1], {key: 'f'});
});

// Guards against updates that are lost while the log is unavailable.
test('a failed append is retried', async t => {
  const {registry, replicator, store} = createReplicator(t);
  store.appendPlans.push('refused', 'unknown');
  registry.merge('f', [CRASH], Date.now());
  replicator.publish('f');
  await waitUntil(() => store.keyedWrites.length === 1);
  t.is(store.keyedWrites[0].key, 'f');
});

// Guards against losing all crash records when all VMs restart.
test('a VM that starts reads the crash records in the log', async t => {
  const store = new MemoryStore();
  const value = Buffer.from(encodeCrashRecords([CRASH]));
  store.newestReads.push({
    kind: 'page',
    records: [
      {key: 'f', value, offset: 0},
      createKeyed('bad', 1, 'not crash records'),
    ],
    endOffset: 2,
  });
  store.keyedReads.push({
    kind: 'page',
    records: [{key: 'g', value, offset: 2}, createKeyed('f', 3)],
    endOffset: 4,
  });
  const {registry, replicator, updated} = createReplicator(t, store);
  void replicator.run();
  await waitUntil(() => registry.has('g'));
  t.false(registry.has('f'), 'withdrawn by another VM');
  t.deepEqual(registry.getCrashes('g'), [CRASH]);
  t.false(registry.has('bad'));
  t.deepEqual(updated, ['f', 'g']);
});

// Guards against crashes that a VM which starts later does not know, as a copy of an older record was stored behind the newest.
test('a copy of an older record is replaced by what this VM had published', async t => {
  const store = new MemoryStore();
  const {registry, replicator} = createReplicator(t, store);
  const crashes = [CRASH, {...CRASH, endpointId: 'e2'}];
  registry.merge('f', crashes, Date.now());
  replicator.publish('f');
  await waitUntil(() => store.keyedWrites.length === 1);
  const createCopy = (known: readonly CrashRecord[], offset: number) => ({
    key: 'f',
    value: Buffer.from(encodeCrashRecords(known)),
    offset,
  });
  const records = [createCopy(crashes, 0), createCopy([CRASH], 1)];
  store.keyedReads.push({kind: 'page', records, endOffset: 2});
  void replicator.run();
  await waitUntil(() => store.keyedWrites.length === 2);
  await sleep(100);
  const newest = store.keyedWrites.map(({value}) => decodeCrashRecords(value!));
  t.deepEqual(newest, Array(2).fill({ok: true, value: crashes}));
});

// Guards against a caller that fills the log with ever new requests.
test('publishing a request beyond the limit withdraws the oldest', async t => {
  const {registry, replicator, store} = createReplicator(t);
  for (let i = 0; i < MAX_REQUESTS; i++) {
    registry.merge(`f${i}`, [{...CRASH, atMs: Date.now()}], Date.now());
  }
  registry.merge('new', [{...CRASH, atMs: Date.now()}], Date.now());
  replicator.publish('new');
  await waitUntil(() => store.keyedWrites.length === 2);
  t.deepEqual(store.keyedWrites[0], {key: 'f0'});
  t.is(store.keyedWrites[1].key, 'new');
});
