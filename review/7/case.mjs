/**
 * A VM gets SIGTERM, and one of the workers that it streams from leaves as planned:
 * its entry is removed without a report that it drains, and it goes on serving. The
 * streams on it end properly within `DrainMs` of the removal.
 */

import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {URL} from 'node:url';
import {APPS, createManifest, createRoute, HOST} from '../manifest.mjs';
import {BOUNDS, HAS_TROUBLE, runCase, Stage} from '../stage.mjs';
import {Worker} from '../workers.mjs';

const VMS = 2;
const WORKERS = 3;
const STREAMS = 9;
const EVENTS = 56;
const EVENT_MS = 50;
/** Time from the first stream to SIGTERM, and from there to the removal, ms. */
const TERM_AFTER_MS = 700;
const REMOVE_AFTER_MS = 400;

await runCase(new URL('.', import.meta.url), async record => {
  const route = createRoute('chat', {
    RouteKind: 'streaming',
    TimeoutMs: 10_000,
    SloMs: 400,
    Attempts: 2,
  });
  const stage = await Stage.start(VMS, createManifest(1, [route]));
  const workers = [];
  try {
    for (let i = 0; i < WORKERS; i++) {
      const worker = await Worker.start(stage, record, {
        name: `chat${i}`,
        service: APPS,
        slots: 16,
        streams: true,
        eventMs: EVENT_MS,
      });
      workers.push(worker);
    }
    await stage.waitUntilReady();
    await sleep(BOUNDS.stableWindowMs);
    return await play({stage, workers, record});
  } finally {
    for (const worker of workers) worker.stop();
    await stage.stop();
  }
});

async function play({stage, workers, record}) {
  const [vm] = stage.vms;
  const agent = new http.Agent({keepAlive: true});
  const streams = Array.from({length: STREAMS}, (_, i) =>
    readStream(record, vm, agent, `stream-${i}`),
  );
  await sleep(TERM_AFTER_MS);
  const termMs = record.nowMs;
  if (HAS_TROUBLE) {
    record.write(`SIGTERM to ${vm.name}`);
    vm.child.kill('SIGTERM');
    await sleep(REMOVE_AFTER_MS);
    workers[0].removeEntry();
    record.write(
      `the entry of ${workers[0].id} is removed; it goes on serving`,
    );
  }
  const removedMs = record.nowMs;
  const ended = await Promise.all(streams);
  agent.destroy();
  const untilMs = termMs + BOUNDS.graceMs + 1000;
  const served = new Map(
    workers.flatMap(({runs, id: worker}) => runs.map(({id}) => [id, worker])),
  );
  return ended
    .filter(({isComplete, endMs}) => !isComplete && endMs < untilMs)
    .filter(({id}) => served.has(id))
    .map(
      ({id, events, endMs}) =>
        `LOST: ${id} was passed on to ${served.get(id)}, and its channel ended ` +
        `after ${events} of ${EVENTS} events, ${Math.round(endMs - termMs)} ms ` +
        `after SIGTERM and ${Math.round(endMs - removedMs)} ms after the removal`,
    );
}

/** Reads a stream to its end; tells whether all events came and the answer was complete. */
function readStream(record, vm, agent, id) {
  const [host, port] = vm.front.split(':');
  return new Promise(resolve => {
    let text = '';
    const finish = (isEnded, how) => {
      const events = text.split('\n\n').length - 1;
      const isComplete = isEnded && events === EVENTS;
      record.write(`${id} ${how} after ${events} events`);
      resolve({id, events, isComplete, endMs: record.nowMs});
    };
    const req = http.request({
      host,
      port,
      agent,
      method: 'POST',
      path: `/chat/${id}`,
      headers: {
        Host: HOST,
        'X-Radishyoke-Attempt-Id': id,
        'X-Radishyoke-Deadline-Ms': '9000',
        'X-Events': String(EVENTS),
        'Content-Length': 0,
      },
    });
    req.on('error', err => finish(false, `failed (${err.code})`));
    req.on('response', res => {
      res.setEncoding('utf8');
      res.on('data', chunk => (text += chunk));
      res.on('error', err => finish(false, `broke off (${err.code})`));
      res.on('end', () => finish(res.complete, `ended with ${res.statusCode}`));
    });
    record.write(`${id} sent`);
    req.end();
  });
}
