import test from 'ava';
import {measureLogOutage} from '../log_outage.js';

// Guards against a log outage that leaves engines idle and discards running samples.
// 1. The log goes down for 60 s in the middle of a step and recovers.
// 2. An owner that stops when its lease may have expired cancels all running samples.
// Stopping is unnecessary: while the log is down, no other VM can claim the lease.
test('an outage that ends before the step costs no idle time under the hold policy', async t => {
  const outage = {outageFromMs: 30_000, outageMs: 60_000};
  const [hold, stop] = await measureLogOutage([
    {policy: 'hold', ...outage},
    {policy: 'stop', ...outage},
  ]);
  t.deepEqual([hold?.idleS, hold?.unconfirmed, hold?.wastedS], [0, 0, 0]);
  t.true((stop?.idleS ?? 0) >= 60 && (stop?.wastedS ?? 0) > 0);
});
