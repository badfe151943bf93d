import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import type {Route} from '@radishyoke/core/routing/route_table';
import {silentLogger} from '../../../logger.js';
import {
  createCrashWatch,
  createEntry,
  PlainProtocol,
} from '../../__tests__/gateway_fixtures.js';
import {EndpointLinks} from '../../endpoints/endpoint_links.js';
import {EndpointView} from '../../endpoints/endpoint_view.js';
import {GatewayMetrics} from '../../gateway_metrics.js';
import {copyHeaders} from '../caller_answer.js';
import {StreamCall} from '../stream_call.js';

/** How an endpoint handles its n-th request. */
type Script = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  count: number,
) => void | Promise<void>;

const ROUTE: Route = {
  name: 'stream',
  host: 'h',
  pathPrefix: '/',
  kind: 'streaming',
  resumable: true,
  services: [{service: 'app', weight: 1}],
  attempts: 3,
  timeoutMs: 5000,
  objectiveMs: 400,
  priority: 0,
};

function writeHead(res: http.ServerResponse, stamp: string): void {
  res.writeHead(200, {stamp, id: 'a1', 'Content-Type': 'text/event-stream'});
}

function writeEvent(res: http.ServerResponse, id: number): void {
  res.write(`id: ${id}\ndata: ${id}\n\n`);
}

