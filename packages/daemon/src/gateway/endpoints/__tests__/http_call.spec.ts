import http from 'node:http';
import type {AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {callOnce, type CallRequest} from '../http_call.js';

/** Sends `parts` of an answer, one each `gapMs`; without an end where `isCut`. */
async function startSlowServer(
  t: ExecutionContext,
  parts: readonly string[],
  gapMs: number,
  isCut = false,
): Promise<CallRequest> {
  const server = http.createServer((_, res) => {
    res.writeHead(200);
    const waiting = [...parts];
    const timer = setInterval(() => {
      const part = waiting.shift();
      if (part !== undefined) res.write(part);
      else if (!isCut) res.end();
    }, gapMs);
    res.once('close', () => clearInterval(timer));
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {
    host: '127.0.0.1',
    port,
    method: 'GET',
    path: '/',
    timeoutMs: 60_000,
  };
}

function call(req: CallRequest) {
  const agent = new http.Agent();
  return callOnce(agent, req).finally(() => agent.destroy());
}

// Nobody gets through to the log once many read at the same time.
// 1. All share one link, so an answer takes longer than a call may.
// 2. What has come is thrown away and asked for again from its start.
// Cause: one deadline on the whole answer, however much of it had come.
test('an answer that keeps coming outlives the time of silence', async t => {
  const parts = Array.from({length: 12}, (_, i) => `${i};`);
  const req = await startSlowServer(t, parts, 40);
  const outcome = await call({...req, silenceMs: 300});
  t.is(outcome.kind, 'answered');
  if (outcome.kind === 'answered') {
    t.is(outcome.body.toString(), parts.join(''));
  }
});

test('an answer that stops coming ends with the time of silence', async t => {
  const req = await startSlowServer(t, ['a'], 20, true);
  const outcome = await call({...req, silenceMs: 200});
  t.like(outcome, {kind: 'unknown', detail: 'no answer in 200 ms'});
});

test('an answer that never ends is given up all the same', async t => {
  const parts = Array.from({length: 1000}, () => 'x');
  const req = await startSlowServer(t, parts, 20);
  const outcome = await call({...req, timeoutMs: 300, silenceMs: 200});
  t.like(outcome, {kind: 'unknown', detail: 'no answer in 300 ms'});
});
