/**
 * Clients send idempotent requests, and a trainer a step; workers answer without
 * a length and end each answer with the channel. Some of them are reset halfway.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {
  call,
  createPlainBody,
  isTroubled,
  PLAIN_PREFIX,
  runCase,
  Step,
} from '../harness.mjs';

const REQUESTS = 200;
/** Time between two requests, ms. */
const GAP_MS = 50;
/** One answer in so many is reset: 5 in 100. */
const RESET_EACH = 20;
const TIME_BUDGET_MS = 800;
/** Items of the step. */
const ITEMS = 60;

await runCase(
  import.meta.url,
  {vms: 3, workers: 6, plainWorkers: 3, eventMs: 30, events: 12},
  async (deployment, record) => {
    await deployment.findCoordinator();
    const broken = await playRequests(deployment, record);
    return [...broken, ...(await playStep(deployment))];
  },
);

async function playRequests(deployment, record) {
  let answers = 0;
  for (const worker of deployment.plainWorkers) {
    worker.resets = () => isTroubled && ++answers % RESET_EACH === 0;
  }
  const requests = [];
  for (let i = 0; i < REQUESTS; i++) {
    requests.push(send(`a${i}`, deployment.vms[i % 3], record));
    await sleep(GAP_MS);
  }
  const problems = await Promise.all(requests);
  return problems.filter(problem => problem !== undefined);
}

/** Plays a step whose every tenth item is reset once, in the middle of an event. */
async function playStep(deployment) {
  const wasReset = new Set();
  for (const worker of deployment.workers) {
    worker.isUnframed = true;
    worker.resetsBefore = (id, n) => {
      const isDue = id.endsWith('0') && n === 6 && !wasReset.has(id);
      if (isDue) wasReset.add(id);
      return isTroubled && isDue;
    };
  }
  const step = new Step(deployment, {
    id: 'step0',
    prefix: '/pufi791/',
    items: ITEMS,
  });
  if (!(await step.submit())) throw new Error('the step was not accepted');
  if (!(await step.collect())) throw new Error('the step was not read whole');
  await step.end();
  return step.results
    .filter(({Id, Output}) => Output !== step.expectedOutput(Id))
    .map(
      ({Id, State, Output}) =>
        `item ${Id} is ${State} with ${Output.split('\n').length} events; its whole output has ${deployment.events}`,
    );
}

/** Sends one request as a client; returns how its answer breaks the rule, if it does. */
async function send(id, {name, front}, record) {
  const answer = await call(front, 'POST', `${PLAIN_PREFIX}${id}`, {
    headers: {
      'X-Radishyoke-Attempt-Id': id,
      'X-Radishyoke-Deadline-Ms': String(TIME_BUDGET_MS),
    },
    body: 'status?',
    timeoutMs: TIME_BUDGET_MS,
  });
  if (!answer) {
    record.add(`request ${id} to ${name}: no complete answer`);
    return undefined;
  }
  const {status, headers, body} = answer;
  const stamp = headers['x-radishyoke-server-stamp'];
  record.add(
    `request ${id} to ${name}: ${status}, stamp ${stamp}, Content-Length ${headers['content-length']}, ${body.length} bytes`,
  );
  if (status !== 200) return undefined;
  if (stamp !== undefined && body.toString() === createPlainBody(id)) {
    return undefined;
  }
  return `request ${id} got 200 with the stamp ${stamp} and ${body.length} bytes, framed as complete; the worker's whole body has ${createPlainBody(id).length} bytes`;
}
