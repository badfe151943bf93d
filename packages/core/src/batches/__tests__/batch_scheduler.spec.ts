import test from 'ava';
import type {BatchScheduler} from '../batch_scheduler.js';
import {
  createBatch,
  createEngine,
  createEvent,
  createItem,
  createSchedule,
  createTerms,
  listStarts,
  listStops,
  MODEL,
} from './batch_fixtures.js';

test('the longest items of the needed groups start first', t => {
  const {scheduler, open} = createSchedule([createEngine('e0', {slots: 3})]);
  const batch = createBatch('b0', [], {
    groupsWanted: 2,
    items: [
      createItem('g0a', {expectedOutputTokens: 5}),
      createItem('g0b', {expectedOutputTokens: 50}),
      createItem('g1a', {expectedOutputTokens: 20}),
      createItem('g2a', {expectedOutputTokens: 900}),
    ],
  });
  open(batch);
  const started = listStarts(scheduler.decide(0)).map(({job}) => job.item.id);
  t.deepEqual(started, ['g0b', 'g1a', 'g0a']);
});

test('an item resumes after its last event when its connection breaks', t => {
  const {scheduler, open} = createSchedule([createEngine('e0')]);
  open(createBatch('b0', ['g0a']));
  const [run] = listStarts(scheduler.decide(0));
  scheduler.onEvent(run, createEvent(1, run.id), 10);
  scheduler.onRunEnd(run, 'broken', 20);
  const [again] = listStarts(scheduler.decide(30));
  t.is(again.job.transcript.lastEventId, 1);
  scheduler.onEvent(again, createEvent(2, again.id), 40);
  scheduler.onRunEnd(again, 'finished', 50);
  const [list] = scheduler.decide(50);
  t.like(list, {kind: 'list', result: {state: 'done', output: '1\n2'}});
});

test('an event out of order is refused', t => {
  const {scheduler, open} = createSchedule([createEngine('e0')]);
  open(createBatch('b0', ['g0a']));
  const [run] = listStarts(scheduler.decide(0));
  t.true(scheduler.onEvent(run, createEvent(1, run.id), 10));
  t.false(scheduler.onEvent(run, createEvent(3, run.id), 20));
});

// Guards against a trainer that gets samples of weights that are too old.
// 1. The list reports version 3; the engine restarts with version 2.
// 2. Its complete output arrives, generated with version 2.
// The engine's entry in the list is older than its restart.
test('output of weights that are too old is not used', t => {
  const versions = new Map([[MODEL, 3]]);
  const {scheduler, open} = createSchedule([createEngine('e0', {versions})]);
  open(createBatch('b0', ['g0a'], {minVersion: 3}));
  const [run] = listStarts(scheduler.decide(0));
  t.false(scheduler.onEvent(run, createEvent(1, run.id, 2), 10));
  scheduler.onRunEnd(run, 'finished', 20);
  t.deepEqual(scheduler.decide(20), [], 'no result without output');
  const [again] = listStarts(scheduler.decide(100));
  t.is(again.job.transcript.events.length, 0);
});

test('an engine that has outdated weights or is loading gets no item', t => {
  const versions = new Map([[MODEL, 2]]);
  const {scheduler, open} = createSchedule([
    createEngine('old'),
    createEngine('loading', {versions, loading: new Set([MODEL])}),
  ]);
  open(createBatch('b0', ['g0a'], {minVersion: 2}));
  t.deepEqual(scheduler.decide(0), []);
});

// Guards against items that are lost with an engine that is removed.
// 1. Items run on two engines; one of them leaves the list.
// 2. Its items must resume elsewhere, and it must get no new ones.
test('an engine that left the list gets no item and its items move', t => {
  const engines = [createEngine('leaving'), createEngine('staying')];
  const {scheduler, open} = createSchedule(engines);
  open(createBatch('b0', ['g0a', 'g1a']));
  const runs = listStarts(scheduler.decide(0));
  const leaving = runs.find(({engineId}) => engineId === 'leaving')!;
  scheduler.setEngines([engines[1]]);
  open(createBatch('b1', ['g2a']));
  const actions = scheduler.decide(10);
  t.deepEqual(listStops(actions), [[leaving, 'engine_draining']]);
  const started = listStarts(actions).map(({engineId}) => engineId);
  t.deepEqual(started, ['staying']);
});

