import {DEFAULT_CLAIM_HORIZON_MS} from '@radishyoke/core/ledger/state_fold';
import {type FakeLog, startFakeLog} from '@radishyoke/fakes/fake_log';
import {HttpLogClient} from '@radishyoke/stores/http_log_client';
import {
  toIncarnationId,
  toRequestId,
  toTeamId,
  toTenantId,
  toVmId,
} from '@radishyoke/shared/ids';
import test, {type ExecutionContext} from 'ava';
import {DEFAULT_SESSION_TIMING} from '../session_tracker.js';
import {LogTask} from '../log_task.js';

const LOG_RETENTION_MS = 3_600_000;

/**
 * Starts a log and one log task per name in `vms`; all are closed with the
 * test.
 */
async function createVms(t: ExecutionContext, vms: readonly string[]) {
  const log = await startFakeLog();
  t.teardown(() => log.close());
  const tasks = vms.map(vm => startTask(t, log, vm));
  return {log, tasks};
}

function startTask(
  t: ExecutionContext,
  log: FakeLog,
  vm: string,
  logRetentionMs = LOG_RETENTION_MS,
): LogTask {
  const client = new HttpLogClient(log.address);
  const task = new LogTask(client, {
    vm: toVmId(vm),
    incarnation: toIncarnationId(`${vm}-1`),
    session: DEFAULT_SESSION_TIMING,
    deploymentAppendsPerSecond: 300,
    claimHorizonMs: DEFAULT_CLAIM_HORIZON_MS,
    logRetentionMs,
    checkConfig: () => undefined,
  });
  task.start();
  t.teardown(async () => {
    task.stop();
    await client.close();
  });
  return task;
}

/** A retention so short that a checkpoint is due at every tick. */
const IMMEDIATE_CHECKPOINT_RETENTION_MS = 0;

/** Waits until `done` returns true after a change that `task` emits. */
async function waitFor(task: LogTask, done: () => boolean): Promise<void> {
  await task.changes.takeWhile(() => !done()).drain();
}

const REQUEST_CLAIM = {
  kind: 'request_claimed',
  tenant: toTenantId('app'),
  req: toRequestId('r1'),
} as const;

// Guards against a request that runs twice.
// 1. A VM claims the request id; the log stores the record, but its answer is
//    lost.
// 2. The VM treats that as a failure and drops the claim, or mistakes its own
//    repeated copy for the claim of another VM.
test('an append whose answer was lost takes effect once', async t => {
  const {log, tasks} = await createVms(t, ['a', 'b']);
  const [a, b] = tasks as [LogTask, LogTask];
  log.faults.set({kind: 'lose_answers', next: 2});
  const first = await a.append(REQUEST_CLAIM);
  t.true(first.ok && first.value.verdict.kind === 'accepted');
  const second = await b.append(REQUEST_CLAIM);
  t.true(second.ok && second.value.verdict.kind === 'void');
});

test('of two VMs one gets a lease, and the other gets it after its release', async t => {
  const {tasks} = await createVms(t, ['a', 'b']);
  const claims = await Promise.all(tasks.map(task => task.claim('step:x/1')));
  t.deepEqual(claims.map(claim => claim.ok).sort(), [false, true]);
  const winner = tasks[claims.findIndex(claim => claim.ok)]!;
  const loser = tasks.find(task => task !== winner)!;
  const acceptedClaim = claims.find(claim => claim.ok);
  const held = {
    lease: 'step:x/1',
    fencing: acceptedClaim?.ok ? acceptedClaim.value : -1,
  };
  t.true(winner.holds(held));
  await winner.closeSession();
  const next = await loser.claim('step:x/1');
  t.true(next.ok && next.value > held.fencing);
  t.false(loser.holds(held));
});

// Guards against a lost configuration change when two operators publish at the
// same time, based on the same version.
test('of two concurrent publications every VM accepts the same one and refuses the other', async t => {
  const {tasks} = await createVms(t, ['a', 'b']);
  const publication = {team: toTeamId('k'), basedOn: -1, author: 'op'};
  const outcomes = await Promise.all(
    tasks.map((task, i) => task.publish({...publication, text: `rules ${i}`})),
  );
  const kinds = outcomes.map(o => (o.ok ? o.value.kind : o.error.kind));
  t.deepEqual(kinds.sort(), ['accepted', 'lost_race']);
  const versions = tasks.map(task => task.config.current(publication.team));
  t.deepEqual(versions[0], versions[1]);
});

// Guards against a VM that does not notice an outage of the log and acts on
// stale state.
test('an append survives an outage, which is reported as a change of health', async t => {
  const {log, tasks} = await createVms(t, ['a']);
  const [a] = tasks as [LogTask];
  const seen: string[] = [];
  const done = a.changes
    .tap(change => {
      if (change.kind === 'health') {
        seen.push(change.health.outageSinceMs === undefined ? 'up' : 'down');
        if (seen.at(-1) === 'down') log.faults.clear();
      }
    })
    .takeWhile(() => seen.at(-1) !== 'up')
    .drain();
  log.faults.set({kind: 'outage'});
  const appended = a.append(REQUEST_CLAIM);
  await done;
  t.true((await appended).ok);
  t.is(seen[0], 'down');
});

// Guards against a request that runs twice and a configuration that is lost.
// 1. A request id is claimed and rules are published.
// 2. The log's retention drops both records.
// 3. A VM starts, reads the remaining records, and has neither.
test('a VM that starts after retention dropped records restores the same state from checkpoints', async t => {
  const {log, tasks} = await createVms(t, ['a']);
  const [a] = tasks as [LogTask];
  const team = toTeamId('k');
  const publication = {team, basedOn: -1, author: 'op', text: 'rules'};
  await a.publish(publication);
  await a.append(REQUEST_CLAIM);
  const dropBelow = {state: a.state.next, config: a.config.next};
  const checkpointer = startTask(
    t,
    log,
    'b',
    IMMEDIATE_CHECKPOINT_RETENTION_MS,
  );
  await waitFor(
    checkpointer,
    () => a.state.next > dropBelow.state && a.config.next > dropBelow.config,
  );
  log.model.dropBelow('state', dropBelow.state);
  log.model.dropBelow('config', dropBelow.config);
  const late = startTask(t, log, 'c');
  const claim = await late.append(REQUEST_CLAIM);
  t.true(claim.ok && claim.value.verdict.kind === 'void');
  const laterPublication = await late.publish({
    ...publication,
    text: 'other rules',
  });
  t.true(laterPublication.ok && laterPublication.value.kind === 'lost_race');
  t.deepEqual(late.config.current(team), a.config.current(team));
});
