import test from 'ava';
import fc from 'fast-check';
import {MemoryStore} from '../../__tests__/gateway_fixtures.js';
import {COUNT_TOPIC, REPORT_TOPIC} from '../usage_codec.js';
import {
  createTask,
  DUE_MS,
  FakeControlApi,
  WINDOW_MS,
  writeCount,
} from './usage_fixtures.js';

/** Returns a time at which a window may be decided: well after its end and before its report is due. */
function settledMs(window: number): number {
  return (window + 1) * WINDOW_MS + DUE_MS * 0.35;
}

/** Starts a service in window 10 whose lease holder has begun reporting. */
async function startService() {
  const store = new MemoryStore();
  const api = new FakeControlApi();
  const time = {nowMs: 10 * WINDOW_MS + 1};
  const task = createTask(store, api, time);
  await task.tick();
  return {store, api, time, task};
}

test('a window is reported once, with the counts of all VMs, before it is due', async t => {
  const {store, api, time, task} = await startService();
  await writeCount(store, 'a', 0, 10, 2);
  await writeCount(store, 'bb', 0, 10, 3);
  time.nowMs = 11 * WINDOW_MS + 100;
  await task.tick();
  t.is(api.calls.length, 0);
  time.nowMs = settledMs(10);
  t.true(time.nowMs < 11 * WINDOW_MS + DUE_MS);
  await task.tick();
  await task.tick();
  t.deepEqual(api.calls, [
    {
      report: {window: 10, counts: {alpha: 5}},
      credentials: {vmName: 'vm-a', fencingToken: 1},
    },
  ]);
});

test('windows that ended before there was a lease holder are reported', async t => {
  const store = new MemoryStore();
  const api = new FakeControlApi();
  await writeCount(store, 'a', 0, 8, 2);
  const time = {nowMs: 10 * WINDOW_MS + 1};
  const task = createTask(store, api, time);
  await task.tick();
  time.nowMs = settledMs(9);
  await task.tick();
  t.deepEqual(api.windows, [8, 9]);
});

test('a window is decided within a few seconds, in case the log becomes unavailable', async t => {
  const {store, api, time, task} = await startService();
  await writeCount(store, 'a', 0, 10, 2);
  time.nowMs = 11 * WINDOW_MS + 4000;
  await task.tick();
  t.deepEqual(api.windows, [10]);
});

test('records that can not be read do not stop a lease holder', async t => {
  const {store, api, time, task} = await startService();
  await store.append(COUNT_TOPIC, 0, [Buffer.from([0xc1, 0xff])]);
  await store.append(REPORT_TOPIC, 0, [Buffer.from([0xc1, 0xff])]);
  await writeCount(store, 'a', 0, 10, 2);
  time.nowMs = settledMs(10);
  await task.tick();
  await task.tick();
  t.deepEqual(
    api.calls.map(({report}) => report.counts),
    [{alpha: 2}],
  );
});

test('a window without requests is reported too', async t => {
  const {api, time, task} = await startService();
  time.nowMs = settledMs(11);
  await task.tick();
  t.deepEqual(
    api.calls.map(({report}) => report),
    [
      {window: 10, counts: {}},
      {window: 11, counts: {}},
    ],
  );
});

test('a report that a successor sends again is the same', async t => {
  const {store, api, time, task} = await startService();
  await writeCount(store, 'a', 0, 10, 2);
  api.plannedAnswers.push('unknown');
  time.nowMs = settledMs(10);
  await task.tick();
  task.stop();
  // Counts of a VM that was disconnected arrive after the decision.
  await writeCount(store, 'bb', 0, 10, 3);
  const successor = createTask(store, api, time, {
    vmName: 'vm-b',
    fencingToken: 7,
  });
  time.nowMs += 1000;
  await successor.tick();
  t.deepEqual(
    api.calls.map(({report}) => report.counts),
    [{alpha: 2}, {alpha: 2}],
  );
  t.deepEqual(api.problems, []);
});

test('a window is not decided twice if the log did not answer the first decision', async t => {
  const {store, api, time, task} = await startService();
  await writeCount(store, 'a', 0, 10, 2);
  time.nowMs = settledMs(10);
  store.appendPlans.push('unknown_but_done');
  await task.tick();
  await writeCount(store, 'bb', 0, 10, 3);
  await task.tick();
  await task.tick();
  t.deepEqual(api.problems, []);
  t.deepEqual(
    api.calls.map(({report}) => report.counts),
    [{alpha: 2}],
  );
});

