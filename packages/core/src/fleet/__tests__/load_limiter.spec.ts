import test from 'ava';
import {LoadLimiter} from '../load_limiter.js';

const LOAD_MS = 900;
const STEP_MS = 50;
/** Time between two versions of a model, ms. */
const VERSION_MS = 4000;

interface LoadPolicy {
  computeLimit(engineCount: number): number;
  recordLoad: LoadLimiter['recordLoad'];
}

/** Lets a fixed share of the engines load, however long loads take. */
const SHARE_POLICY: LoadPolicy = {
  computeLimit: engineCount => Math.max(2, Math.floor(engineCount * 0.29)),
  recordLoad: () => undefined,
};

interface FleetLoad {
  readonly startedMs: number;
  leftMs: number;
}

interface Span {
  readonly startedMs: number;
  readonly tookMs: number;
}

/**
 * Simulates engines that always have something to load. Up to `atOnce` loads
 * run at full speed; more of them share that capacity.
 */
function simulateLoads(
  policy: LoadPolicy,
  fleet: {readonly engines: number; readonly atOnce: number},
  lengthMs: number,
): readonly Span[] {
  const ended: Span[] = [];
  let loads: FleetLoad[] = [];
  for (let nowMs = 0; nowMs < lengthMs; nowMs += STEP_MS) {
    const limit = policy.computeLimit(fleet.engines);
    while (loads.length < limit) {
      loads.push({startedMs: nowMs, leftMs: LOAD_MS});
    }
    const rate = Math.min(1, fleet.atOnce / loads.length);
    for (const load of loads) load.leftMs -= STEP_MS * rate;
    const endedMs = nowMs + STEP_MS;
    for (const {startedMs, leftMs} of loads) {
      if (leftMs > 0) continue;
      ended.push({startedMs, tookMs: endedMs - startedMs});
      policy.recordLoad({startedMs, endedMs}, limit, loads.length >= limit);
    }
    loads = loads.filter(({leftMs}) => leftMs > 0);
  }
  return ended;
}

/**
 * Returns how many engines have the version within the time between two
 * versions.
 */
function countInTime(loads: readonly Span[]): number {
  return loads.filter(({startedMs, tookMs}) => startedMs + tookMs <= VERSION_MS)
    .length;
}

function findLongest(loads: readonly Span[], fromMs: number): number {
  const late = loads.filter(({startedMs}) => startedMs >= fromMs);
  return Math.max(...late.map(({tookMs}) => tookMs));
}

// Guards against a large fleet that loads so many engines at once that a
// version comes too late for its step.
test('a version reaches enough engines of a large fleet in time', t => {
  const fleet = {engines: 1000, atOnce: 10};
  t.is(countInTime(simulateLoads(SHARE_POLICY, fleet, VERSION_MS)), 0);
  t.true(
    countInTime(simulateLoads(new LoadLimiter(), fleet, VERSION_MS)) >= 35,
  );
});

test('the limit falls within a few versions when loads slow each other', t => {
  const fleet = {engines: 1000, atOnce: 12};
  const loads = simulateLoads(new LoadLimiter(), fleet, 60_000);
  t.true(findLongest(loads, 20_000) < 2 * LOAD_MS);
});

// Guards against a limit that stays at its initial value where more loads would
// be possible.
test('the limit grows in a fleet that can load many engines at once', t => {
  const fleet = {engines: 3000, atOnce: 200};
  const limiter = new LoadLimiter();
  const loads = simulateLoads(limiter, fleet, 8000);
  t.true(limiter.computeLimit(fleet.engines) >= 150);
  t.true(findLongest(loads, 0) < 2 * LOAD_MS);
});

// Guards against a single load that seems short because its order was accepted
// before it was observed: all other loads would count as slow.
test('one load that seems short does not keep the limit from growing', t => {
  const fleet = {engines: 3000, atOnce: 200};
  const limiter = new LoadLimiter();
  const before = limiter.computeLimit(fleet.engines);
  limiter.recordLoad({startedMs: 0, endedMs: LOAD_MS / 4}, before, true);
  simulateLoads(limiter, fleet, 8000);
  t.true(limiter.computeLimit(fleet.engines) >= 150);
});

// Guards against a limit that falls to a fraction of the capacity because loads
// that started together with too many others still end late.
test('after too many loads at once the limit settles near the capacity', t => {
  const fleet = {engines: 3000, atOnce: 60};
  for (let lengthMs = 10_000; lengthMs <= 30_000; lengthMs += 500) {
    const limiter = new LoadLimiter();
    simulateLoads(limiter, fleet, lengthMs);
    const limit = limiter.computeLimit(fleet.engines);
    t.true(limit >= 40, `${limit} at ${lengthMs} ms`);
    t.true(limit <= 110, `${limit} at ${lengthMs} ms`);
  }
});

test('a small fleet loads a share of its engines at once', t => {
  for (const [engines, atOnce] of [
    [6, 2],
    [31, 8],
    [34, 9],
  ]) {
    const limiter = new LoadLimiter();
    simulateLoads(limiter, {engines, atOnce}, 60_000);
    t.is(limiter.computeLimit(engines), atOnce);
  }
});

// Guards against one slow engine that makes all others wait for their weights.
test('one slow load in five does not change the limit', t => {
  const limiter = new LoadLimiter();
  const before = limiter.computeLimit(34);
  for (let i = 0; i < 200; i++) {
    const tookMs = i % 5 === 0 ? 4 * LOAD_MS : LOAD_MS;
    limiter.recordLoad({startedMs: i, endedMs: i + tookMs}, before, false);
  }
  t.is(limiter.computeLimit(34), before);
});

test('the expected duration follows the duration of loads', t => {
  const limiter = new LoadLimiter();
  for (let i = 0; i < 40; i++) {
    limiter.recordLoad({startedMs: i, endedMs: i + 400}, 2, true);
  }
  t.true(Math.abs(limiter.expectedMs - 400) < 10);
});
