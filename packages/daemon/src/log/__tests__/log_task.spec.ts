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

/** A log with as many log tasks as `vms` names; all are ended with the test. */
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

/** A retention so short that a checkpoint is due at each tick. */
const IMMEDIATE_CHECKPOINT_RETENTION_MS = 0;

/** Waits until `done` holds after some change that `task` reports. */
async function waitFor(task: LogTask, done: () => boolean): Promise<void> {
  await task.changes.takeWhile(() => !done()).drain();
}

const REQUEST_CLAIM = {
  kind: 'request_claimed',
  tenant: toTenantId('app'),
  req: toRequestId('r1'),
} as const;

// A note is filed twice on a grower's record.
// 1. A VM claims the request id; the log takes the record, its answer is lost.
// 2. The VM takes that for a failure and gives the claim up, or counts its own
//    second copy as a claim of somebody else.
test('an append whose answer was lost stands once', async t => {
  const {log, tasks} = await createVms(t, ['a', 'b']);
  const [a, b] = tasks as [LogTask, LogTask];
  log.faults.set({kind: 'lose_answers', next: 2});
  const first = await a.append(REQUEST_CLAIM);
  t.true(first.ok && first.value.verdict.kind === 'accepted');
  const second = await b.append(REQUEST_CLAIM);
  t.true(second.ok && second.value.verdict.kind === 'void');
});

test('one of two VMs gets a lease, and the other after it was given back', async t => {
  const {tasks} = await createVms(t, ['a', 'b']);
  const claims = await Promise.all(tasks.map(task => task.claim('step:x/1')));
  t.deepEqual(claims.map(claim => claim.ok).sort(), [false, true]);
  const winner = tasks[claims.findIndex(claim => claim.ok)]!;
  const loser = tasks.find(task => task !== winner)!;
  const won = claims.find(claim => claim.ok);
  const held = {lease: 'step:x/1', fencing: won?.ok ? won.value : -1};
  t.true(winner.holds(held));
  await winner.closeSession();
  const next = await loser.claim('step:x/1');
  t.true(next.ok && next.value > held.fencing);
  t.false(loser.holds(held));
});

// An operator's change vanishes: two publish at once from the same version.
test('of two operators one wins on every VM, the other is told', async t => {
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

// A VM that was cut off acts on what it remembers.
test('an outage is told, survived, and shows in the health', async t => {
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

// A note is filed twice, and a configuration is gone, a day after it was made.
// 1. A request id is claimed and rules are published.
// 2. The log's retention drops both records.
// 3. A VM starts, reads what is left, and knows of neither.
test('a VM that starts after retention dropped records holds the same state', async t => {
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
  const again = await late.publish({...publication, text: 'other rules'});
  t.true(again.ok && again.value.kind === 'lost_race');
  t.deepEqual(late.config.current(team), a.config.current(team));
});
