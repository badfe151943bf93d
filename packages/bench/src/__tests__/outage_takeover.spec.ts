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

// Guards against a log outage after which all steps change owner and finished samples
// are generated again, although no VM failed.
// 1. The log is down for a minute, so no session can be renewed.
// 2. When the log recovers, every session has expired by the log's time.
// 3. The quickest VM claims the leases before the owners' renewals arrive.
// Cause: a session that expired during an outage was mistaken for a failed VM.
test('a live holder keeps its lease over an outage, and a stopped holder loses it', async t => {
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
  t.false(
    owner.holds(heldLease),
    'the holder can not be sure of its lease during an outage',
  );
  client.isDown = false;
  // The first record appended after the outage shows readers the new log time.
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
