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

/** A scheduler with its clock, its actions and each work item's latest attempt. */
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

  add(...workItems: readonly WorkItem[]): void {
    for (const work of workItems) this.handle({kind: 'enqueue', work});
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

  /** Fails all work items whose latest attempt runs on the endpoint. */
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

// Guards against work being cut off on an endpoint that is about to leave: the
// engine has reported it, but the outdated VM list still shows it as live.
test('an endpoint that reports leaving receives no new work', t => {
  const harness = createHarness('a', 'b');
  harness.report('a', {leaving: true});
  harness.handle({
    kind: 'endpoints',
    endpoints: [createEndpoint('a'), createEndpoint('b')],
  });
  const names = createNames(6);
  harness.add(...names.map(name => createWork(name)));
  t.true(names.every(name => harness.endpointOf(name) === 'b'));
});

// Guards against leaving a healthy engine unused after one of its connections went
// silent, while other attempts on it make progress.
test('a silent connection does not make its endpoint unusable', t => {
  const harness = createHarness('a');
  harness.add(createWork('w0'), createWork('w1'));
  harness.fail('w0', 'silent');
  harness.add(createWork('w2'));
  t.is(harness.endpointOf('w2'), 'a');
  t.is(harness.endpointOf('w0'), 'a');
  t.is(harness.lastAttempts.get('w0')!.attempt, 2);
});

// Guards against a step that waits for a long sample generated twice because the
// output received before an engine's crash was discarded.
test('after a crash a rollout resumes from its output on another endpoint', t => {
  const harness = createHarness('a', 'b');
  harness.add(createWork('w0'));
  const first = harness.endpointOf('w0')!;
  harness.progress('w0', 60);
  harness.fail('w0', 'crashed', 60);
  const start = harness.actions
    .filter(action => action.kind === 'start')
    .at(-1);
  t.like(start, {attempt: 2, resumeTokens: 60, resumeAttempt: 1});
  t.not(harness.endpointOf('w0'), first);
});

// Guards against a request that crashes one engine after another, and against
// refusing the innocent requests in flight there. The sample crashes its engine
// four times, twice as an isolated suspect, and is then sent again.
test('a request that crashes engines is refused and others in flight are not', t => {
  const harness = createHarness('a', 'b', 'c');
  const healthy = createNames(6);
  const workItems = [...healthy, 'poison'].map(id =>
    createWork(id, {maxAttempts: 6}),
  );
  harness.add(...workItems);
  let crashes = 0;
  for (; crashes < 10 && !harness.outcomeOf('poison'); crashes++) {
    const endpoint = harness.endpointOf('poison');
    if (endpoint) harness.crash(endpoint);
    harness.wait(1000);
    for (const id of ['a', 'b', 'c']) harness.report(id, {});
    harness.wait(100);
  }
  t.is(harness.outcomeOf('poison'), 'suspect_request');
  t.is(crashes, 4);
  harness.wait(1000);
  for (const name of healthy) harness.finish(name);
  t.true(healthy.every(name => harness.outcomeOf(name) === 'done'));
  harness.add(createWork('again', {fingerprint: 'poison'}));
  t.is(harness.outcomeOf('again'), 'suspect_request');
});

// Guards against a request that crashes a plain service repeatedly. Services don't
// report a crash as engines do; it shows as a broken connection followed by a
// refused one, or as a broken one while the request is isolated on the endpoint.
test('a service that refuses connections after broken ones counts as crashed', t => {
  const harness = createHarness('a');
  const create = (id: string, fingerprint = 'poison') =>
    createWork(id, {
      workClass: 'interactive',
      idempotent: false,
      maxAttempts: 1,
      fingerprint,
    });
  for (const id of ['first', 'second']) {
    harness.add(create(id));
    harness.fail(id, 'connection_lost');
    harness.wait(3000);
    harness.add(create(`${id}-probe`, 'probe'));
    harness.fail(`${id}-probe`, 'connect_failed');
    harness.wait(20_000);
  }
  const crashes = harness.actions.filter(a => a.kind === 'report_crash');
  t.is(crashes.length, 2);
  for (const id of ['third', 'fourth']) {
    harness.add(create(id));
    harness.fail(id, 'connection_lost');
    harness.wait(20_000);
  }
  harness.add(create('fifth'));
  t.is(harness.outcomeOf('fifth'), 'suspect_request');
});

// Guards against delivering a rollout older than the bound: it is generated with
// version 3, and the bound rises to 4 before it is complete.
test('output that has become stale is generated again or given up', t => {
  const harness = createHarness('a');
  harness.report('a', {weightVersion: 3});
  const work = createWork('w0', {
    stepKey: 's',
    minWeightVersion: 3,
    maxAttempts: 2,
  });
  harness.add(work);
  harness.report('a', {weightVersion: 4});
  const minWeightVersion = 4;
  harness.handle({kind: 'min_version', stepKey: 's', minWeightVersion});
  harness.finish('w0', 3);
  t.is(harness.outcomeOf('w0'), undefined);
  harness.wait(100);
  harness.lastAttempts.set('w0', {attempt: 2, endpoint: 'a'});
  harness.finish('w0', 3);
  t.is(harness.outcomeOf('w0'), 'not_fresh_in_time');
});

// Guards against samples of the wrong model when two engines of one group serve
// different models and one of them is full.
test('work runs on engines of its model and does not block other models', t => {
  const harness = createHarness();
  const endpoints = ['a', 'b'].map(id => ({
    ...createEndpoint(id),
    model: `model-${id}`,
  }));
  harness.handle({kind: 'endpoints', endpoints});
  const names = createNames(100);
  harness.add(...names.map(name => createWork(name, {model: 'model-a'})));
  harness.add(createWork('other', {model: 'model-b'}));
  t.is(harness.endpointOf('other'), 'b');
  const started = names.filter(name => harness.lastAttempts.has(name));
  t.true(started.length > 0 && started.length < 100);
  t.true(started.every(name => harness.endpointOf(name) === 'a'));
  while (harness.scheduler.countWorkItems() > 0) {
    for (const name of [...harness.lastAttempts.keys()]) harness.finish(name);
    harness.wait(300);
  }
  t.true(names.every(name => harness.outcomeOf(name) === 'done'));
});

// Guards against generating output that will be discarded: the step requires
// version 2, and the engine still reports version 1.
test('work does not start before an engine has weights within its bound', t => {
  const harness = createHarness('a');
  harness.report('a', {weightVersion: 1});
  harness.add(createWork('w0', {stepKey: 's', minWeightVersion: 2}));
  t.is(harness.endpointOf('w0'), undefined);
  harness.report('a', {weightVersion: 2});
  harness.wait(300);
  t.is(harness.endpointOf('w0'), 'a');
});

// Guards against checking only complete output: a running sample has output of
// version 1 when the bound rises to 2.
test('a running sample older than the bound is stopped and restarted', t => {
  const harness = createHarness('a');
  harness.report('a', {weightVersion: 1});
  harness.add(createWork('w0', {stepKey: 's', minWeightVersion: 1}));
  harness.progress('w0', 10, 1);
  harness.report('a', {weightVersion: 2, measuredAtMs: harness.nowMs + 1});
  harness.handle({kind: 'min_version', stepKey: 's', minWeightVersion: 2});
  harness.wait(300);
  t.is(harness.actions.filter(action => action.kind === 'stop').length, 1);
  t.is(harness.lastAttempts.get('w0')!.attempt, 2);
});

// Guards against rollouts occupying every slot: an interactive request arrives
// while 1000 rollouts are queued and all engines run as many as they may.
test('an interactive request starts immediately under a flood of rollouts', t => {
  const harness = createHarness('a', 'b');
  harness.add(...createNames(1000).map(name => createWork(name)));
  const started = harness.lastAttempts.size;
  t.true(started > 10 && started < 100, `${started} started`);
  harness.handle({
    kind: 'enqueue',
    work: createWork('app', {workClass: 'interactive'}),
  });
  t.truthy(harness.endpointOf('app'));
});

// Guards against a caller that waits for a timeout although its request is already
// refused for a full queue or a passed deadline.
test('a request without room or time is refused immediately', t => {
  const harness = createHarness('a');
  harness.add(...createNames(50).map(name => createWork(name)));
  const actions = harness.handle({
    kind: 'enqueue',
    work: createWork('late', {maxQueue: 10}),
  });
  t.like(actions[0], {kind: 'give_up', error: {kind: 'overloaded'}});
  const [refused] = actions;
  t.true(refused.kind === 'give_up' && refused.error.retryAfterMs! > 0);
  harness.handle({
    kind: 'enqueue',
    work: createWork('short', {deadlineAtMs: harness.nowMs + 500}),
  });
  harness.wait(500);
  const expired = harness.actions.find(
    a => a.kind === 'give_up' && a.workId === 'short',
  );
  t.like(expired, {error: {kind: 'deadline_passed', ran: 'no'}});
});

// Guards against a step that loses samples because it has more of them than the
// rule lets a tenant queue. A second step is refused while the first one waits.
test('a step is admitted completely or not at all', t => {
  const harness = createHarness('a');
  const create = (stepKey: string) =>
    createNames(100).map(name =>
      createWork(`${stepKey}-${name}`, {stepKey, maxQueue: 10}),
    );
  harness.add(...create('s1'));
  t.is(harness.scheduler.countWorkItems(), 100);
  harness.add(...create('s2'));
  t.is(harness.scheduler.countWorkItems(), 100);
  t.is(harness.outcomeOf('s2-w99'), 'overloaded');
});

// Guards against a step that waits for samples on an engine ten times slower than
// another one that has room.
test('a straggler moves to a faster endpoint with its output', t => {
  const harness = createHarness('a', 'b');
  const names = createNames(8);
  harness.add(...names.map(name => createWork(name, {maxTokens: 10_000})));
  for (let second = 1; second <= 60; second++) {
    for (const name of names) {
      const isSlow = harness.endpointOf(name) === 'a';
      harness.progress(name, second * (isSlow ? 10 : 100));
    }
    harness.wait(1000);
    if (harness.actions.some(action => action.kind === 'stop')) break;
  }
  const moved = harness.actions
    .filter(action => action.kind === 'start')
    .at(-1);
  t.like(moved, {endpoint: 'b', attempt: 2});
  t.true(moved?.kind === 'start' && moved.resumeTokens > 0);
});

// Guards against VMs that together overload an endpoint because each uses the
// complete limit: nine other VMs have work in flight on the only engine.
test('a VM uses no more than its share of an endpoint used by others', t => {
  const harness = createHarness('a');
  const vms = Array.from({length: 10}, (_, i) => toVmId(`vm-${i + 1}`));
  harness.handle({kind: 'vms', vms});
  const inFlight = new Map([[toEndpointId('a'), 2]]);
  for (const vm of vms.slice(1)) {
    harness.handle({kind: 'peer_load', vm, inFlight});
  }
  harness.add(...createNames(50).map(name => createWork(name)));
  t.true(
    harness.lastAttempts.size <= 2,
    `${harness.lastAttempts.size} started`,
  );
  for (const vm of vms.slice(1)) {
    harness.handle({kind: 'peer_load', vm, inFlight: new Map()});
  }
  t.true(
    harness.lastAttempts.size > 10,
    `${harness.lastAttempts.size} started`,
  );
});
