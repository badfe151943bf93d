import test from 'ava';
import type {StateRecord} from '@radishyoke/shared/log_record';
import {toRequestId} from '@radishyoke/shared/ids';
import {DEFAULT_CLAIM_HORIZON_MS, StateFold} from '../state_fold.js';
import {
  commitSample,
  openStep,
  RecordFixture,
  type StateBody,
  STEP,
  TENANT,
} from '../../simulation/log_fixtures.js';

const TTL_MS = 5000;
const LEASE = `step:${TENANT}/${STEP}`;
const SESSION: StateBody = {kind: 'session', ttlMs: TTL_MS};
const CLAIM: StateBody = {kind: 'lease_claimed', lease: LEASE};

function createFold() {
  const stream = new RecordFixture<StateRecord>();
  const fold = new StateFold();
  const add = (vm: string, body: StateBody, timeMs: number) =>
    fold.apply(stream.add(vm, body, timeMs));
  return {stream, fold, add};
}

function commit(fencing: number, ...samples: number[]): StateBody {
  return {
    kind: 'samples_committed',
    tenant: TENANT,
    step: STEP,
    fencing,
    samples: samples.map(sample => commitSample(sample)),
  };
}

// Guards against a trainer receiving a sample from two owners.
// 1. VM a owns the step and is paused; its session expires.
// 2. VM b claims the step and commits sample 0.
// 3. VM a resumes, still acts as the owner and commits samples 0 and 1.
// Without fencing only VM a's own clock shows that its lease has expired.
test('a paused owner commits nothing after another claim', t => {
  const {fold, add} = createFold();
  add('a', openStep(2), 0);
  add('a', SESSION, 0);
  t.deepEqual(add('a', CLAIM, 0), {kind: 'accepted', fencing: 2});
  add('b', SESSION, TTL_MS - 1);
  t.deepEqual(add('b', CLAIM, TTL_MS - 1), {
    kind: 'void',
    reason: 'lease_held',
  });
  t.deepEqual(add('b', CLAIM, TTL_MS), {kind: 'accepted', fencing: 5});
  t.is(add('b', commit(5, 0), TTL_MS).kind, 'accepted');
  add('a', SESSION, TTL_MS + 1);
  t.deepEqual(add('a', commit(2, 0, 1), TTL_MS + 1), {
    kind: 'void',
    reason: 'stale_fencing',
  });
  t.deepEqual(
    fold
      .findStep(TENANT, STEP)!
      .listCommitted()
      .map(s => [s.sample, s.cursor]),
    [[0, 1]],
  );
});

// Guards against a request that runs twice.
// 1. A VM claims a request id; the append takes effect but its response is
//    lost.
// 2. The VM appends the same record again, and the caller, without a response,
//    sends the request to another VM as well.
// It happens if a lost response is treated as a failed append.
test('one claim on a request id wins, however often it is appended', t => {
  const {stream, fold, add} = createFold();
  const claim: StateBody = {
    kind: 'request_claimed',
    tenant: TENANT,
    req: toRequestId('r1'),
  };
  t.is(add('a', claim, 0).kind, 'accepted');
  t.deepEqual(fold.apply(stream.append(stream.records[0]!.value, 1)), {
    kind: 'void',
    reason: 'copy',
  });
  t.deepEqual(add('b', claim, 2), {kind: 'void', reason: 'claimed_before'});
  const later = 2 + DEFAULT_CLAIM_HORIZON_MS;
  t.is(add('b', claim, later - 1).kind, 'void');
  t.is(
    add('b', claim, later - 1 + DEFAULT_CLAIM_HORIZON_MS).kind,
    'accepted',
    'the horizon counts from the last claim',
  );
});

// Guards against a step that makes no progress for an hour after a crash.
// 1. The log's clock is set back by an hour.
// 2. The owner crashes; its session appears to expire only an hour later.
// It happens if the expiry is compared with a clock that was set back.
test('setting the log clock back does not prolong the session of a dead VM', t => {
  const {add} = createFold();
  const startMs = 10_000_000;
  add('a', openStep(1), startMs);
  add('a', SESSION, startMs);
  add('a', CLAIM, startMs);
  const backMs = startMs - 3_600_000;
  add('b', SESSION, backMs);
  t.is(add('b', CLAIM, backMs).kind, 'void');
  add('b', SESSION, backMs + TTL_MS);
  t.is(add('b', CLAIM, backMs + TTL_MS).kind, 'accepted');
});

test('a winner is voided only past the trainer cursor and can be committed again', t => {
  const {fold, add} = createFold();
  const owner = {tenant: TENANT, step: STEP, fencing: 2};
  add('a', openStep(2), 0);
  add('a', SESSION, 0);
  add('a', CLAIM, 0);
  add('a', commit(2, 0, 1), 1);
  add(
    'a',
    {kind: 'cursor_acknowledged', ...owner, cursor: 1, weightVersion: 3},
    1,
  );
  add('a', {kind: 'samples_voided', ...owner, cursors: [1, 2]}, 1);
  add('a', commit(2, 0, 1), 2);
  const step = fold.findStep(TENANT, STEP)!;
  t.deepEqual(
    step.listCommitted().map(s => [s.sample, s.cursor]),
    [
      [0, 1],
      [1, 3],
    ],
  );
  t.is(step.trainerVersion, 3);
  add('a', {kind: 'step_closed', ...owner, reason: 'complete'}, 3);
  t.deepEqual(add('a', commit(2, 1), 3), {
    kind: 'void',
    reason: 'step_closed',
  });
});
