import test from 'ava';
import {toBatchFingerprint} from '../batch_work.js';
import {
  CrashRegistry,
  EARLY_WEIGHT,
  LATE_WEIGHT,
  MAX_REQUESTS,
} from '../crash_registry.js';

const HOUR_MS = 3_600_000;
/** Probes are counted from this long after the third crash, ms. */
const UNCOUNTED_MS = 3000;

function createCrash(endpointId: string, atMs: number, weight = EARLY_WEIGHT) {
  return {endpointId, atMs, weight};
}

/**
 * A registry in which `f` crashed the given number of endpoints, 100 ms apart
 * from 0 on.
 */
function createRegistry(crashes: number): CrashRegistry {
  const registry = new CrashRegistry(0);
  for (let i = 0; i < crashes; i++) {
    registry.recordCrash('f', createCrash(`e${i}`, i * 100));
  }
  return registry;
}

test('a request is quarantined from its third crash on', t => {
  t.is(createRegistry(0).getStatus('f', 300).kind, 'clear');
  t.is(createRegistry(2).getStatus('f', 300).kind, 'suspect');
  t.is(createRegistry(3).getStatus('f', 300).kind, 'held');
});

// Guards against an innocent request being blamed for crashes caused by others.
test('a request that completed between two crashes starts over at zero', t => {
  const registry = createRegistry(2);
  t.true(registry.clear('f'));
  registry.recordCrash('f', createCrash('e9', 300));
  t.is(registry.getStatus('f', 300).kind, 'suspect');
  t.is(registry.getCrashes('f').length, 1);
});

// Guards against an innocent request being quarantined together with the one
// that crashes endpoints.
test('a crash is attributed to the request in flight that crashed most', t => {
  const registry = createRegistry(3);
  for (let i = 0; i < 3; i++)
    registry.recordCrash('g', createCrash(`e${i}`, i * 100));
  t.is(registry.getStatus('g', 300).kind, 'held', 'either may be the cause');
  registry.recordCrash('f', createCrash('e3', 300));
  t.is(registry.getStatus('g', 300).kind, 'suspect');
  t.is(registry.getStatus('f', 300).kind, 'held');
});

// Guards against an innocent request being quarantined, as one report that is read again counts again on a VM whose clock is behind.
test('a report that is read again changes nothing, whatever the clock says', t => {
  const registry = new CrashRegistry(0);
  const crash = createCrash('e0', 10_000);
  for (const nowMs of [8000, 9500, 12_000]) registry.merge('f', [crash], nowMs);
  t.deepEqual(registry.getCrashes('f'), [crash]);
  t.is(registry.getStatus('f', 12_000).kind, 'suspect');
});

