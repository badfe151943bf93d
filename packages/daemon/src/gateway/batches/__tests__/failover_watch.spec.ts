import test from 'ava';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {FailoverWatch} from '../failover_watch.js';

/** Creates a watch that last reached the log at 0 ms, and one engine that reports `reported` runs, of which `own` are its own. */
function createWatch(own: number, reported: number) {
  const state = {nowMs: 0, reported};
  const found: number[] = [];
  let queries = 0;
  const watch = new FailoverWatch({
    fetchReport: () => {
      queries += 1;
      const report = {models: [], isBusy: false, orders: 0, startedAtMs: 0};
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
    countQueries: () => queries,
    checkAt: (nowMs: number) => {
      state.nowMs = nowMs;
      return watch.check();
    },
  };
}

// Guards against engines that are full of useless runs. A coordinator is cut off
// from the log and another VM takes over. If the first one continues as in an
// outage of the log, both run the same items, each on half of the slots.
test('items that another VM runs as well are detected', async t => {
  const {found, countQueries, checkAt} = createWatch(10, 20);
  await checkAt(1200);
  t.is(countQueries(), 0, 'the log has been silent for too short a time');
  await checkAt(1500);
  t.deepEqual(found, [], 'a run that moves may briefly be reported twice');
  await checkAt(2000);
  t.deepEqual(found, [10]);
});

test('a few foreign runs do not indicate a failover', async t => {
  for (const [own, reported] of [
    [2, 7],
    [30, 40],
  ]) {
    const {found, checkAt} = createWatch(own, reported);
    for (let nowMs = 1500; nowMs < 6000; nowMs += 500) await checkAt(nowMs);
    t.deepEqual(found, []);
  }
});

test('foreign runs must be found in consecutive rounds', async t => {
  const {state, found, checkAt} = createWatch(10, 20);
  await checkAt(1500);
  state.reported = 10;
  await checkAt(2000);
  state.reported = 20;
  await checkAt(2500);
  t.deepEqual(found, []);
});

test('runs continue during an outage of the log for all VMs', async t => {
  const {found, countQueries, checkAt} = createWatch(10, 10);
  for (let nowMs = 1500; nowMs < 6000; nowMs += 500) await checkAt(nowMs);
  t.deepEqual(found, []);
  t.is(countQueries(), 9);
});

test('engines are queried one round at a time', async t => {
  const {countQueries, checkAt} = createWatch(1, 1);
  await Promise.all([checkAt(1500), checkAt(1501)]);
  t.is(countQueries(), 1);
});