// Guards against a step that is delayed by one engine that became slow.
// 1. Items run on two engines; one becomes four times slower.
// 2. Its liveness check still passes, so only the gaps between its events show
//    it.
test('items move from an engine that has become slow to a free slot', t => {
  const engines = [createEngine('fast'), createEngine('slow')];
  const {scheduler, open} = createSchedule(engines);
  open(createBatch('b0', ['g0a', 'g1a']));
  const runs = listStarts(scheduler.decide(0));
  const slowRun = runs.find(({engineId}) => engineId === 'slow')!;
  const fastRun = runs.find(({engineId}) => engineId === 'fast')!;
  for (let i = 0; i < 10; i++) {
    scheduler.onEvent(fastRun, createEvent(i, fastRun.id), i * 40);
    scheduler.onEvent(slowRun, createEvent(i, slowRun.id), i * 160);
  }
  const stops = listStops(scheduler.decide(1460));
  t.deepEqual(stops, [[slowRun, 'engine_slow']]);
  scheduler.onRunEnd(slowRun, 'stopped', 1461);
  const [moved] = listStarts(scheduler.decide(1461));
  t.is(moved.engineId, 'fast');
  t.is(moved.job.transcript.lastEventId, 9);
});

// Guards against items that hang with their engine.
// 1. An engine stops responding: connections stay open, nothing arrives.
// 2. No connection is reset, so only the silence of all its runs shows it.
test('the runs of an engine are stopped when all of them are silent', t => {
  const {scheduler, open} = createSchedule([createEngine('dark')]);
  open(createBatch('b0', ['g0a', 'g0b']));
  const runs = listStarts(scheduler.decide(0));
  t.deepEqual(scheduler.decide(790), []);
  t.deepEqual(
    listStops(scheduler.decide(810)).map(([, reason]) => reason),
    ['engine_silent', 'engine_silent'],
  );
  for (const run of runs) scheduler.onRunEnd(run, 'stopped', 811);
  t.deepEqual(scheduler.decide(820), [], 'the engine pauses');
  t.is(listStarts(scheduler.decide(2100)).length, 2, 'and gets items again');
});

// Guards against runs that are sent to a flooding engine again and again, and output that is part of a flood.
test('an engine that floods gets nothing for a while, and its output is dropped', t => {
  const {scheduler, open} = createSchedule([createEngine('e0')]);
  open(createBatch('b0', ['g0a']));
  const [run] = listStarts(scheduler.decide(0));
  scheduler.onEvent(run, createEvent(0, run.id), 10);
  scheduler.onRunEnd(run, 'flooded', 20);
  t.deepEqual(scheduler.decide(5000), []);
  const [again] = listStarts(scheduler.decide(5020));
  t.is(again.job.transcript.lastEventId, undefined);
});

// Guards against an item that meets one crash after another, and against one that is not placed again afterwards.
test('an item pauses after repeated early breaks, for at most 3 s each time', t => {
  const engines = Array.from({length: 20}, (_, i) => createEngine(`e${i}`));
  const {scheduler, open} = createSchedule(engines);
  open(createBatch('b0', ['g0a']));
  let nowMs = 0;
  const breakRun = () => {
    const [run] = listStarts(scheduler.decide(nowMs));
    scheduler.onRunEnd(run, 'broken', nowMs);
  };
  for (let i = 0; i < 3; i++) breakRun();
  for (const pauseMs of [2000, 3000, 3000, 3000, 3000, 3000, 3000]) {
    t.deepEqual(scheduler.decide(nowMs + pauseMs - 1), []);
    nowMs += pauseMs;
    breakRun();
  }
});

// Guards against a step that waits for an item whose breaks came by chance.
// 1. An engine generates part of the output and its connection breaks.
// 2. The connections of three more engines break before their first event.
// This happens if an item pauses although it has output.
test('an item with output is suspected only after more early breaks', t => {
  const engines = [0, 1, 2, 3, 4, 5, 6].map(i => createEngine(`e${i}`));
  const {scheduler, open} = createSchedule(engines);
  open(createBatch('b0', ['g0a']));
  const [run] = listStarts(scheduler.decide(0));
  scheduler.onEvent(run, createEvent(0, run.id), 10);
  scheduler.onRunEnd(run, 'broken', 20);
  for (let i = 1; i <= 5; i++) {
    const [again] = listStarts(scheduler.decide(i * 20));
    scheduler.onRunEnd(again, 'broken', i * 20 + 10);
  }
  const [sixth] = listStarts(scheduler.decide(120));
  scheduler.onRunEnd(sixth, 'broken', 130);
  t.deepEqual(scheduler.decide(2000), [], 'suspected after the sixth break');
});

