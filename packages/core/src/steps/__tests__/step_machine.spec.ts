import test from 'ava';
import {toEndpointId, toStepId} from '@radishyoke/shared/ids';
import type {StepRequest} from '@radishyoke/shared/rollout';
import {StepMachine, StepMachineOptions} from '../step_machine.js';
import type {StepInput, StepOutput} from '../step_message.js';

function createStepRequest(samples: number): StepRequest {
  return {
    model: 'tutor',
    weightVersion: 5,
    maxStaleness: 1,
    timeoutMs: 10_000,
    groups: [{prompt: 'p', samples, maxTokens: 10}],
  };
}

function createMachine(
  samples: number,
  extra: Partial<StepMachineOptions> = {},
): StepMachine {
  return new StepMachine({
    step: toStepId('s'),
    req: createStepRequest(samples),
    fencing: 7,
    openedAtMs: 0,
    ownedFromMs: 0,
    ...extra,
  });
}

function finish(
  machine: StepMachine,
  sample: number,
  version: number,
  nowMs = 1,
) {
  return machine.handle(
    {
      kind: 'finished',
      output: {
        group: 0,
        sample,
        attempt: 1,
        endpoint: toEndpointId('e'),
        text: `text ${sample}`,
        spans: [{weightVersion: version, tokens: 3}],
        finishReason: 'stop',
      },
    },
    nowMs,
  );
}

/** Creates the input for the commit of `sample` at `cursor` in the log. */
function createCommitted(sample: number, cursor: number): StepInput {
  const output = {attempt: 1, endpoint: toEndpointId('e'), spans: []};
  const committed = {...output, group: 0, sample, cursor, digest: ''};
  return {kind: 'committed', samples: [committed]};
}

function listSentCursors(out: readonly StepOutput[]): readonly number[] {
  return out.flatMap(o =>
    o.kind === 'send' && o.event.kind === 'rollout' ? [o.event.cursor] : [],
  );
}

test('sends only committed samples, in cursor order', t => {
  const machine = createMachine(2);
  t.is(machine.begin().filter(o => o.kind === 'run').length, 2);
  machine.handle({kind: 'attached', cursor: 0, weightVersion: 5}, 0);
  t.deepEqual(listSentCursors(finish(machine, 0, 5)), []);
  t.deepEqual(listSentCursors(finish(machine, 1, 5)), []);
  const early = machine.handle(createCommitted(0, 2), 2);
  t.deepEqual(listSentCursors(early), []);
  const both = machine.handle(createCommitted(1, 1), 3);
  t.deepEqual(listSentCursors(both), [1, 2]);
  const last = machine.handle(
    {kind: 'acknowledged', cursor: 2, weightVersion: 5},
    4,
  );
  t.like(last.at(-1), {kind: 'close', reason: 'complete'});
});

// Guards against a trainer receiving output older than its staleness bound.
// 1. A rollout of version 5 is committed while no connection is open.
// 2. The trainer reconnects two versions later with a bound of one.
// It happens if staleness is checked only when the rollout finishes.
test('voids a winner that became stale before it was sent', t => {
  const machine = createMachine(1);
  machine.begin();
  finish(machine, 0, 5);
  machine.handle(createCommitted(0, 1), 2);
  const out = machine.handle(
    {kind: 'attached', cursor: 0, weightVersion: 7},
    3,
  );
  t.deepEqual(listSentCursors(out), []);
  t.true(out.some(o => o.kind === 'void'));
  t.true(out.some(o => o.kind === 'run' && o.minWeightVersion === 6));
});

// Guards against a trainer receiving a rollout twice after the owner was
// replaced.
// 1. The old owner commits cursors 1 and 2; the trainer receives only 1.
// 2. A new owner reads the log; no engine still has the text of either cursor.
// It happens if the new owner runs a sample again before the trainer has
// reported what it received.
test('a new owner runs again only what the trainer has not received', t => {
  const committed = [0, 1].map(sample => ({
    group: 0,
    sample,
    attempt: 1,
    cursor: sample + 1,
    endpoint: toEndpointId('e'),
    spans: [{weightVersion: 5, tokens: 3}],
    digest: 'd',
  }));
  const machine = createMachine(2, {
    history: {
      committed,
      acknowledgedCursor: 0,
      highestCursor: 2,
      weightVersion: 5,
      attempts: new Map([
        ['0/0', 1],
        ['0/1', 1],
      ]),
    },
  });
  t.is(machine.begin().filter(o => o.kind === 'recover').length, 2);
  for (const cursor of [1, 2]) {
    t.deepEqual(machine.handle({kind: 'recovered', cursor}, 1), []);
  }
  const out = machine.handle(
    {kind: 'attached', cursor: 1, weightVersion: 5},
    2,
  );
  const runs = out.filter(o => o.kind === 'run');
  t.deepEqual(
    runs.map(o => [o.sample, o.firstAttempt]),
    [[1, 2]],
  );
});

test('reports every unfinished sample as a shortfall at the deadline', t => {
  const machine = createMachine(2);
  machine.begin();
  machine.handle({kind: 'attached', cursor: 0, weightVersion: 5}, 0);
  const out = machine.handle({kind: 'tick'}, 10_000);
  t.is(out.filter(o => o.kind === 'commit').length, 2);
  machine.handle(createCommitted(0, 1), 10_001);
  const sent = machine.handle(createCommitted(1, 2), 10_001);
  t.deepEqual(
    sent.flatMap(o => (o.kind === 'send' ? [o.event.kind] : [])),
    ['shortfall', 'end'],
  );
});

// Guards against a step that ends with too few samples minutes before its
// deadline. It happens if the scheduler's refusal while all endpoints of a
// group are briefly gone ends the sample.
test('a sample that no endpoint could take runs again', t => {
  const machine = createMachine(1);
  machine.begin();
  const failed: StepInput = {
    kind: 'failed',
    group: 0,
    sample: 0,
    error: {kind: 'no_endpoint', detail: '', retryAfterMs: 200},
  };
  t.deepEqual(machine.handle(failed, 1000), []);
  t.deepEqual(machine.handle({kind: 'tick'}, 1199), []);
  t.like(machine.handle({kind: 'tick'}, 1200), {0: {kind: 'run', sample: 0}});
});

// Guards against a step that never ends, or a VM that blocks, when a trainer
// connects with a cursor far beyond anything committed. It happens if the
// cursor is accepted without a check.
test('a cursor beyond what was committed skips nothing', t => {
  const machine = createMachine(1);
  machine.begin();
  const cursor = Number.MAX_SAFE_INTEGER;
  machine.handle({kind: 'attached', cursor, weightVersion: 5}, 0);
  machine.handle({kind: 'acknowledged', cursor, weightVersion: 5}, 0);
  finish(machine, 0, 5);
  const out = machine.handle(createCommitted(0, 1), 2);
  t.deepEqual(listSentCursors(out), [1]);
});
