import test from 'ava';
import fc from 'fast-check';
import {createJob, type Job, type OpenBatch} from '../batch_job.js';
import type {BatchHeader} from '../batch_record.js';
import type {TrainerKey} from '../cadence_tracker.js';
import {measureSlackMs, orderJobs, type OrderContext} from '../job_order.js';
import {
  createBatch,
  createEngine,
  createItem,
  createSchedule,
  createTerms,
  listStarts,
} from './batch_fixtures.js';

interface JobSpec {
  readonly id: string;
  readonly events: number;
}

interface StepSpec {
  readonly header?: Partial<BatchHeader>;
  readonly dueAtMs?: number;
  readonly priority?: number;
}

function createStep({header, ...terms}: StepSpec = {}): OpenBatch {
  return {
    batch: createBatch('b', [], header),
    terms: createTerms(terms),
    promisedUntilMs: Infinity,
    jobs: new Map(),
    carriedGroups: new Set(),
    chosenGroups: new Set(),
  };
}

function createJobs(step: OpenBatch, specs: readonly JobSpec[]): Job[] {
  return specs.map(({id, events}) =>
    createJob(step, createItem(id, {expectedOutputTokens: events})),
  );
}

function createContext(extra: Partial<OrderContext> = {}): OrderContext {
  return {
    nowMs: 0,
    tokensPerEvent: 1,
    gapMs: 40,
    findLagMs: () => 0,
    isNeeded: () => true,
    countRunning: () => 0,
    ...extra,
  };
}

function order(jobs: readonly Job[], extra: Partial<OrderContext> = {}) {
  return orderJobs(jobs, createContext(extra)).map(({item}) => item.id);
}

test('slack is the time to the due time less the time to the end and the lag', t => {
  const step = createStep({dueAtMs: 7500});
  const [job] = createJobs(step, [{id: 'long', events: 100}]);
  const context = createContext({nowMs: 500, findLagMs: () => 300});
  t.is(measureSlackMs(job, context), 7500 - 500 - 100 * 40 - 300);
  step.terms = undefined;
  t.is(measureSlackMs(job, context), Infinity, 'its route is removed');
});

// Guards against a step whose longest item starts after the short items of all
// steps that were submitted a few ms before.
test('the longest items of all trainers start first', t => {
  const first = createStep({header: {account: 'a'}, dueAtMs: 7500});
  const last = createStep({header: {account: 'b'}, dueAtMs: 7550});
  const jobs = [
    ...createJobs(first, [
      {id: 'a-short', events: 5},
      {id: 'a-long', events: 100},
    ]),
    ...createJobs(last, [{id: 'b-long', events: 120}]),
  ];
  t.deepEqual(order(jobs), ['b-long', 'a-long', 'a-short']);
});

test('items of needed groups go before others, however urgent these are', t => {
  const step = createStep();
  const jobs = createJobs(step, [
    {id: 'needed', events: 5},
    {id: 'surplus', events: 200},
  ]);
  const isNeeded = ({item}: Job) => item.id === 'needed';
  t.deepEqual(order(jobs, {isNeeded}), ['needed', 'surplus']);
});

// Guards against a trainer that is behind and stays so, as its steps are due
// later than those of the others.
test('the lag of a trainer makes its items more urgent', t => {
  const onTime = createStep({header: {account: 'a', model: 'm0'}});
  const behind = createStep({
    header: {account: 'b', model: 'm1'},
    dueAtMs: 9000,
  });
  const jobs = [
    ...createJobs(onTime, [{id: 'a', events: 20}]),
    ...createJobs(behind, [{id: 'b', events: 20}]),
  ];
  t.deepEqual(order(jobs), ['a', 'b']);
  const findLagMs = ({model}: TrainerKey) => (model === 'm1' ? 1800 : 0);
  t.deepEqual(order(jobs, {findLagMs}), ['b', 'a']);
});

