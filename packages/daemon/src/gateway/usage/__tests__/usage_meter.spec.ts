import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {UsageLedger} from '@radishyoke/core/usage/usage_ledger';
import {MemoryStore} from '../../__tests__/gateway_fixtures.js';
import {COUNT_TOPIC, decodeUsageEntry} from '../usage_codec.js';
import {UsageMeter} from '../usage_meter.js';

const WINDOW_MS = 5000;
const ALPHA = {kind: 'account', name: 'alpha'} as const;

function createMeter(store: MemoryStore): UsageMeter {
  return new UsageMeter(
    store,
    {vmName: 'vm', incarnationId: 'start-1'},
    WINDOW_MS,
  );
}

function sum(store: MemoryStore, window: number): number {
  const ledger = new UsageLedger();
  for (const bytes of store.list(COUNT_TOPIC)) {
    ledger.apply(decodeUsageEntry(bytes));
  }
  return ledger.sum(window)['alpha'] ?? 0;
}

test('the first request is written at once, and later ones are written together', async t => {
  const store = new MemoryStore();
  const meter = createMeter(store);
  meter.record(ALPHA, 10_000);
  await sleep(5);
  t.is(sum(store, 2), 1);
  for (let i = 0; i < 20; i++) meter.record(ALPHA, 10_001);
  await meter.finish();
  t.is(sum(store, 2), 21);
  t.true(store.list(COUNT_TOPIC).length <= 3);
});

test('a request is not counted twice if the log does not answer', async t => {
  const store = new MemoryStore();
  store.appendPlans.push('unknown_but_done', 'unknown', 'refused');
  const meter = createMeter(store);
  meter.record(ALPHA, 10_000);
  await meter.finish();
  t.is(sum(store, 2), 1);
});

test('counts are written before a VM that is asked to stop exits', async t => {
  const store = new MemoryStore();
  const meter = createMeter(store);
  meter.record(ALPHA, 10_000);
  meter.record(ALPHA, 10_000);
  await sleep(5);
  meter.record(ALPHA, 15_000);
  await meter.finish();
  t.is(sum(store, 2), 2);
  t.is(sum(store, 3), 1);
});

test('callers without an account are not counted', async t => {
  const store = new MemoryStore();
  const meter = createMeter(store);
  meter.record({kind: 'unchecked'}, 10_000);
  meter.record({kind: 'anonymous'}, 10_000);
  await meter.finish();
  t.is(store.appends, 0);
});
