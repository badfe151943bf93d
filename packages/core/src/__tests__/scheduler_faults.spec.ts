import test from 'ava';
import type {
  SchedulerAction,
  SchedulerEvent,
  WorkItem,
} from '../scheduling/scheduler.js';
import type {PolicyScheduler} from '../scheduling/policy_scheduler.js';
import {toEndpointId, toVmId} from '@radishyoke/shared/ids';
import type {FailureKind} from '../scheduling/failure.js';
import {
  createEndpoint,
  createReport,
  createScheduler,
  createWork,
} from './scheduler_fixture.js';

/** One scheduler, its clock, and where each work's last attempt runs. */
class SchedulerHarness {
  nowMs = 0;
  readonly actions: SchedulerAction[] = [];
  readonly lastAttempts = new Map<
    string,
    {attempt: number; endpoint: string}
  >();

  constructor(readonly scheduler: PolicyScheduler) {}

  handle(event: SchedulerEvent): readonly SchedulerAction[] {
    const actions = this.scheduler.handle(event, this.nowMs);
    for (const action of actions) {
      this.actions.push(action);
      if (action.kind !== 'start') continue;
      const {attempt, endpoint} = action;
      this.lastAttempts.set(action.workId, {attempt, endpoint});
    }
    return actions;
  }

  add(...works: readonly WorkItem[]): void {
    for (const work of works) this.handle({kind: 'enqueue', work});
    this.wait(100);
  }

  wait(ms: number): void {
    this.nowMs += ms;
    this.handle({kind: 'tick'});
  }

  report(id: string, changes: Parameters<typeof createReport>[1]): void {
    const report = createReport(id, {measuredAtMs: this.nowMs, ...changes});
    this.handle({kind: 'load', report});
  }

  progress(workId: string, tokens: number, weightVersion = 1): void {
    const {attempt} = this.lastAttempts.get(workId)!;
    this.handle({kind: 'progress', workId, attempt, tokens, weightVersion});
  }

  fail(workId: string, failure: FailureKind, tokensReceived = 0): void {
    const {attempt} = this.lastAttempts.get(workId)!;
    const sent = failure !== 'connect_failed';
    const outcome = {kind: 'failed', failure, sent, tokensReceived} as const;
    this.handle({kind: 'ended', workId, attempt, outcome});
  }

  /** Fails all works whose last attempt runs at the endpoint. */
  crash(endpoint: string): void {
    const lost = [...this.lastAttempts].filter(
      ([, at]) => at.endpoint === endpoint,
    );
    for (const [workId] of lost) this.fail(workId, 'crashed');
  }

  finish(workId: string, weightVersion = 1): void {
    const {attempt} = this.lastAttempts.get(workId)!;
    const spans = [{weightVersion, tokens: 50}];
    const outcome = {kind: 'finished', tokens: 50, spans} as const;
    this.handle({kind: 'ended', workId, attempt, outcome});
    this.lastAttempts.delete(workId);
  }

  endpointOf(workId: string): string | undefined {
    return this.lastAttempts.get(workId)?.endpoint;
  }

  outcomeOf(workId: string): string | undefined {
    const final = this.actions.find(
      a => (a.kind === 'done' || a.kind === 'give_up') && a.workId === workId,
    );
    return final?.kind === 'give_up' ? final.error.kind : final?.kind;
  }
}

function createHarness(...ids: readonly string[]): SchedulerHarness {
  return new SchedulerHarness(createScheduler(ids));
}

function createNames(count: number): readonly string[] {
  return Array.from({length: count}, (_, i) => `w${i}`);
}

// Work goes to an endpoint that is about to go, and is cut off there.
// 1. An engine reports that it leaves; the VM list still calls it live.
// 2. The list is read again, unchanged.
// Cause: the older source was believed over the newer one.
test('an endpoint that says it leaves gets nothing new', t => {
  const bench = createHarness('a', 'b');
  bench.report('a', {leaving: true});
  bench.handle({
    kind: 'endpoints',
    endpoints: [createEndpoint('a'), createEndpoint('b')],
  });
  const names = createNames(6);
  bench.add(...names.map(name => createWork(name)));
  t.true(names.every(name => bench.endpointOf(name) === 'b'));
});