test('a more urgent priority goes first only among items that would be late', t => {
  const urgent = createStep({header: {account: 'a'}, priority: 0});
  const normal = createStep({header: {account: 'b'}, priority: 2});
  const calm = [
    ...createJobs(urgent, [{id: 'a', events: 20}]),
    ...createJobs(normal, [{id: 'b', events: 60}]),
  ];
  t.deepEqual(order(calm), ['b', 'a'], 'none would be late');
  const late = [
    ...createJobs(urgent, [{id: 'a', events: 185}]),
    ...createJobs(normal, [{id: 'b', events: 200}]),
  ];
  t.deepEqual(order(late), ['a', 'b']);
});

// Guards against an account with many items that starves one with few.
test('accounts share slots in proportion to their items', t => {
  const many = createStep({header: {account: 'many'}});
  const few = createStep({header: {account: 'few'}});
  const ids = Array.from({length: 20}, (_, i) => ({id: `m${i}`, events: 10}));
  const jobs = [
    ...createJobs(many, ids),
    ...createJobs(few, [
      {id: 'f0', events: 10},
      {id: 'f1', events: 10},
    ]),
  ];
  const first = order(jobs).slice(0, 11);
  t.is(first.filter(id => id.startsWith('f')).length, 1);
  const countRunning = (account: string) => (account === 'few' ? 0 : 10);
  t.is(order(jobs, {countRunning})[0], 'f0');
});

test('an order contains each job once, needed ones and late ones first', t => {
  const spec = fc.record({
    account: fc.constantFrom('a', 'b', 'c'),
    events: fc.integer({min: 1, max: 400}),
    priority: fc.nat(2),
    isNeeded: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(spec, {maxLength: 40}), specs => {
      const needed = new Set<Job>();
      const jobs = specs.map(({account, events, priority, isNeeded}, i) => {
        const step = createStep({header: {account}, priority});
        const [job] = createJobs(step, [{id: `${i}`, events}]);
        if (isNeeded) needed.add(job);
        return job;
      });
      const context = createContext({isNeeded: job => needed.has(job)});
      const ordered = orderJobs(jobs, context);
      t.is(ordered.length, jobs.length);
      t.is(new Set(ordered).size, jobs.length);
      const classes = ordered.map(job => (needed.has(job) ? 0 : 1));
      t.deepEqual(classes, [...classes].sort());
    }),
    {seed: 7, numRuns: 300},
  );
});

// Guards against an operator's change of priority that reaches only later steps.
test('a change of priority while items wait takes effect at once', t => {
  const {scheduler, open} = createSchedule([createEngine('e0', {slots: 1})], {
    isCapacityContended: true,
  });
  const item = {expectedOutputTokens: 200};
  for (const account of ['a', 'b', 'c']) {
    const items = [createItem(`${account}-0`, item)];
    open(
      createBatch(account, [], {account, groupsWanted: 1, items}),
      createTerms({priority: 1}),
    );
  }
  const [first] = listStarts(scheduler.decide(0));
  t.is(first.job.batch.batch.account, 'a');
  scheduler.setTerms('c', createTerms({priority: 0}));
  scheduler.onRunEnd(first, 'impossible', 10);
  const [next] = listStarts(scheduler.decide(10));
  t.is(next.job.batch.batch.account, 'c');
});

test('without contention, items go by due time and then by length', t => {
  const {scheduler, open} = createSchedule([createEngine('e0', {slots: 3})]);
  const items = (account: string, lengths: readonly number[]) =>
    lengths.map((expectedOutputTokens, i) =>
      createItem(`${account}${i}`, {expectedOutputTokens}),
    );
  open(
    createBatch('a', [], {groupsWanted: 2, items: items('a', [5, 100])}),
    createTerms({dueAtMs: 7500, priority: 3}),
  );
  open(
    createBatch('b', [], {groupsWanted: 1, items: items('b', [900])}),
    createTerms({dueAtMs: 7550, priority: 0}),
  );
  const started = listStarts(scheduler.decide(0)).map(({job}) => job.item.id);
  t.deepEqual(started, ['a1', 'a0', 'b0']);
});
