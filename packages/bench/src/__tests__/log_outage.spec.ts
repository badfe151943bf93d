import test from 'ava';
import {measureLogOutage} from '../log_outage.js';

// Shared compute sits idle because the log was down for a minute.
// 1. A step is half done; the log goes down for 60 s and comes back.
// 2. An owner that stops when its lease may have lapsed throws away what runs.
// Cause: a lease that nobody else can have claimed, the log being down for all.
test('an outage that ends before the step costs no idle time while it is held', async t => {
  const outage = {outageFromMs: 30_000, outageMs: 60_000};
  const [hold, stop] = await measureLogOutage([
    {policy: 'hold', ...outage},
    {policy: 'stop', ...outage},
  ]);
  t.deepEqual([hold?.idleS, hold?.unconfirmed, hold?.wastedS], [0, 0, 0]);
  t.true((stop?.idleS ?? 0) >= 60 && (stop?.wastedS ?? 0) > 0);
});
