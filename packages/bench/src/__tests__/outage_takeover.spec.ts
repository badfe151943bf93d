import {DEFAULT_CLAIM_HORIZON_MS} from '@radishyoke/core/ledger/state_fold';
import {LogTask} from '@radishyoke/daemon/log/log_task';
import {DEFAULT_SESSION_TIMING} from '@radishyoke/daemon/log/session_tracker';
import {LogModel} from '@radishyoke/fakes/log_model';
import {toEndpointId, toIncarnationId, toVmId} from '@radishyoke/shared/ids';
import FakeTimers from '@sinonjs/fake-timers';
import test, {type ExecutionContext} from 'ava';
import {MemoryLogClient} from '../memory_log_client.js';

const LEASE = 'orders:tutor';
const {ttlMs} = DEFAULT_SESSION_TIMING;
const OUTAGE_MS = 60_000;
const TICK_MS = 20;
const CRASH = {
  kind: 'crash_seen',
  endpoint: toEndpointId('e'),
  fingerprints: [],
} as const;

function startTask(client: MemoryLogClient, vm: string): LogTask {
  const task = new LogTask(client, {
    vm: toVmId(vm),
    incarnation: toIncarnationId('i1'),
    session: DEFAULT_SESSION_TIMING,
    deploymentAppendsPerSecond: 300,
    claimHorizonMs: DEFAULT_CLAIM_HORIZON_MS,
    logRetentionMs: 3_600_000,
    checkConfig: () => undefined,
  });
  task.start();
  return task;
}

function seesLeaseHeld(task: LogTask): boolean {
  const lease = task.state.leases.find(LEASE);
  const nowMs = task.estimateLogNowMs();
  return lease !== undefined && task.state.leases.isHeld(lease, nowMs);
}

// All steps move and what they had finished is generated again, though no VM
// failed.
// 1. The log is down for a minute; no session can be renewed.
// 2. It comes back: by its time every session has lapsed.
// 3. Whoever is quickest claims; the owners' renewals come a moment later.
// Cause: lapsing in an outage taken for the holder's end.
test('an outage moves no lease from a holder that is well, and a dead one is seen', async t => {
  for (let extraMs = 0; extraMs < 2000; extraMs += 100) {
    await runOutage(t, OUTAGE_MS + extraMs);
  }
});

async function runOutage(t: ExecutionContext, outageMs: number): Promise<void> {
  const clock = FakeTimers.install({now: 1_700_000_000_000});
  const client = new MemoryLogClient(new LogModel());
  const tasks = ['a', 'b', 'c'].map(vm => startTask(client, vm));
  const [owner, other, third] = tasks as [LogTask, LogTask, LogTask];
  const claim = owner.claim(LEASE);
  await clock.tickAsync(1000);
  const fencing = await claim;
  t.true(fencing.ok && seesLeaseHeld(other));
  const heldLease = {lease: LEASE, fencing: fencing.ok ? fencing.value : -1};
  client.isDown = true;
  await clock.tickAsync(outageMs);
  t.false(owner.holds(heldLease), 'the holder itself can not know');
  client.isDown = false;
  // Whatever is appended first shows the others that the log's time went on.
  void third.append(CRASH);
  for (let ms = 0; ms < 3 * ttlMs; ms += TICK_MS) {
    t.true(seesLeaseHeld(other), `${ms} ms after an outage of ${outageMs} ms`);
    await clock.tickAsync(TICK_MS);
  }
  t.true(owner.holds(heldLease));
  owner.stop();
  await clock.tickAsync(2 * ttlMs);
  t.false(seesLeaseHeld(other));
  other.stop();
  third.stop();
  clock.uninstall();
}
