import test from 'ava';
import {
  CrashRegistry,
  EARLY_WEIGHT,
  LATE_WEIGHT,
  MAX_REQUESTS,
} from '../crash_registry.js';

const HOUR_MS = 3_600_000;
/** Repeats count from this long after the third crash on, ms. */
const UNCOUNTED_MS = 3000;

function createCrash(endpointId: string, atMs: number, weight = EARLY_WEIGHT) {
  return {endpointId, atMs, weight};
}

/** A book in which `f` crashed as many endpoints, one each 100 ms from 0 on. */
function createRegistry(crashes: number): CrashRegistry {
  const registry = new CrashRegistry(0);
  for (let i = 0; i < crashes; i++) {
    registry.recordCrash('f', createCrash(`e${i}`, i * 100));
  }
  return registry;
}

test('a request is held back from its third crash on', t => {
  t.is(createRegistry(0).getStatus('f', 300).kind, 'clear');
  t.is(createRegistry(2).getStatus('f', 300).kind, 'suspect');
  t.is(createRegistry(3).getStatus('f', 300).kind, 'held');
});

// Guards against a bystander being blamed for what other requests crash.
test('a request that ended well between two crashes begins from nothing', t => {
  const registry = createRegistry(2);
  t.true(registry.clear('f'));
  registry.recordCrash('f', createCrash('e9', 300));
  t.is(registry.getStatus('f', 300).kind, 'suspect');
  t.is(registry.getCrashes('f').length, 1);
});

// Guards against a bystander being held back with the request that crashes endpoints.
test('a crash beside a request that crashed more is not held against others', t => {
  const registry = createRegistry(3);
  for (let i = 0; i < 3; i++)
    registry.recordCrash('g', createCrash(`e${i}`, i * 100));
  t.is(registry.getStatus('g', 300).kind, 'held', 'either may be the cause');
  registry.recordCrash('f', createCrash('e3', 300));
  t.is(registry.getStatus('g', 300).kind, 'suspect');
  t.is(registry.getStatus('f', 300).kind, 'held');
});

// Guards against one crash that several VMs tell of counting as several.
test('one crash counts once, whoever tells of it', t => {
  const registry = new CrashRegistry(0);
  for (let i = 0; i < 5; i++)
    registry.merge('f', [createCrash('e1', i * 50)], 250);
  t.is(registry.getStatus('f', 300).kind, 'suspect');
  registry.recordCrash('f', createCrash('e1', 5000));
  registry.recordCrash('f', createCrash('e1', 9000));
  t.is(registry.getStatus('f', 9000).kind, 'held');
});

test('a crash long after the start of a run weighs half', t => {
  const registry = new CrashRegistry(0);
  for (let i = 0; i < 5; i++) {
    registry.recordCrash('f', createCrash(`e${i}`, i * 100, LATE_WEIGHT));
  }
  t.is(registry.getStatus('f', 500).kind, 'suspect');
  registry.recordCrash('f', createCrash('e5', 500, LATE_WEIGHT));
  t.is(registry.getStatus('f', 500).kind, 'held');
});

// Guards against more than three repeats after the third crash in a day.
test('a request that always crashes its endpoint is tried three times a day', t => {
  const registry = createRegistry(3);
  let tries = 0;
  let late = 0;
  for (let nowMs = 1000; nowMs < 24 * HOUR_MS; nowMs += 500) {
    if (registry.getStatus('f', nowMs).kind === 'held') continue;
    tries += 1;
    if (nowMs > 200 + UNCOUNTED_MS) late += 1;
    registry.recordStart('f', nowMs);
    registry.recordCrash('f', createCrash(`late-${tries}`, nowMs));
  }
  t.is(tries, 4);
  t.is(late, 3);
});

// Guards against a mended endpoint never getting the request again.
test('a held request is tried again, and is clear once it ended well', t => {
  const registry = createRegistry(3);
  t.is(registry.getStatus('f', 1200).kind, 'suspect');
  t.true(registry.runsAsProbe('f'));
  registry.recordStart('f', 1200);
  t.is(registry.getStatus('f', 1300).kind, 'held', 'one try at a time');
  registry.clear('f');
  t.is(registry.getStatus('f', 1400).kind, 'clear');
});

test('VMs try a held request again at different times', t => {
  const late = new CrashRegistry(0.9);
  const crashes = createRegistry(3).getCrashes('f');
  late.merge('f', crashes, 300);
  t.is(createRegistry(3).getStatus('f', 1300).kind, 'suspect');
  t.is(late.getStatus('f', 1300).kind, 'held');
});

test('a clock that is ahead elsewhere holds nothing back for longer', t => {
  const registry = new CrashRegistry(0);
  const crashes = [0, 1, 2].map(i => createCrash(`e${i}`, HOUR_MS));
  registry.merge('f', crashes, 1000);
  t.is(registry.getStatus('f', 1100).kind, 'held');
  t.is(registry.getStatus('f', 2100).kind, 'suspect');
});

// Guards against a caller that fills the memory with ever new requests.
test('the number of requests that are kept is bounded, the newest stay', t => {
  const registry = new CrashRegistry(0);
  for (let i = 0; i < MAX_REQUESTS + 5; i++) {
    registry.recordCrash(`f${i}`, createCrash('e', i));
  }
  t.deepEqual(registry.prune(MAX_REQUESTS), ['f0', 'f1', 'f2', 'f3', 'f4']);
  t.is(registry.size, MAX_REQUESTS);
});

test('what is old is forgotten, what is held back later than the rest', t => {
  const registry = createRegistry(3);
  registry.recordCrash('other', createCrash('e1', 0));
  t.deepEqual(registry.prune(HOUR_MS), ['other']);
  t.deepEqual(registry.prune(49 * HOUR_MS), ['f']);
  t.is(registry.size, 0);
});