// A healthy engine is left unused because one connection to it went silent.
// 1. One attempt shows nothing for the progress timeout; others do well.
// 2. New work comes for the only engine.
// Cause: the connection's failure was taken for the endpoint's.
test('a silent connection does not make a dead endpoint', t => {
  const bench = createHarness('a');
  bench.add(createWork('w0'), createWork('w1'));
  bench.fail('w0', 'silent');
  bench.add(createWork('w2'));
  t.is(bench.endpointOf('w2'), 'a');
  t.is(bench.endpointOf('w0'), 'a');
  t.is(bench.lastAttempts.get('w0')!.attempt, 2);
});

// A long sample is generated anew after a crash, and the step waits for it.
// 1. A sample has 60 tokens when its engine crashes.
// 2. It is started on another engine.
// Cause: the output that had been received was thrown away.
test('after a crash a rollout goes on from its output elsewhere', t => {
  const bench = createHarness('a', 'b');
  bench.add(createWork('w0'));
  const first = bench.endpointOf('w0')!;
  bench.progress('w0', 60);
  bench.fail('w0', 'crashed', 60);
  const start = bench.actions.filter(action => action.kind === 'start').at(-1);
  t.like(start, {attempt: 2, resumeTokens: 60, resumeAttempt: 1});
  t.not(bench.endpointOf('w0'), first);
});

// One request takes down one engine after the other, and others are refused.
// 1. A poisonous sample crashes its engine four times, twice with no other
//    newcomer there.
// 2. Its caller sends it once more.
// Cause: nobody connects the crashes, or all that were beside them are blamed.
test('a poisonous request is refused and those beside it are not', t => {
  const bench = createHarness('a', 'b', 'c');
  const healthy = createNames(6);
  const works = [...healthy, 'poison'].map(id =>
    createWork(id, {maxAttempts: 6}),
  );
  bench.add(...works);
  let crashes = 0;
  for (; crashes < 10 && !bench.outcomeOf('poison'); crashes++) {
    const endpoint = bench.endpointOf('poison');
    if (endpoint) bench.crash(endpoint);
    bench.wait(1000);
    for (const id of ['a', 'b', 'c']) bench.report(id, {});
    bench.wait(100);
  }
  t.is(bench.outcomeOf('poison'), 'suspect_request');
  t.is(crashes, 4);
  bench.wait(1000);
  for (const name of healthy) bench.finish(name);
  t.true(healthy.every(name => bench.outcomeOf(name) === 'done'));
  bench.add(createWork('again', {fingerprint: 'poison'}));
  t.is(bench.outcomeOf('again'), 'suspect_request');
});

// A request that kills a plain service does so again and again.
// 1. Its connection breaks; the service refuses the next connection.
// 2. The same happens again, and twice with the request alone on the endpoint.
// Cause: services don't tell of a crash as engines do, so none was counted.
test('a service that refuses connections after broken ones has crashed', t => {
  const bench = createHarness('a');
  const create = (id: string, fingerprint = 'poison') =>
    createWork(id, {
      workClass: 'interactive',
      idempotent: false,
      maxAttempts: 1,
      fingerprint,
    });
  for (const id of ['first', 'second']) {
    bench.add(create(id));
    bench.fail(id, 'connection_lost');
    bench.wait(3000);
    bench.add(create(`${id}-probe`, 'probe'));
    bench.fail(`${id}-probe`, 'connect_failed');
    bench.wait(20_000);
  }
  const crashes = bench.actions.filter(a => a.kind === 'report_crash');
  t.is(crashes.length, 2);
  for (const id of ['third', 'fourth']) {
    bench.add(create(id));
    bench.fail(id, 'connection_lost');
    bench.wait(20_000);
  }
  bench.add(create('fifth'));
  t.is(bench.outcomeOf('fifth'), 'suspect_request');
});

