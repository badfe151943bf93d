import http from 'node:http';
import type {AddressInfo} from 'node:net';
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
import {Forwarder, type ForwardOutcome} from '../forwarder.js';

const ROUTE: Route = {
  name: 'plain',
  host: 'h',
  pathPrefix: '/',
  kind: 'idempotent',
  resumable: false,
  services: [{service: 'app', weight: 1}],
  attempts: 3,
  timeoutMs: 5000,
  objectiveMs: 2000,
  priority: 0,
};
const CRASHING_BODY = 'crash';

/** Starts a forwarder with six endpoints that break the connection on a request with `CRASHING_BODY`. */
async function startForwarder(t: ExecutionContext, isReachable: () => boolean) {
  const reached: string[] = [];
  const roster = new EndpointRoster(1000);
  for (let i = 0; i < 6; i++) {
    const server = http.createServer((req, res) => {
      let body = '';
      req.on('data', chunk => (body += chunk));
      req.on('end', () => {
        reached.push(body);
        if (body === CRASHING_BODY) return res.destroy();
        return res.writeHead(200, {stamp: 's', id: 'a1'}).end('done');
      });
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    t.teardown(() => {
      server.closeAllConnections();
      server.close();
    });
    const {port} = server.address() as AddressInfo;
    roster.put({...createEntry(port), id: `e${i}`}, i);
  }
  const links = new EndpointLinks();
  t.teardown(() => links.close());
  const forwarder = new Forwarder({
    roster,
    links,
    view: new EndpointView(),
    protocol: new PlainProtocol(),
    dataCentre: 'dc',
    crashes: createCrashWatch(isReachable),
    metrics: new GatewayMetrics(),
    logger: silentLogger,
  });
  const send = (body: string): Promise<ForwardOutcome> =>
    forwarder.start({
      method: 'POST',
      path: '/x',
      headers: {host: 'h'},
      body: Buffer.from(body),
      attemptId: 'a1',
      caller: {kind: 'unchecked'},
      route: ROUTE,
      configVersion: 1,
      deadlineAtMs: performance.now() + 4000,
    }).outcome;
  return {send, reached};
}

// Guards against a request that crashes one endpoint after another.
test('a request that was in flight in three crashes is sent to no further endpoint', async t => {
  const {send, reached} = await startForwarder(t, () => false);
  const first = await send(CRASHING_BODY);
  t.is(first.kind === 'failed' && first.error.kind, 'endpoint_failed');
  await new Promise(resolve => setTimeout(resolve, 200));
  for (let i = 0; i < 5; i++) {
    const again = await send(CRASHING_BODY);
    t.is(again.kind === 'failed' && again.error.kind, 'held_back');
    if (again.kind === 'failed') t.true(again.error.retryAfterMs! > 0);
  }
  t.is(reached.length, 3);
  t.is((await send('other')).kind, 'answered');
});

// Guards against quarantining requests whose connections were merely reset.
test('a request whose connections break is not quarantined while its endpoints stay reachable', async t => {
  const {send, reached} = await startForwarder(t, () => true);
  for (let i = 0; i < 3; i++) {
    const outcome = await send(CRASHING_BODY);
    t.is(outcome.kind === 'failed' && outcome.error.kind, 'endpoint_failed');
  }
  t.is(reached.length, 9);
});
