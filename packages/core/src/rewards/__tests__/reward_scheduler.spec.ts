import test from 'ava';
import type {Job} from '../../batches/batch_job.js';
import type {EndpointCandidate} from '../../routing/endpoint_choice.js';
import {RewardScheduler} from '../reward_scheduler.js';
import {
  createCandidate,
  createUnscored,
  listCalls,
  listCancelled,
} from './reward_fixtures.js';

function createScheduler(endpoints: readonly EndpointCandidate[]) {
  const scheduler = new RewardScheduler('dc', 'term');
  const decide = (jobs: readonly Job[], nowMs: number) =>
    scheduler.decide(jobs, () => ({endpoints}), nowMs, 0);
  return {scheduler, decide};
}

// Guards against app users who wait while a step is scored.
// 1. All output of a step ends within a second: 30 calls for 12 slots.
// 2. An app's request occupies a slot for 29 ms, a reward call for 229 ms.
// Without reserved slots, reward calls take all slots of all endpoints.
test('a burst of calls spreads and leaves slots to other requests', t => {
  const ids = Array.from({length: 30}, (_, i) => `g0-${i}`);
  const {decide} = createScheduler([
    createCandidate('a1'),
    createCandidate('a2'),
  ]);
  const calls = listCalls(decide(createUnscored(ids), 0));
  const at = (id: string) => calls.filter(c => c.endpointId === id).length;
  t.is(at('a1'), 4);
  t.is(at('a2'), 4);
});

test('an endpoint with one slot still gets calls', t => {
  const {decide} = createScheduler([createCandidate('a1', {slots: 1})]);
  t.is(listCalls(decide(createUnscored(['g0a', 'g0b']), 0)).length, 1);
});

test('a call that takes too long is hedged once, on another endpoint', t => {
  const {decide} = createScheduler([
    createCandidate('a1'),
    createCandidate('a2'),
  ]);
  const jobs = createUnscored(['g0a']);
  const [first] = listCalls(decide(jobs, 0));
  t.deepEqual(decide(jobs, 500), []);
  const [second] = listCalls(decide(jobs, 600));
  t.not(second.endpointId, first.endpointId);
  t.deepEqual(decide(jobs, 2000), []);
});

test('a failed call is repeated on another endpoint at once', t => {
  const {scheduler, decide} = createScheduler([
    createCandidate('a1'),
    createCandidate('a2'),
  ]);
  const jobs = createUnscored(['g0a']);
  const [first] = listCalls(decide(jobs, 0));
  scheduler.onCallEnd(first, {kind: 'failed'}, 100);
  const [again] = listCalls(decide(jobs, 100));
  t.not(again.endpointId, first.endpointId);
});

// Guards against a call that meets one crash after another, and against one that is not made again afterwards.
test('a call pauses after repeated breaks, for at most 3 s each time', t => {
  const {scheduler, decide} = createScheduler([
    createCandidate('a1'),
    createCandidate('a2'),
  ]);
  const jobs = createUnscored(['g0a']);
  let nowMs = 0;
  const breakCall = () => {
    const [call] = listCalls(decide(jobs, nowMs));
    scheduler.onCallEnd(call, {kind: 'broken'}, nowMs);
  };
  for (let i = 0; i < 3; i++) breakCall();
  for (const pauseMs of [2000, 3000, 3000, 3000, 3000, 3000, 3000]) {
    t.deepEqual(decide(jobs, nowMs + pauseMs - 1), []);
    nowMs += pauseMs;
    breakCall();
  }
});

test('calls for items that no longer wait are cancelled', t => {
  const {scheduler, decide} = createScheduler([createCandidate('a1')]);
  const jobs = createUnscored(['g0a', 'g0b']);
  const calls = listCalls(decide(jobs, 0));
  const [cancelled] = listCancelled(decide([jobs[0]], 10));
  t.is(cancelled.id, calls.find(({job}) => job === jobs[1])!.id);
  scheduler.onCallEnd(cancelled, {kind: 'cancelled'}, 11);
  t.deepEqual(decide([jobs[0]], 20), []);
});

test('no call starts without a route that allows it', t => {
  const scheduler = new RewardScheduler('dc', 'term');
  const jobs = createUnscored(['g0a']);
  t.deepEqual(
    scheduler.decide(jobs, () => undefined, 0, 0),
    [],
  );
});
