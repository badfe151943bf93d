import test from 'ava';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {FailoverWatch} from '../failover_watch.js';

/** A watch whose log was last reached at 0, before one engine with `own` runs of it and `reported` in all. */
function createWatch(own: number, reported: number) {
  const state = {nowMs: 0, reported};
  const found: number[] = [];
  let asked = 0;
  const watch = new FailoverWatch({
    fetchReport: () => {
      asked += 1;
      const report = {models: [], isBusy: false, orders: 0, bornMs: 0};
      return Promise.resolve({...report, runs: state.reported});
    },
    countOwnRuns: () => own,
    now: () => state.nowMs,
    getContactMs: () => 0,
    listEngines: () => [createEntry(1)],
    onSuperseded: runs => found.push(runs),
  });
  return {
    state,
    found,
    countAsked: () => asked,
    checkAt: (nowMs: number) => {
      state.nowMs = nowMs;
      return watch.check();
    },
  };
}

// Engines are full of work that counts for nothing.
// 1. The coordinator is cut off from the log; another VM takes over.
// 2. Both run the same items, each on half of the places.
// Cause: a coordinator that goes on as if the log were away for all.
test('items that run elsewhere too are noticed', async t => {
  const {found, countAsked, checkAt} = createWatch(10, 20);
  await checkAt(1200);
  t.is(countAsked(), 0, 'the log has only just fallen silent');
  await checkAt(1500);
  t.deepEqual(found, [], 'a moved run may be reported twice for a moment');
  await checkAt(2000);
  t.deepEqual(found, [10]);
});

test('a few runs of others are no successor', async t => {
  for (const [own, reported] of [
    [2, 7],
    [30, 40],
  ]) {
    const {found, checkAt} = createWatch(own, reported);
    for (let nowMs = 1500; nowMs < 6000; nowMs += 500) await checkAt(nowMs);
    t.deepEqual(found, []);
  }
});

test('runs of others that are gone again count anew', async t => {
  const {state, found, checkAt} = createWatch(10, 20);
  await checkAt(1500);
  state.reported = 10;
  await checkAt(2000);
  state.reported = 20;
  await checkAt(2500);
  t.deepEqual(found, []);
});

test('while the log is away for all VMs the runs go on', async t => {
  const {found, countAsked, checkAt} = createWatch(10, 10);
  for (let nowMs = 1500; nowMs < 6000; nowMs += 500) await checkAt(nowMs);
  t.deepEqual(found, []);
  t.is(countAsked(), 9);
});

test('engines are asked one round at a time', async t => {
  const {countAsked, checkAt} = createWatch(1, 1);
  await Promise.all([checkAt(1500), checkAt(1501)]);
  t.is(countAsked(), 1);
});
