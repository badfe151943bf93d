import test from 'ava';
import {waitUntilReady} from '@radishyoke/fakes/wait_until_ready';
import {HEADERS} from '@radishyoke/shared/header';
import {toDataCentreId, toEndpointId, toStepId} from '@radishyoke/shared/ids';
import type {Rollout} from '@radishyoke/shared/rollout';
import {
  createStepRequest,
  Deployment,
  sleep,
  startDeployment,
} from './deployment_fixture.js';

/** Runs a step to its end and returns the received rollouts in order. */
async function collectStep(
  deployment: Deployment,
  groups: number,
  origins?: readonly string[],
  onRollout: (count: number) => void = () => undefined,
) {
  const client = deployment.createClient(origins);
  const rollouts: Rollout[] = [];
  const result = await client.runStep({
    step: toStepId('step-1'),
    req: createStepRequest(groups),
    readWeightVersion: () => 1,
    onRollout: rollout => {
      rollouts.push(rollout);
      onRollout(rollouts.length);
    },
  });
  await client.close();
  return {result, rollouts};
}

function countDistinct(rollouts: readonly Rollout[]): number {
  return new Set(rollouts.map(rollout => rollout.id)).size;
}

test('a step is delivered completely through a VM that does not own it', async t => {
  const deployment = await startDeployment(2);
  t.teardown(() => deployment.close());
  const [first, second] = deployment.origins;
  const opened = await fetch(`${first}/v1/steps/step-1`, {
    method: 'PUT',
    headers: {[HEADERS.tenant]: 'trainer'},
    body: JSON.stringify(createStepRequest(3)),
  });
  t.is(opened.status, 200);
  const {result, rollouts} = await collectStep(deployment, 3, [second]);
  t.true(result.ok);
  t.is(countDistinct(rollouts), 12);
  t.is(rollouts.length, 12);
});

// Guards against a step that ends incomplete or delivers a rollout twice. The
// VM that owns the step crashes after four rollouts, and the trainer connects
// to the other VM, which takes the step over. It must know what was committed,
// delivered and acknowledged.
test('another VM continues a step whose owner stopped', async t => {
  const deployment = await startDeployment(2);
  t.teardown(() => deployment.close());
  let stopped = false;
  const {result, rollouts} = await collectStep(
    deployment,
    8,
    undefined,
    count => {
      if (count < 4 || stopped) return;
      stopped = true;
      const owner = deployment.vms.find(vm => vm.directory.listTasks().size);
      void owner?.stop();
    },
  );
  t.true(stopped);
  t.true(result.ok);
  t.is(rollouts.length, 32);
  t.is(countDistinct(rollouts), 32);
});

// Guards against a non-idempotent request that runs twice: the app gets no
// answer and sends the request again to another VM, which knows only the
// requests that it received itself.
test('a non-idempotent request with an id runs once across all VMs', async t => {
  const deployment = await startDeployment(2);
  t.teardown(() => deployment.close());
  const answers = await Promise.all(
    deployment.origins.map(origin =>
      fetch(`${origin}/notes`, {
        method: 'POST',
        headers: {
          [HEADERS.tenant]: 'notebook',
          [HEADERS.requestId]: 'note-7',
        },
        body: 'ryegrass, 12 cm',
      }),
    ),
  );
  t.deepEqual(answers.map(res => res.status).sort(), [200, 409]);
  const refused = answers.find(res => res.status === 409)!;
  t.is(refused.headers.get(HEADERS.error), 'duplicate_request');
  let calls = 0;
  for (const service of deployment.standIns.services.values()) {
    calls += service.countCalls('note-7');
  }
  t.is(calls, 1);
});

// Guards against failing calls after a VM is replaced during an outage of the
// log. The new VM can not read the configuration from the log and must get it
// from its peers.
test('a VM that starts while the log is down gets its rules from peers', async t => {
  const deployment = await startDeployment(2);
  t.teardown(() => deployment.close());
  deployment.standIns.log.faults.set({kind: 'outage'});
  const origin = await deployment.addVm();
  await waitUntilReady(origin);
  const res = await fetch(`${origin}/lessons/7`, {
    headers: {[HEADERS.tenant]: 'notebook'},
  });
  t.is(res.status, 200);
  t.is(res.headers.get(HEADERS.rule), 'notebook');
});

