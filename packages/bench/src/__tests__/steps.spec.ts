import test from 'ava';
import {createPolicyVariant} from '../steps.js';
import {DEPLOYMENTS, FAULT_CASES} from '../steps_case.js';
import {StepsSimulation} from '../steps_simulation.js';

const SEED = 11;

function run(name: string) {
  const deployment = DEPLOYMENTS[1];
  return new StepsSimulation({
    deployment,
    fault: FAULT_CASES.find(fault => fault.name === name)!,
    seed: SEED,
    vms: 4,
    createScheduler: createPolicyVariant('present', {}).create(deployment),
    withRollouts: true,
  }).run();
}

// Guards against trainers that lose rollouts or get overly stale ones.
// 1. Engines crash every minute, or one keeps old weights, over several steps.
// 2. The scheduler must neither give up a sample nor deliver output that is too stale.
for (const name of ['crash_a_minute', 'swap_fails']) {
  test(`all rollouts arrive within the staleness limit under ${name}`, t => {
    const result = run(name);
    t.true(result.staleness.length > 0);
    t.is(result.overStale, 0);
    t.is(result.lost, 0);
    t.deepEqual(result.gaveUp, {});
  });
}

test('the same seed gives the same run', t => {
  t.deepEqual(run('crash_a_minute'), run('crash_a_minute'));
});
