import type {StandIns} from '@radishyoke/fakes/stand_ins';
import type {FakeEngine} from '@radishyoke/fakes/fake_engine';
import {toStepId} from '@radishyoke/shared/ids';
import type {Rollout} from '@radishyoke/shared/rollout';
import test from 'ava';
import {
  createStepRequest,
  sleep,
  startDeployment,
} from './deployment_fixture.js';

const GROUPS = 6;
const SAMPLES = 4 * GROUPS;

interface FaultCase {
  readonly name: string;
  /** Injects the fault; called once the first rollout has arrived. */
  readonly apply: (standIns: StandIns) => void | Promise<void>;
}

function listEngines(standIns: StandIns): readonly FakeEngine[] {
  return [...standIns.engines.values()];
}

const SILENT = {kind: 'silent', connections: 'open'} as const;

const FAULT_CASES: readonly FaultCase[] = [
  {
    name: 'open connections to engines and log go silent',
    apply: standIns => {
      for (const engine of listEngines(standIns)) engine.faults.set(SILENT);
      standIns.log.faults.set(SILENT);
    },
  },
  {
    name: 'the log accepts appends and loses the answers',
    apply: ({log}) => log.faults.set({kind: 'lose_answers', next: 10}),
  },
  {
    name: 'the log is down for longer than a session is valid',
    apply: async ({log}) => {
      log.faults.set({kind: 'outage'});
      await sleep(1500);
      log.faults.clear();
    },
  },
  {
    name: 'engines accept requests and lose the answers',
    apply: standIns => {
      for (const {faults} of listEngines(standIns))
        faults.set({kind: 'lose_answers', next: 3, method: 'POST'});
    },
  },
];

// Guards against a step that ends incomplete, stalls, or delivers a rollout
// twice. The fault starts when the trainer has the first rollout and the others
// are being generated. The step fails if a missing answer is treated as a
// refusal, or silence as a failure of the engine.
for (const c of FAULT_CASES)
  test(`a step is complete and each rollout is delivered once: ${c.name}`, async t => {
    const deployment = await startDeployment(2);
    t.teardown(() => deployment.close());
    const rollouts: Rollout[] = [];
    const client = deployment.createClient();
    t.teardown(() => client.close());
    const result = await client.runStep({
      step: toStepId('step-1'),
      req: createStepRequest(GROUPS),
      readWeightVersion: () => 1,
      onRollout: rollout => {
        rollouts.push(rollout);
        if (rollouts.length === 1) void c.apply(deployment.standIns);
      },
    });
    t.true(result.ok && result.value.shortfalls === 0);
    t.is(rollouts.length, SAMPLES);
    t.is(new Set(rollouts.map(rollout => rollout.id)).size, SAMPLES);
  });