// Guards against an item that fails everywhere and is run again in each batch.
test('an item that failed in earlier batches is given up after fewer attempts', t => {
  const {scheduler, open} = createSchedule([createEngine('e0')]);
  const failed = new Map([
    ['g0a', {failures: 0, rejections: 3}],
    ['g1a', {failures: 5, rejections: 2}],
  ]);
  const terms = createTerms({attempts: 2});
  open(createBatch('b0', ['g0a', 'g1a']), terms, failed);
  const first = scheduler.decide(0);
  t.like(first[0], {
    kind: 'list',
    result: {itemId: 'g0a', state: 'errored'},
    reason: 'failed_in_earlier_batches',
  });
  const [run] = listStarts(first);
  t.is(run.job.item.id, 'g1a');
  scheduler.onRunEnd(run, 'failed', 10);
  const [second] = scheduler.decide(20);
  t.like(second, {
    kind: 'list',
    reason: 'failed_in_earlier_batches',
    failedAttempts: [run.id],
  });
});

test('an item is given up after its attempts, and at once if it is impossible', t => {
  const {scheduler, open} = createSchedule([createEngine('e0')]);
  open(createBatch('b0', ['g0a', 'g1a']), createTerms({attempts: 2}));
  const [first, second] = listStarts(scheduler.decide(0));
  scheduler.onRunEnd(first, 'failed', 10);
  scheduler.onRunEnd(second, 'impossible', 10);
  t.like(scheduler.decide(10)[0], {reason: 'impossible'});
  const [again] = listStarts(scheduler.decide(100));
  scheduler.onRunEnd(again, 'failed', 110);
  t.like(scheduler.decide(110)[0], {
    reason: 'attempts_used_up',
    result: {state: 'errored'},
  });
});

test('items without a result are given up when their retention is over', t => {
  const {scheduler, open} = createSchedule([]);
  open(createBatch('b0', ['g0a']), createTerms({giveUpAtMs: 1000}));
  t.deepEqual(scheduler.decide(1000), []);
  t.like(scheduler.decide(1001)[0], {reason: 'retention_over'});
});

// Guards against reads of the configuration that never end for a batch with nothing left to give up.
test('the configuration is read only as long as an item is to be given up', t => {
  const {scheduler, open} = createSchedule([createEngine('e0')]);
  open(createBatch('b0', ['g0a', 'g0b']), createTerms({giveUpAtMs: 1000}));
  const runs = listStarts(scheduler.decide(900));
  for (const run of runs) scheduler.onEvent(run, createEvent(1, run.id), 950);
  t.deepEqual(scheduler.decide(1001, 900), [{kind: 'confirm_config'}]);
  for (const run of runs) scheduler.onRunEnd(run, 'finished', 1003);
  const actions = scheduler.decide(1004, 900);
  t.deepEqual(
    actions.map(({kind}) => kind),
    ['list', 'list'],
  );
});

// Guards against a stored item that ends each coordinator which sends it, or that takes its batch along.
test('an item that can not be sent never runs, and the others go on', t => {
  const {scheduler, open} = createSchedule([createEngine('e0', {slots: 8})]);
  const reward = {id: 'r', host: 'h', path: '/s', body: new Uint8Array()};
  const items = [
    createItem('g0a'),
    createItem('g0b', {path: '/a b'}),
    createItem('g0c', {headers: {'X-Title': 'kod\u0131'}}),
    createItem('g0d\n'),
    createItem('g0e', {reward: {...reward, host: 'h\u0131'}}),
    createItem('g0f', {reward}),
  ];
  const batch = createBatch('b0', [], {items, groupsWanted: 1});
  open(batch, createTerms({giveUpAtMs: 1000}));
  const runs = listStarts(scheduler.decide(0));
  t.deepEqual(runs.map(({job}) => job.item.id).sort(), ['g0a', 'g0f']);
  t.deepEqual(listStarts(scheduler.decide(900)), []);
  const listed = scheduler
    .decide(1001)
    .map(action => (action.kind === 'list' ? action.reason : action.kind));
  t.deepEqual(listed, Array(6).fill('retention_over'));
});