// Guards against one crash counting several times because several VMs report
// it.
test('one crash counts once, however many VMs report it', t => {
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

// Guards against more than three probes a day after the third crash.
test('a request that always crashes its endpoint is probed three times a day', t => {
  const registry = createRegistry(3);
  let probes = 0;
  let counted = 0;
  for (let nowMs = 1000; nowMs < 24 * HOUR_MS; nowMs += 500) {
    if (registry.getStatus('f', nowMs).kind === 'held') continue;
    probes += 1;
    if (nowMs > 200 + UNCOUNTED_MS) counted += 1;
    registry.recordStart('f', nowMs);
    registry.recordCrash('f', createCrash(`late-${probes}`, nowMs));
  }
  t.is(probes, 4);
  t.is(counted, 3);
});

// Guards against a repaired endpoint never getting the request again.
test('a quarantined request is probed, and is cleared once it completes', t => {
  const registry = createRegistry(3);
  t.is(registry.getStatus('f', 1200).kind, 'suspect');
  t.true(registry.runsAsProbe('f'));
  registry.recordStart('f', 1200);
  t.is(registry.getStatus('f', 1300).kind, 'held', 'one probe at a time');
  registry.clear('f');
  t.is(registry.getStatus('f', 1400).kind, 'clear');
});

test('VMs probe a quarantined request at different times', t => {
  const late = new CrashRegistry(0.9);
  const crashes = createRegistry(3).getCrashes('f');
  late.merge('f', crashes, 300);
  t.is(createRegistry(3).getStatus('f', 1300).kind, 'suspect');
  t.is(late.getStatus('f', 1300).kind, 'held');
});

test('a clock that is ahead on another VM does not extend a quarantine', t => {
  const registry = new CrashRegistry(0);
  const crashes = [0, 1, 2].map(i => createCrash(`e${i}`, HOUR_MS));
  registry.merge('f', crashes, 1000);
  t.is(registry.getStatus('f', 1100).kind, 'held');
  t.is(registry.getStatus('f', 2100).kind, 'suspect');
});

// Guards against a caller that exhausts the memory with ever new requests.
test('the number of tracked requests is bounded, and the newest stay', t => {
  const registry = new CrashRegistry(0);
  for (let i = 0; i < MAX_REQUESTS + 5; i++) {
    registry.recordCrash(`f${i}`, createCrash('e', i));
  }
  t.deepEqual(registry.prune(MAX_REQUESTS), ['f0', 'f1', 'f2', 'f3', 'f4']);
  t.is(registry.size, MAX_REQUESTS);
});

test('old requests are dropped, quarantined ones later than the others', t => {
  const registry = createRegistry(3);
  registry.recordCrash('other', createCrash('e1', 0));
  t.deepEqual(registry.prune(HOUR_MS), ['other']);
  t.deepEqual(registry.prune(49 * HOUR_MS), ['f']);
  t.is(registry.size, 0);
});

const BATCH_WORK = toBatchFingerprint('f');
/** Longest pause of batch work, ms. */
const MAX_BATCH_PAUSE_MS = 3000;

// Guards against an item that is never sent again because endpoints crashed while they ran it.
test('batch work is held for seconds, however many endpoints crashed', t => {
  const registry = new CrashRegistry(0.9);
  for (let i = 0; i < 30; i++) {
    const atMs = i * 10_000;
    registry.recordCrash(BATCH_WORK, createCrash(`e${i}`, atMs));
    const {kind} = registry.getStatus(BATCH_WORK, atMs + 500);
    t.is(kind, i < 2 ? 'suspect' : 'held');
    const afterPauseMs = atMs + MAX_BATCH_PAUSE_MS;
    t.is(registry.getStatus(BATCH_WORK, afterPauseMs).kind, 'suspect');
  }
});

// Guards against a call that goes on crashing endpoints because an item was beside it each time.
test('batch work does not take the blame for a call', t => {
  const registry = createRegistry(3);
  for (let i = 0; i < 5; i++) {
    registry.recordCrash(BATCH_WORK, createCrash(`e${i}`, i * 100));
  }
  t.is(registry.getStatus('f', 300).kind, 'held');
});

// Guards against a sound call that is held because an item of the same content was unlucky.
test('a call shares no crashes with batch work of the same content', t => {
  const registry = new CrashRegistry(0);
  for (let i = 0; i < 5; i++) {
    registry.recordCrash(BATCH_WORK, createCrash(`e${i}`, i * 100));
  }
  t.is(registry.getStatus('f', 500).kind, 'clear');
});

test('batch work is not paused for crashes that a call explains', t => {
  const registry = createRegistry(4);
  for (let i = 0; i < 3; i++) {
    registry.recordCrash(BATCH_WORK, createCrash(`e${i}`, i * 100));
  }
  t.is(registry.getStatus(BATCH_WORK, 300).kind, 'suspect');
});

test('crashes of batch work are dropped after half an hour', t => {
  const registry = new CrashRegistry(0);
  for (let i = 0; i < 5; i++) {
    registry.recordCrash(BATCH_WORK, createCrash(`e${i}`, i * 100));
  }
  t.deepEqual(registry.prune(HOUR_MS), [BATCH_WORK]);
});