// Guards against a request id that stays blocked for an hour although the
// refusal said that the request had not run. No endpoint can be reached, so the
// request is refused. When endpoints are back, the caller sends it again under
// the same id; the claim on the id must not outlive the refusal.
test('a refused request with an id can be sent again', async t => {
  const deployment = await startDeployment(1);
  t.teardown(() => deployment.close());
  const {services, vmList} = deployment.standIns;
  const fileNote = () =>
    fetch(`${deployment.origins[0]}/notes`, {
      method: 'POST',
      headers: {
        [HEADERS.tenant]: 'notebook',
        [HEADERS.requestId]: 'note-8',
      },
      body: 'clover',
    });
  const listed = [...services].map(([id, service]) => ({
    id: toEndpointId(id),
    kind: 'service' as const,
    address: service.address,
    dataCentre: toDataCentreId('salto'),
    group: 'notebook',
    state: 'live' as const,
    checksFencing: false,
  }));
  for (const {id} of listed) vmList.remove(id);
  const endpoints = deployment.vms[0].endpoints;
  while (endpoints.listEndpoints().some(e => e.kind === 'service')) {
    await sleep(20);
  }
  const refused = await fileNote();
  t.is(refused.headers.get(HEADERS.ran), 'no');
  for (const endpoint of listed) vmList.putEndpoint(endpoint);
  let res = await fileNote();
  while (res.status !== 200 && res.headers.get(HEADERS.ran) !== 'yes') {
    await sleep(50);
    res = await fileNote();
  }
  t.is(res.status, 200);
  const calls = [...services.values()].map(s => s.countCalls('note-8'));
  t.deepEqual(calls.sort(), [0, 1]);
});

// Guards against requests that are aborted when a VM is replaced: a slow call
// is in flight when the VM is drained, and the process ends without waiting for
// it.
test('a draining VM finishes the requests in flight', async t => {
  const deployment = await startDeployment(1);
  t.teardown(() => deployment.close());
  for (const service of deployment.standIns.services.values()) {
    service.faults.set({kind: 'slow', factor: 120});
  }
  const pending = fetch(`${deployment.origins[0]}/lessons/7`, {
    headers: {[HEADERS.tenant]: 'notebook'},
  });
  while (deployment.vms[0].countRequests() === 0) await sleep(5);
  const report = await deployment.vms[0].drain(30_000);
  const res = await pending;
  t.is(res.status, 200);
  t.is(report.appsLeft, 0);
});

// Guards against a step that stalls or loses samples when an engine crashes
// after 150 tokens while it runs several of them, because a broken stream is
// treated as a finished or a lost sample.
test('samples of a crashed engine are finished on other engines', async t => {
  const deployment = await startDeployment(1);
  t.teardown(() => deployment.close());
  const [engine] = deployment.standIns.engines.values();
  engine.faults.set({kind: 'crash_after_tokens', tokens: 150});
  const {result, rollouts} = await collectStep(deployment, 6);
  t.true(result.ok && result.value.shortfalls === 0);
  t.is(countDistinct(rollouts), 24);
  t.is(rollouts.length, 24);
});

// Guards against a trainer that sees only a broken connection when its step is
// too large. The VM stops reading a body over the limit and closes the
// connection; the connection reset must not arrive before the refusal.
test('a body over the limit is refused with an answer', async t => {
  const deployment = await startDeployment(1);
  t.teardown(() => deployment.close());
  const res = await fetch(`${deployment.origins[0]}/v1/steps/large`, {
    method: 'PUT',
    headers: {[HEADERS.tenant]: 'trainer'},
    body: 'x'.repeat(17 * 1024 * 1024),
  });
  t.is(res.status, 413);
  t.is(res.headers.get(HEADERS.error), 'too_large');
  t.is(res.headers.get(HEADERS.ran), 'no');
});

interface RefusalCase {
  readonly name: string;
  readonly path: string;
  readonly init: RequestInit;
  readonly status: number;
  readonly error: string;
}

const trainer = {[HEADERS.tenant]: 'trainer'};
const notebook = {[HEADERS.tenant]: 'notebook'};

const refusalCases: readonly RefusalCase[] = [
  {
    name: 'no tenant',
    path: '/lessons',
    init: {},
    status: 401,
    error: 'unauthorized',
  },
  {
    name: 'no rule for the request',
    path: '/lessons',
    init: {headers: trainer},
    status: 403,
    error: 'no_rule',
  },
  {
    name: 'a body that is not JSON',
    path: '/v1/steps/a',
    init: {method: 'PUT', headers: trainer, body: '{'},
    status: 400,
    error: 'bad_request',
  },
  {
    name: 'a step id with a slash',
    path: '/v1/steps/%2Fa',
    init: {method: 'PUT', headers: trainer, body: '{}'},
    status: 400,
    error: 'bad_request',
  },
  {
    name: 'an unknown step',
    path: '/v1/steps/none/rollouts',
    init: {headers: trainer},
    status: 404,
    error: 'not_found',
  },
  {
    name: 'a non-idempotent header that is neither true nor false',
    path: '/lessons',
    init: {headers: {...notebook, [HEADERS.nonIdempotent]: 'perhaps'}},
    status: 400,
    error: 'bad_request',
  },
];

test('refuses invalid requests and answers that nothing ran', async t => {
  const deployment = await startDeployment(1);
  t.teardown(() => deployment.close());
  for (const {name, path, init, status, error} of refusalCases) {
    const res = await fetch(`${deployment.origins[0]}${path}`, init);
    t.is(res.status, status, name);
    t.is(res.headers.get(HEADERS.error), error, name);
    t.is(res.headers.get(HEADERS.ran), 'no', name);
  }
});
