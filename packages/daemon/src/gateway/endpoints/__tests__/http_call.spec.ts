import http from 'node:http';
import type {AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {callOnce, type CallRequest} from '../http_call.js';

/** Starts a server that sends one of `parts` every `gapMs`, and never ends the answer if `neverEnds`. */
async function startSlowServer(
  t: ExecutionContext,
  parts: readonly string[],
  gapMs: number,
  neverEnds = false,
): Promise<CallRequest> {
  const server = http.createServer((_, res) => {
    res.writeHead(200);
    const waiting = [...parts];
    const timer = setInterval(() => {
      const part = waiting.shift();
      if (part !== undefined) res.write(part);
      else if (!neverEnds) res.end();
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

// Guards against reads of the log that never finish while many VMs share one link: a single
// deadline for the complete answer discarded what had arrived, and the retry began anew.
test('an answer that keeps arriving is not ended by the silence limit', async t => {
  const parts = Array.from({length: 12}, (_, i) => `${i};`);
  const req = await startSlowServer(t, parts, 40);
  const outcome = await call({...req, silenceMs: 300});
  t.is(outcome.kind, 'answered');
  if (outcome.kind === 'answered') {
    t.is(outcome.body.toString(), parts.join(''));
  }
});

test('an answer that stops arriving is ended by the silence limit', async t => {
  const req = await startSlowServer(t, ['a'], 20, true);
  const outcome = await call({...req, silenceMs: 200});
  t.like(outcome, {kind: 'unknown', detail: 'no answer in 200 ms'});
});

test('an answer that never ends is ended by the total time limit', async t => {
  const parts = Array.from({length: 1000}, () => 'x');
  const req = await startSlowServer(t, parts, 20);
  const outcome = await call({...req, timeoutMs: 300, silenceMs: 200});
  t.like(outcome, {kind: 'unknown', detail: 'no answer in 300 ms'});
});