async function listen(t: ExecutionContext, server: http.Server) {
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

/** Starts a front server that streams every request from one endpoint that runs `script`. */
async function startFront(
  t: ExecutionContext,
  script: Script,
  extra: Partial<Route> = {},
) {
  let count = 0;
  const endpoint = http.createServer(
    (req, res) => void script(req, res, count++),
  );
  const roster = new EndpointRoster(1000);
  roster.put(createEntry(await listen(t, endpoint)), 0);
  const deps = {
    roster,
    links: new EndpointLinks(),
    view: new EndpointView(),
    protocol: new PlainProtocol(),
    dataCentre: 'dc',
    crashes: createCrashWatch(),
    metrics: new GatewayMetrics(),
    logger: silentLogger,
  };
  t.teardown(() => deps.links.close());
  const front = http.createServer((req, res) => {
    const call = new StreamCall(
      deps,
      {
        method: 'POST',
        path: '/x',
        headers: req.headers,
        body: Buffer.from('ask'),
        attemptId: 'a1',
        caller: {kind: 'unchecked'},
        route: {...ROUTE, ...extra},
        configVersion: 1,
        deadlineAtMs: performance.now() + 4000,
      },
      res,
    );
    res.once('close', () => call.abandon());
    void call.run().then(result => {
      if (result.kind === 'whole' || res.destroyed) return;
      if (res.headersSent) return res.destroy();
      if (result.kind === 'answered') {
        copyHeaders(result.answer.rawHeaders, res);
        res.statusCode = result.answer.status;
        return res.end(result.answer.body);
      }
      res.statusCode = result.error.kind === 'no_endpoint' ? 503 : 502;
      return res.end();
    });
  });
  const port = await listen(t, front);
  return {port, countRequests: () => count};
}

interface Received {
  readonly status: number | undefined;
  readonly stamp: string | undefined;
  readonly text: string;
  readonly isComplete: boolean;
}

function requestStream(
  port: number,
  onText?: (text: string) => void,
): Promise<Received> {
  return new Promise((resolve, reject) => {
    const req = http.get({host: '127.0.0.1', port, path: '/x'}, res => {
      let text = '';
      res.setEncoding('utf8').on('data', (part: string) => {
        text += part;
        onText?.(part);
      });
      const finish = (isComplete: boolean) =>
        resolve({
          status: res.statusCode,
          stamp: res.headers['stamp'] as string | undefined,
          text,
          isComplete,
        });
      res.on('error', () => finish(false));
      res.on('end', () => finish(res.complete));
    });
    req.on('error', reject);
  });
}

const ALL_EVENTS = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n';

// Guards against a caller that gets its first event only after the last one was generated,
// because the answer was read completely before any of it was passed on.
test('an event reaches the caller before the next one is generated', async t => {
  let releaseNext: () => void = () => undefined;
  const released = new Promise<void>(resolve => (releaseNext = resolve));
  const {port} = await startFront(t, async (_req, res) => {
    writeHead(res, 's1');
    writeEvent(res, 1);
    await released;
    writeEvent(res, 2);
    writeEvent(res, 3);
    res.end();
  });
  const {text, isComplete, stamp} = await requestStream(port, () =>
    releaseNext(),
  );
  t.is(text, ALL_EVENTS);
  t.is(stamp, 's1');
  t.true(isComplete);
});

// Guards against lost or repeated text: an endpoint fails in the middle of its second
// event, and the stream continues at another one after the last complete event.
test('a resumable stream continues in the same answer', async t => {
  const lastEventIds: unknown[] = [];
  const {port} = await startFront(t, async (req, res, count) => {
    lastEventIds.push(req.headers['last-id']);
    writeHead(res, `s${count}`);
    if (count === 0) {
      writeEvent(res, 1);
      res.write('id: 2\nda');
      await sleep(20);
      res.destroy();
      return;
    }
    writeEvent(res, 2);
    writeEvent(res, 3);
    res.end();
  });
  const {text, isComplete, stamp} = await requestStream(port);
  t.is(text, ALL_EVENTS);
  t.is(stamp, 's0', 'the head and proof are those of the first endpoint');
  t.true(isComplete);
  t.deepEqual(lastEventIds, [undefined, '1']);
});

// Guards against a second run of a request that may run only once, and against a partial
// answer that looks complete: the endpoint fails after its first event.
test('a stream that is not resumable is cut off, not repeated', async t => {
  const front = await startFront(
    t,
    async (_req, res) => {
      writeHead(res, 's1');
      writeEvent(res, 1);
      await sleep(20);
      res.destroy();
    },
    {resumable: false},
  );
  const {isComplete} = await requestStream(front.port);
  t.false(isComplete);
  t.is(front.countRequests(), 1);
});

test('a retry whose events do not follow those already sent is rejected', async t => {
  const {port} = await startFront(t, async (_req, res, count) => {
    writeHead(res, `s${count}`);
    writeEvent(res, 1);
    if (count === 1) writeEvent(res, 2);
    if (count === 0) {
      await sleep(20);
      res.destroy();
      return;
    }
    res.end();
  });
  const {text, isComplete} = await requestStream(port);
  t.is(text, 'id: 1\ndata: 1\n\n');
  t.false(isComplete);
});

test('a failure before the first event is passed on with its own status', async t => {
  const {port} = await startFront(
    t,
    (_req, res) => {
      res.writeHead(500, {stamp: 's1', id: 'a1'}).end('no');
    },
    {resumable: false},
  );
  t.like(await requestStream(port), {status: 500, text: 'no', stamp: 's1'});
});

test('a stream that every endpoint refused is refused', async t => {
  const front = await startFront(t, (_req, res) => {
    res.writeHead(503, {'not-run': '1'}).end();
  });
  t.is((await requestStream(front.port)).status, 503);
  t.is(front.countRequests(), 4);
});

// Guards against an endpoint that keeps generating for a caller that disconnected in the
// middle of a stream: the endpoint must see its connection close at once.
test('an endpoint sees its connection close when the caller disconnects', async t => {
  let close: () => void = () => undefined;
  const closed = new Promise<void>(resolve => (close = resolve));
  const {port} = await startFront(t, (_req, res) => {
    writeHead(res, 's1');
    writeEvent(res, 1);
    res.once('close', () => close());
  });
  const req = http.get({host: '127.0.0.1', port, path: '/x'}, res =>
    res.once('data', () => req.destroy()),
  );
  req.on('error', () => undefined);
  await closed;
  t.pass();
});