test('without a route, items are given up, and the reason tells whether their time was over', t => {
  const {scheduler, log, open} = createSchedule([]);
  open(createBatch('removed', ['g0a']));
  open(createBatch('overdue', ['g1a']));
  for (const id of ['removed', 'overdue']) scheduler.closeBatch(id);
  const successor = createSchedule([]).scheduler;
  const promises = {removed: 2000, overdue: 500};
  for (const [id, promisedUntilMs] of Object.entries(promises)) {
    successor.openBatch(log.get(id), undefined, {promisedUntilMs});
  }
  const listed = successor
    .decide(1000)
    .map(action => (action.kind === 'list' ? action.reason : action.kind));
  t.deepEqual(listed, ['route_removed', 'retention_over']);
});

// Guards against a trainer that waits for groups that it requested before.
// 1. A step ends with one group incomplete; its output so far is retained.
// 2. The next step requests the group again.
test('a group that is requested again resumes from its output and goes first', t => {
  const {scheduler, open} = createSchedule([createEngine('e0', {slots: 1})]);
  open(createBatch('b0', ['g0a']));
  const [run] = listStarts(scheduler.decide(0));
  scheduler.onEvent(run, createEvent(1, run.id), 10);
  scheduler.closeBatch('b0');
  scheduler.decide(20);
  scheduler.onRunEnd(run, 'stopped', 20);
  open(createBatch('b1', ['g5a', 'g0a'], {groupsWanted: 1}));
  const [again] = listStarts(scheduler.decide(30));
  t.is(again.job.item.id, 'g0a');
  t.is(again.job.transcript.lastEventId, 1);
});

test('a result of an earlier batch is reused if its versions are allowed', t => {
  const {scheduler, open} = createSchedule([createEngine('e0')]);
  open(createBatch('b0', ['g0a']));
  const [run] = listStarts(scheduler.decide(0));
  scheduler.onEvent(run, createEvent(1, run.id, 1), 10);
  scheduler.onRunEnd(run, 'finished', 20);
  scheduler.decide(20);
  open(createBatch('b1', ['g0a'], {minVersion: 1}));
  t.like(scheduler.decide(30)[0], {reason: 'known_from_earlier_batch'});
  open(createBatch('b2', ['g0a'], {minVersion: 2}));
  t.deepEqual(scheduler.decide(40), []);
});

test('a run of a surplus group is stopped to make room', t => {
  const {scheduler, open} = createSchedule([createEngine('e0', {slots: 2})]);
  const needed = createItem('g0a', {expectedOutputTokens: 5});
  const surplus = createItem('g1a', {expectedOutputTokens: 500});
  open(createBatch('b0', [], {groupsWanted: 1, items: [needed, surplus]}));
  const runs = listStarts(scheduler.decide(0));
  t.is(runs.length, 2);
  open(createBatch('b1', ['g7a']));
  t.deepEqual(scheduler.decide(700), [], 'not right after its start');
  for (const run of runs) scheduler.onEvent(run, createEvent(1, run.id), 750);
  const [[stopped, reason]] = listStops(scheduler.decide(810));
  t.is(stopped.job.item.id, 'g1a');
  t.is(reason, 'made_room');
  scheduler.onRunEnd(stopped, 'stopped', 811);
  const [started] = listStarts(scheduler.decide(811));
  t.is(started.job.item.id, 'g7a');
});

test('single-version items start over on an engine with other weights', t => {
  const engine = createEngine('e0');
  const {scheduler, open} = createSchedule([engine]);
  open(createBatch('b0', ['g0a']), createTerms({singleVersion: true}));
  const [run] = listStarts(scheduler.decide(0));
  scheduler.onEvent(run, createEvent(1, run.id, 1), 10);
  scheduler.onRunEnd(run, 'broken', 20);
  scheduler.setEngines([createEngine('e0', {versions: new Map([[MODEL, 2]])})]);
  const [again] = listStarts(scheduler.decide(30));
  t.is(again.job.transcript.events.length, 0);
});

