/** A forwarder with an admission gate before endpoints whose answers a test decides. */

import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import {AccountDirectory} from '@radishyoke/core/accounts/account_directory';
import type {ClientAccount} from '@radishyoke/core/accounts/client_account';
import {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {type Route, RouteTable} from '@radishyoke/core/routing/route_table';
import type {EventLogger} from '../../../logger.js';
import {
  createCrashWatch,
  createEntry,
  PlainProtocol,
} from '../../__tests__/gateway_fixtures.js';
import type {CrashWatch} from '../../crashes/crash_watch.js';
import {EndpointLinks} from '../../endpoints/endpoint_links.js';
import {EndpointView} from '../../endpoints/endpoint_view.js';
import {GatewayMetrics} from '../../gateway_metrics.js';
import {AdmissionGate} from '../admission_gate.js';
import type {ForwardRequest} from '../forward_request.js';
import {Forwarder} from '../forwarder.js';

// Long enough that a busy machine makes no request late by itself.
export const OBJECTIVE_MS = 1500;
export const DEADLINE_MS = 6000;
/** The slots of each endpoint that `createEntry` creates. */
export const SLOTS = 4;

export const ROUTE: Route = {
  name: 'plain',
  host: 'h',
  pathPrefix: '/',
  kind: 'idempotent',
  resumable: false,
  services: [{service: 'app', weight: 1}],
  // One, so that no hedge takes part.
  attempts: 1,
  timeoutMs: 10_000,
  objectiveMs: OBJECTIVE_MS,
  priority: 2,
};

/** What an endpoint does with a request. */
export type EndpointAction = (body: string, res: http.ServerResponse) => void;

/** Longest time that a test waits for something to happen, ms. */
const MAX_WAIT_MS = 20_000;

/** Waits until `isMet`; throws if it takes too long. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  const untilMs = performance.now() + MAX_WAIT_MS;
  while (!isMet()) {
    if (performance.now() > untilMs) throw new Error(`not met: ${isMet}`);
    await sleep(5);
  }
}

export function sayDone(res: http.ServerResponse): void {
  res.writeHead(200, {stamp: 's', id: 'a1'}).end('done');
}

export function sayFull(res: http.ServerResponse): void {
  res.writeHead(503, {'not-run': '1', id: 'a1'}).end();
}

interface GatedOptions {
  readonly isContended?: boolean;
  readonly endpoints?: number;
  readonly accounts?: readonly ClientAccount[];
  readonly crashes?: CrashWatch;
}

/** Starts a forwarder before endpoints that do `act` with each request. */
export async function startGated(
  t: ExecutionContext,
  act: EndpointAction,
  {
    isContended = true,
    endpoints = 1,
    accounts,
    crashes = createCrashWatch(),
  }: GatedOptions = {},
) {
  const reached: string[] = [];
  const events: Array<{readonly event: string; readonly fields: object}> = [];
  const logger: EventLogger = {
    log: (_level, event, fields) => events.push({event, fields}),
  };
  const roster = new EndpointRoster(1000);
  for (let i = 0; i < endpoints; i++) {
    const port = await startEndpoint(t, body => reached.push(body), act);
    roster.put({...createEntry(port), id: `e${i}`}, i);
  }
  const links = new EndpointLinks();
  t.teardown(() => links.close());
  const metrics = new GatewayMetrics();
  const gate = new AdmissionGate({
    roster,
    getAccounts: () => new AccountDirectory(accounts),
    metrics,
    logger,
  });
  t.teardown(() => gate.stop());
  const view = new EndpointView({isCapacityContended: isContended});
  const forwarder = new Forwarder({
    roster,
    links,
    view,
    protocol: new PlainProtocol(),
    dataCentre: 'dc',
    crashes,
    ...(isContended ? {admission: gate} : {}),
    metrics,
    logger,
  });
  const start = (body: string, changes: Partial<ForwardRequest> = {}) =>
    forwarder.start(createForwardRequest(body, changes));
  return {start, forwarder, gate, roster, view, reached, events, metrics};
}

async function startEndpoint(
  t: ExecutionContext,
  onRequest: (body: string) => void,
  act: EndpointAction,
): Promise<number> {
  const server = http.createServer((req, res) => {
    let body = '';
    req.on('data', chunk => (body += chunk));
    req.on('end', () => {
      onRequest(body);
      act(body, res);
    });
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

export function createForwardRequest(
  body: string,
  changes: Partial<ForwardRequest> = {},
): ForwardRequest {
  return {
    method: 'POST',
    path: '/x',
    headers: {host: 'h'},
    body: Buffer.from(body),
    attemptId: 'a1',
    caller: {kind: 'account', name: 'trainer'},
    route: ROUTE,
    configVersion: 1,
    deadlineAtMs: performance.now() + DEADLINE_MS,
    ...changes,
  };
}

/** Creates a configuration in which the accounts have priorities. */
export function createTable(accounts: readonly ClientAccount[]): RouteTable {
  return new RouteTable({
    version: 2,
    routes: [ROUTE],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    accounts,
  });
}
