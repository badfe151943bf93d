import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  FakeService,
  ServiceFault,
  startFakeService,
} from '@radishyoke/fakes/fake_service';
import {HEADERS} from '@radishyoke/shared/header';
import test, {ExecutionContext} from 'ava';
import {Forward, ForwardEnd} from '../forward.js';
import {RenewingAgent} from '../renewing_agent.js';

const SHORT_PROGRESS_MS = 150;
const LONG_PROGRESS_MS = 20_000;
const REQUEST_ID = 'note-1';
const BODY = Buffer.from('{"note":"señal"}');

interface FaultCase {
  readonly name: string;
  readonly fault?: ServiceFault;
  /** Whether the service's process has exited. */
  readonly isGone?: boolean;
  readonly usesShortTimeout?: boolean;
  readonly end: ForwardEnd;
  /** How often the call ran, as counted by the service. */
  readonly calls: number;
}

function fail(
  failure: Extract<ForwardEnd, {kind: 'failed'}>['failure'],
  sent = true,
): ForwardEnd {
  return {kind: 'failed', failure, sent, answered: false};
}

const FAULT_CASES: readonly FaultCase[] = [
  {name: 'no fault', end: {kind: 'finished', status: 200}, calls: 1},
  {
    name: 'a call that fails',
    fault: {kind: 'fail_calls'},
    end: {kind: 'finished', status: 500},
    calls: 1,
  },
  {
    name: 'outage',
    fault: {kind: 'outage'},
    end: fail('rejected'),
    calls: 0,
  },
  {
    name: 'broken connections',
    fault: {kind: 'unreachable'},
    end: fail('connection_lost'),
    calls: 0,
  },
  {
    name: 'a lost answer',
    fault: {kind: 'lose_answers', next: 1},
    end: fail('connection_lost'),
    calls: 1,
  },
  {
    name: 'silent connections',
    fault: {kind: 'silent', connections: 'all'},
    usesShortTimeout: true,
    end: fail('silent'),
    calls: 0,
  },
  {
    name: 'the process of the service has exited',
    isGone: true,
    end: fail('connect_failed', false),
    calls: 0,
  },
];

/** Starts a server that forwards each call to `service` and records how it ended. */
async function startForwarding(
  t: ExecutionContext,
  service: FakeService,
  progressTimeoutMs: number,
) {
  const agent = new RenewingAgent();
  const ends: ForwardEnd[] = [];
  const server = http.createServer(async (req, res) => {
    const forward = new Forward(
      agent,
      {
        origin: `http://${service.address}`,
        method: req.method!,
        path: req.url!,
        headers: req.headers,
        body: req,
        answerHeaders: {[HEADERS.rule]: 'r'},
        progressTimeoutMs,
      },
      res,
    );
    ends.push(await forward.run());
    if (!res.writableEnded) res.writeHead(502).end();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(async () => {
    await agent.destroy();
    server.closeAllConnections();
    server.close();
    await service.close();
  });
  const {port} = server.address() as AddressInfo;
  const call = () =>
    fetch(`http://127.0.0.1:${port}/notes?farm=3`, {
      method: 'POST',
      body: BODY,
      headers: {[HEADERS.requestId]: REQUEST_ID},
    });
  return {call, ends};
}

for (const c of FAULT_CASES)
  test(`a plain service's call: ${c.name}`, async t => {
    const service = await startFakeService();
    if (c.fault) service.faults.set(c.fault);
    if (c.isGone) await service.close();
    const progressMs = c.usesShortTimeout
      ? SHORT_PROGRESS_MS
      : LONG_PROGRESS_MS;
    const {call, ends} = await startForwarding(t, service, progressMs);
    const res = await call();
    t.deepEqual(ends, [c.end]);
    t.is(service.countCalls(REQUEST_ID), c.calls);
    // `sent: false` permits a retry, so the service must not have run the call.
    t.true(c.end.kind !== 'failed' || c.end.sent || c.calls === 0);
    if (c.name !== 'no fault') return;
    t.is(res.headers.get(HEADERS.rule), 'r');
    t.like(await res.json(), {
      method: 'POST',
      path: '/notes?farm=3',
      bodyBytes: BODY.length,
    });
  });