// Guards against a step whose runs all pause for about one second.
// 1. New weights are published while a step has long items running.
// 2. Their engine has to load, as the next step cannot be served otherwise.
test('items move away from an engine that is about to load', t => {
  const {scheduler, open} = createSchedule([createEngine('e0')]);
  open(createBatch('b0', ['g0a', 'g0b']));
  const runs = listStarts(scheduler.decide(0));
  const loading = createEngine('e0', {loading: new Set([MODEL])});
  scheduler.setEngines([loading]);
  t.deepEqual(scheduler.decide(10), [], 'without another engine they stay');
  scheduler.setEngines([loading, createEngine('e1')]);
  const stops = listStops(scheduler.decide(20));
  t.deepEqual(
    stops.map(([, reason]) => reason),
    ['engine_loading', 'engine_loading'],
  );
  for (const run of runs) scheduler.onRunEnd(run, 'stopped', 21);
  const moved = listStarts(scheduler.decide(21));
  t.deepEqual(
    moved.map(({engineId}) => engineId),
    ['e1', 'e1'],
  );
});

// Guards against two groups that alternate so that neither is finished.
// 1. A trainer waits for one of two groups of about the same length.
// 2. Each event changes which of them looks closer to completion.
test('the choice between two groups of equal length does not alternate', t => {
  const {scheduler, open} = createSchedule([createEngine('e0', {slots: 1})]);
  const items = ['g0a', 'g1a'].map(id =>
    createItem(id, {expectedOutputTokens: 20}),
  );
  open(createBatch('b0', [], {groupsWanted: 1, items}));
  const [run] = listStarts(scheduler.decide(0));
  // Beyond its estimate the item is expected to become twice as long as it is.
  for (let i = 0; i < 21; i++) {
    scheduler.onEvent(run, createEvent(i, run.id), i * 50);
    t.deepEqual(listStops(scheduler.decide(i * 50)), []);
  }
});

/** Records event gaps of `gapsMs` for engines, by engine id. */
function recordPaces(
  scheduler: BatchScheduler,
  gapsMs: Readonly<Record<string, number>>,
): void {
  for (const [id, gapMs] of Object.entries(gapsMs)) {
    for (let i = 0; i < 10; i++) {
      scheduler.engineHealth.speeds.record(id, gapMs, 1, i * gapMs);
    }
  }
}

// Guards against a step that is delayed by its longest item on the slowest
// engine.
// 1. Engine speeds differ by a third; the faster engine has four runs more.
// 2. The longest item goes to the engine with fewer runs.
// This happens if engines are compared by their number of runs alone.
test('an item goes to the engine with the shortest event gap, not the fewest runs', t => {
  const engines = ['near', 'fast'].map(id => createEngine(id, {slots: 16}));
  const {scheduler, open} = createSchedule(engines);
  recordPaces(scheduler, {near: 45, fast: 34});
  open(createBatch('b0', ['g0a', 'g1a', 'g2a', 'g3a', 'g4a']));
  const starts = listStarts(scheduler.decide(500));
  t.deepEqual([...new Set(starts.map(({engineId}) => engineId))], ['fast']);
});

// Guards against a trainer that waits for one item while fast engines have
// room.
// 1. A step fills all engines; its longest item is on a slower one.
// 2. Short items end and leave free slots on the fast engine.
test('the longest runs move to faster engines as slots become free there', t => {
  const engines = [
    createEngine('slow', {slots: 2}),
    createEngine('fast', {slots: 2}),
  ];
  const {scheduler, open} = createSchedule(engines);
  recordPaces(scheduler, {slow: 45, fast: 34});
  const [first, second, longest] = [300, 300, 400].map((length, i) =>
    createItem(`g${i}a`, {expectedOutputTokens: length}),
  );
  open(createBatch('b0', [], {groupsWanted: 2, items: [first, second]}));
  const [early, other] = listStarts(scheduler.decide(500));
  open(createBatch('b1', [], {groupsWanted: 1, items: [longest]}));
  const [late] = listStarts(scheduler.decide(510));
  t.deepEqual([early.engineId, late.engineId], ['fast', 'slow']);
  for (const run of [early, other, late]) {
    scheduler.onEvent(run, createEvent(0, run.id), 1300);
  }
  t.deepEqual(
    listStops(scheduler.decide(1400)),
    [],
    'no free slot on the fast engine',
  );
  scheduler.onEvent(early, createEvent(1, early.id), 1335);
  scheduler.onRunEnd(early, 'finished', 1510);
  t.deepEqual(listStops(scheduler.decide(1700)), [[late, 'engine_outrun']]);
  scheduler.onRunEnd(late, 'stopped', 1710);
  const [moved] = listStarts(scheduler.decide(1710));
  t.is(moved.engineId, 'fast');
});

