import test from 'ava';
import {toStepId} from '@radishyoke/shared/ids';
import type {Rollout} from '@radishyoke/shared/rollout';
import {createStepRequest, startDeployment} from './deployment_fixture.js';

const GROUPS = 6;
const SAMPLES = 4 * GROUPS;

// A step stalls though every engine is well, or a rollout comes twice.
// 1. Samples run, and connections to all engines and to the log are open.
// 2. Something between loses track of them: they stay open and silent for good,
//    while new connections work. The engines go on generating.
// Cause: a silent connection is waited on, or taken for a dead endpoint.
test('a step is whole though all open connections went silent', async t => {
  const deployment = await startDeployment(2);
  t.teardown(() => deployment.close());
  const {standIns} = deployment;
  const rollouts: Rollout[] = [];
  const client = deployment.createClient();
  t.teardown(() => client.close());
  const result = await client.runStep({
    step: toStepId('step-1'),
    req: createStepRequest(GROUPS),
    readWeightVersion: () => 1,
    onRollout: rollout => {
      rollouts.push(rollout);
      if (rollouts.length > 1) return;
      const silent = {kind: 'silent', connections: 'open'} as const;
      for (const engine of standIns.engines.values()) engine.faults.set(silent);
      standIns.log.faults.set(silent);
    },
  });
  t.true(result.ok && result.value.shortfalls === 0);
  t.is(rollouts.length, SAMPLES);
  t.is(new Set(rollouts.map(rollout => rollout.id)).size, SAMPLES);
});
