/**
 * A VM gets SIGTERM while callers of two long requests wait on channels that they
 * keep open. Both end in the grace time, one shortly after the other; the caller of
 * the second sends its next request on the same channel at once.
 */

import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';
import {APPS, createManifest, createRoute, HOST, KEY} from '../manifest.mjs';
import {BOUNDS, call, HAS_TROUBLE, runCase, Stage} from '../stage.mjs';
import {Worker} from '../workers.mjs';

const VMS = 2;
const WORKERS = 3;
/** Work of the long requests and of the next one, ms. */
const LONG_MS = [4000, 4150];
const NEXT_MS = 600;
/** Time from the long requests to SIGTERM, ms. */
const TERM_AFTER_MS = 300;
const ROUNDS = 4;

await runCase(new URL('.', import.meta.url), async record => {
  const route = createRoute('reports', {
    RouteKind: 'non_idempotent',
    TimeoutMs: 10_000,
    SloMs: 6000,
    Attempts: 1,
  });
  const manifest = createManifest(1, [route], {hasTenants: true});
  const stage = await Stage.start(VMS, manifest, {usage: true});
  const workers = [];
  try {
    for (let i = 0; i < WORKERS; i++) {
      const worker = await Worker.start(stage, record, {
        name: `app${i}`,
        service: APPS,
        slots: 6,
        workMs: req => Number(req.headers['x-work-ms']),
      });
      workers.push(worker);
    }
    await stage.waitUntilReady();
    await sleep(1500);
    const broken = [];
    for (let round = 0; round < ROUNDS; round++) {
      const vm = stage.vms[round % VMS];
      broken.push(...(await playRound({stage, workers, record}, vm, round)));
      await stage.waitUntilReady();
      await sleep(500);
    }
    return broken;
  } finally {
    for (const worker of workers) worker.stop();
    await stage.stop();
  }
});

async function playRound({stage, workers, record}, vm, round) {
  record.write(`round ${round} at ${vm.name}`);
  const callers = LONG_MS.map((workMs, i) =>
    playCaller(record, vm, `r${round}-caller${i}`, workMs, i > 0),
  );
  await sleep(TERM_AFTER_MS);
  const termMs = record.nowMs;
  if (HAS_TROUBLE) {
    record.write(`SIGTERM to ${vm.name}`);
    vm.child.kill('SIGTERM');
  }
  const outcomes = (await Promise.all(callers)).flat();
  if (HAS_TROUBLE) {
    record.write(`${vm.name} ended with ${await vm.exited}`);
    stage.startVm(vm);
  }
  const untilMs = termMs + BOUNDS.graceMs + 1000;
  const passedOn = new Set(workers.flatMap(({runs}) => runs).map(({id}) => id));
  return outcomes
    .filter(({problem, endMs}) => problem !== undefined && endMs < untilMs)
    .filter(({id}) => passedOn.has(id))
    .map(
      ({id, problem, endMs}) =>
        `LOST: ${id} was passed on to a worker, and its channel ended ` +
        `${Math.round(endMs - termMs)} ms after SIGTERM without an answer ` +
        `(${problem})`,
    );
}

/** Sends a long request and, if `hasNext` and the VM keeps the channel open, the next one on it. */
async function playCaller(record, vm, name, workMs, hasNext) {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  const long = await send(record, vm, agent, `${name}-long`, workMs);
  const outcomes = [long];
  if (hasNext && long.headers?.connection === 'keep-alive') {
    outcomes.push(await send(record, vm, agent, `${name}-next`, NEXT_MS));
  }
  agent.destroy();
  return outcomes;
}

async function send(record, vm, agent, id, workMs) {
  record.write(`${id} sent`);
  const answer = await call({
    address: vm.front,
    agent,
    path: `/reports/${id}`,
    body: 'report',
    timeoutMs: 10_000,
    headers: {
      Host: HOST,
      Authorization: `Bearer ${KEY}`,
      'X-Radishyoke-Attempt-Id': id,
      'X-Radishyoke-Deadline-Ms': '9000',
      'X-Work-Ms': String(workMs),
    },
  });
  const {status, problem, headers} = answer;
  record.write(
    `${id} ${problem ?? `answered ${status}, Connection: ${headers.connection}`}`,
  );
  return {...answer, id, endMs: record.nowMs};
}