test('a holder that has not read the decisions of its successor can not decide', async t => {
  const {store, api, time, task} = await startService();
  await writeCount(store, 'a', 0, 10, 2);
  const successor = createTask(store, api, time, {
    vmName: 'vm-b',
    fencingToken: 7,
  });
  time.nowMs = settledMs(10);
  await successor.tick();
  await writeCount(store, 'bb', 0, 10, 3);
  await task.tick();
  t.deepEqual(api.problems, []);
  const kinds = store.list(REPORT_TOPIC).length;
  t.true(kinds >= 3);
});

test('a fencing token that the platform refused is not used again', async t => {
  const {api, store, time, task} = await startService();
  time.nowMs = settledMs(10);
  api.plannedAnswers.push('fenced');
  await task.tick();
  time.nowMs += 5000;
  await task.tick();
  t.is(api.calls.length, 1);
  const successor = createTask(store, api, time, {
    vmName: 'vm-b',
    fencingToken: 7,
  });
  await successor.tick();
  t.deepEqual(api.windows.slice(0, 1), [10]);
});

test('a holder that may not act makes no call', async t => {
  const store = new MemoryStore();
  const api = new FakeControlApi();
  const time = {nowMs: 10 * WINDOW_MS};
  let may = false;
  const task = createTask(store, api, time, {mayCall: () => may});
  await task.tick();
  time.nowMs = settledMs(10);
  await task.tick();
  t.is(api.calls.length, 0);
  may = true;
  await task.tick();
  t.is(api.calls.length, 1);
});

test('windows that the platform could not accept are reported later, in order', async t => {
  const {api, time, task} = await startService();
  api.plannedAnswers.push('busy', 'unknown', 'busy');
  for (let i = 0; i < 40; i++) {
    time.nowMs = settledMs(10) + i * 500;
    await task.tick();
  }
  t.deepEqual(
    api.windows.filter(window => window <= 13),
    [10, 11, 12, 13],
  );
  t.deepEqual(api.problems, []);
});

/** One step of a random schedule of two holders that both believe that they may act. */
type Step =
  | {readonly kind: 'tick'; readonly holder: 0 | 1}
  | {readonly kind: 'time'; readonly ms: number}
  | {readonly kind: 'count'; readonly requests: number}
  | {readonly kind: 'call_lost' | 'call_busy' | 'append_lost' | 'append_done'}
  | {readonly kind: 'replace'; readonly holder: 0 | 1};

const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('tick' as const),
    holder: fc.constantFrom<0 | 1>(0, 1),
  }),
  fc.record({
    kind: fc.constant('time' as const),
    ms: fc.integer({min: 100, max: 6000}),
  }),
  fc.record({
    kind: fc.constant('count' as const),
    requests: fc.integer({min: 1, max: 9}),
  }),
  fc.record({
    kind: fc.constantFrom(
      'call_lost' as const,
      'call_busy' as const,
      'append_lost' as const,
      'append_done' as const,
    ),
  }),
  fc.record({
    kind: fc.constant('replace' as const),
    holder: fc.constantFrom<0 | 1>(0, 1),
  }),
);

test('no window is reported with two different counts, whichever answers are lost and whichever holder acts', async t => {
  await fc.assert(
    fc.asyncProperty(fc.array(STEP, {maxLength: 60}), async steps => {
      const store = new MemoryStore();
      const api = new FakeControlApi();
      const time = {nowMs: 10 * WINDOW_MS};
      let token = 0;
      const create = () =>
        createTask(store, api, time, {
          vmName: `vm-${token}`,
          fencingToken: ++token,
        });
      const holders = [create(), create()];
      let number = 0;
      for (const step of steps) {
        switch (step.kind) {
          case 'tick':
            await holders[step.holder].tick();
            break;
          case 'time':
            time.nowMs += step.ms;
            break;
          case 'count': {
            const window = Math.floor(time.nowMs / WINDOW_MS) - 1;
            await writeCount(store, 'a', number++, window, step.requests);
            break;
          }
          case 'call_lost':
            api.plannedAnswers.push('unknown');
            break;
          case 'call_busy':
            api.plannedAnswers.push('busy');
            break;
          case 'append_lost':
            store.appendPlans.push('unknown');
            break;
          case 'append_done':
            store.appendPlans.push('unknown_but_done');
            break;
          case 'replace':
            holders[step.holder] = create();
        }
      }
      t.deepEqual(api.problems, []);
    }),
    {seed: 17, numRuns: 300},
  );
});