// A trainer is handed a rollout that is older than the bound.
// 1. A sample is made under version 3; the trainer moves on meanwhile.
// 2. The bound is 4 when the sample is complete.
// Cause: the bound was checked when the work was queued, and not again.
test('output that has become stale is made again or given up', t => {
  const bench = createHarness('a');
  bench.report('a', {weightVersion: 3});
  const work = createWork('w0', {
    stepKey: 's',
    minWeightVersion: 3,
    maxAttempts: 2,
  });
  bench.add(work);
  bench.report('a', {weightVersion: 4});
  const minWeightVersion = 4;
  bench.handle({kind: 'min_version', stepKey: 's', minWeightVersion});
  bench.finish('w0', 3);
  t.is(bench.outcomeOf('w0'), undefined);
  bench.wait(100);
  bench.lastAttempts.set('w0', {attempt: 2, endpoint: 'a'});
  bench.finish('w0', 3);
  t.is(bench.outcomeOf('w0'), 'not_fresh_in_time');
});

// A trainer is handed samples of another model.
// 1. Two engines of one group serve different models, and one is full.
// Cause: only the group was looked at.
test('work goes to engines of its model and does not hold up others', t => {
  const bench = createHarness();
  const endpoints = ['a', 'b'].map(id => ({
    ...createEndpoint(id),
    model: `model-${id}`,
  }));
  bench.handle({kind: 'endpoints', endpoints});
  const names = createNames(100);
  bench.add(...names.map(name => createWork(name, {model: 'model-a'})));
  bench.add(createWork('other', {model: 'model-b'}));
  t.is(bench.endpointOf('other'), 'b');
  const started = names.filter(name => bench.lastAttempts.has(name));
  t.true(started.length > 0 && started.length < 100);
  t.true(started.every(name => bench.endpointOf(name) === 'a'));
  while (bench.scheduler.countWorkItems() > 0) {
    for (const name of [...bench.lastAttempts.keys()]) bench.finish(name);
    bench.wait(300);
  }
  t.true(names.every(name => bench.outcomeOf(name) === 'done'));
});

// Engines spend their time on what will be thrown away.
// 1. A step wants version 2; the engine still reports 1.
// 2. The engine reports 2.
// Cause: work was begun on weights that the bound already excludes.
test('work that can not be fresh is not begun until it can', t => {
  const bench = createHarness('a');
  bench.report('a', {weightVersion: 1});
  bench.add(createWork('w0', {stepKey: 's', minWeightVersion: 2}));
  t.is(bench.endpointOf('w0'), undefined);
  bench.report('a', {weightVersion: 2});
  bench.wait(300);
  t.is(bench.endpointOf('w0'), 'a');
});

// A sample under way is already over the bound and runs on to its end.
// 1. A sample has output of version 1; the bound rises to 2.
// Cause: only whole output was compared with the bound.
test('a running sample over the bound is stopped and begun anew', t => {
  const bench = createHarness('a');
  bench.report('a', {weightVersion: 1});
  bench.add(createWork('w0', {stepKey: 's', minWeightVersion: 1}));
  bench.progress('w0', 10, 1);
  bench.report('a', {weightVersion: 2, measuredAtMs: bench.nowMs + 1});
  bench.handle({kind: 'min_version', stepKey: 's', minWeightVersion: 2});
  bench.wait(300);
  t.is(bench.actions.filter(action => action.kind === 'stop').length, 1);
  t.is(bench.lastAttempts.get('w0')!.attempt, 2);
});

// An app's request waits behind a trainer's flood.
// 1. A thousand rollouts are queued; each engine runs as many as it may.
// 2. An interactive request comes.
// Cause: rollouts had taken every slot.
test('an interactive request starts at once under a flood of rollouts', t => {
  const bench = createHarness('a', 'b');
  bench.add(...createNames(1000).map(name => createWork(name)));
  const started = bench.lastAttempts.size;
  t.true(started > 10 && started < 100, `${started} started`);
  bench.handle({
    kind: 'enqueue',
    work: createWork('app', {workClass: 'interactive'}),
  });
  t.truthy(bench.endpointOf('app'));
});