// Guards against a long item that starts last. An earlier step left most of its
// output, which is too old for this one, so all of it has to be generated again.
test('output that is too old does not make an item look almost done', t => {
  const versions = new Map([[MODEL, 2]]);
  const engine = createEngine('e0', {versions, slots: 1});
  const {scheduler, open} = createSchedule([engine]);
  const long = createItem('g0a', {expectedOutputTokens: 62});
  const terms = {minVersion: 1, groupsWanted: 1};
  open(createBatch('b0', [], {...terms, items: [long]}));
  const [run] = listStarts(scheduler.decide(0));
  for (let id = 1; id <= 60; id++) {
    scheduler.onEvent(run, createEvent(id, run.id), id * 10);
  }
  scheduler.closeBatch('b0');
  scheduler.onRunEnd(run, 'stopped', 610);
  const other = createItem('g1a', {expectedOutputTokens: 20});
  const next = {minVersion: 2, groupsWanted: 2};
  open(createBatch('b1', [], {...next, items: [other, long]}));
  const [first] = listStarts(scheduler.decide(620));
  t.is(first.job.item.id, 'g0a');
  t.is(first.job.transcript.events.length, 0);
});

test('only contended, the result that completes a step says so', t => {
  for (const isCapacityContended of [true, false]) {
    const engines = [createEngine('e0')];
    const {scheduler, open} = createSchedule(engines, {isCapacityContended});
    open(createBatch('b0', ['g0a', 'g1a', 'g2a'], {groupsWanted: 2}));
    const runs = listStarts(scheduler.decide(0));
    const marks = runs.slice(0, 2).map((run, i) => {
      scheduler.onEvent(run, createEvent(1, run.id), 10 + i);
      scheduler.onRunEnd(run, 'finished', 20 + i);
      const list = scheduler.decide(21 + i).find(({kind}) => kind === 'list');
      return list?.kind === 'list' && list.result.endsStep;
    });
    t.deepEqual(marks, [undefined, isCapacityContended ? true : undefined]);
  }
});

// Guards against a trainer that reads its step too early: groups that an earlier
// step left incomplete are among those that it waits for.
test('a step does not end before the groups carried over are complete', t => {
  const engines = [createEngine('e0')];
  const {scheduler, open} = createSchedule(engines, {
    isCapacityContended: true,
  });
  open(createBatch('b0', ['g0a']));
  scheduler.closeBatch('b0');
  open(createBatch('b1', ['g0a', 'g1a'], {groupsWanted: 1}));
  const runs = listStarts(scheduler.decide(0));
  const finish = (itemId: string, nowMs: number) => {
    const run = runs.find(({job}) => job.item.id === itemId)!;
    scheduler.onEvent(run, createEvent(1, run.id), nowMs);
    scheduler.onRunEnd(run, 'finished', nowMs);
    const list = scheduler.decide(nowMs).find(({kind}) => kind === 'list');
    return list?.kind === 'list' && list.result.endsStep;
  };
  t.is(finish('g1a', 10), undefined);
  t.is(finish('g0a', 20), true);
});

// Guards against a coordinator that takes over and drops output that a step can
// use, because an earlier step left more that is too old.
test('usable output in the log is preferred to more output that is too old', t => {
  const {scheduler, log, open} = createSchedule([createEngine('e0')]);
  open(createBatch('b0', ['g0a']));
  const [run] = listStarts(scheduler.decide(0));
  for (let id = 1; id <= 8; id++) {
    scheduler.onEvent(run, createEvent(id, run.id), id * 10);
  }
  const events = [1, 2, 3, 4, 5].map(id => createEvent(id, 'r', 2));
  log.applyProgress({batchId: 'b1', itemId: 'g0a', events});
  open(createBatch('b1', ['g0a'], {minVersion: 2}));
  const job = [...scheduler.openBatches][1].jobs.get('g0a')!;
  t.deepEqual(job.transcript.events, events);
  t.is(job.recordedEvents, 5);
  t.is(job.earlierEvents, 8);
});