// A caller waits for an answer that was never going to come.
// 1. As many works of a tenant wait as its rule allows, or time runs out.
// Cause: the refusal was held back until some timeout.
test('what is refused for want of room or time is told at once', t => {
  const bench = createHarness('a');
  bench.add(...createNames(50).map(name => createWork(name)));
  const actions = bench.handle({
    kind: 'enqueue',
    work: createWork('late', {maxQueue: 10}),
  });
  t.like(actions[0], {kind: 'give_up', error: {kind: 'overloaded'}});
  const [refused] = actions;
  t.true(refused.kind === 'give_up' && refused.error.retryAfterMs! > 0);
  bench.handle({
    kind: 'enqueue',
    work: createWork('short', {deadlineAtMs: bench.nowMs + 500}),
  });
  bench.wait(500);
  const expired = bench.actions.find(
    a => a.kind === 'give_up' && a.workId === 'short',
  );
  t.like(expired, {error: {kind: 'deadline_passed', ran: 'no'}});
});

// A large step comes back with most of its samples missing.
// 1. A step has more samples than the rule lets a tenant queue.
// 2. A second step of the tenant comes while the first waits.
// Cause: the bound was held against samples rather than steps.
test('a step is taken whole or not at all', t => {
  const bench = createHarness('a');
  const create = (stepKey: string) =>
    createNames(100).map(name =>
      createWork(`${stepKey}-${name}`, {stepKey, maxQueue: 10}),
    );
  bench.add(...create('s1'));
  t.is(bench.scheduler.countWorkItems(), 100);
  bench.add(...create('s2'));
  t.is(bench.scheduler.countWorkItems(), 100);
  t.is(bench.outcomeOf('s2-w99'), 'overloaded');
});

// A step waits for a sample on a slow engine while others stand idle.
// 1. Two samples run; one engine makes a tenth of the other's tokens.
// Cause: a sample stayed where it was begun.
test('a straggler moves to a faster endpoint with its output', t => {
  const bench = createHarness('a', 'b');
  const names = createNames(8);
  bench.add(...names.map(name => createWork(name, {maxTokens: 10_000})));
  for (let second = 1; second <= 60; second++) {
    for (const name of names) {
      const isSlow = bench.endpointOf(name) === 'a';
      bench.progress(name, second * (isSlow ? 10 : 100));
    }
    bench.wait(1000);
    if (bench.actions.some(action => action.kind === 'stop')) break;
  }
  const moved = bench.actions.filter(action => action.kind === 'start').at(-1);
  t.like(moved, {endpoint: 'b', attempt: 2});
  t.true(moved?.kind === 'start' && moved.resumeTokens > 0);
});

// The VMs together send an endpoint more than it takes.
// 1. Nine other VMs tell that they have work in flight at the only engine.
// 2. This VM has a long queue.
// Cause: each VM took the endpoint's limit for its own.
test('a VM takes no more than its part of an endpoint in use by others', t => {
  const bench = createHarness('a');
  const vms = Array.from({length: 10}, (_, i) => toVmId(`vm-${i + 1}`));
  bench.handle({kind: 'vms', vms});
  const inFlight = new Map([[toEndpointId('a'), 2]]);
  for (const vm of vms.slice(1)) {
    bench.handle({kind: 'peer_load', vm, inFlight});
  }
  bench.add(...createNames(50).map(name => createWork(name)));
  t.true(bench.lastAttempts.size <= 2, `${bench.lastAttempts.size} started`);
  for (const vm of vms.slice(1)) {
    bench.handle({kind: 'peer_load', vm, inFlight: new Map()});
  }
  t.true(bench.lastAttempts.size > 10, `${bench.lastAttempts.size} started`);
});
