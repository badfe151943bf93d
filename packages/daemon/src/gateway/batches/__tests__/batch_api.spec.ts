import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {MemoryBudget} from '@radishyoke/wire/memory_budget';
import test, {type ExecutionContext} from 'ava';
import type {Caller} from '@radishyoke/core/accounts/client_account';
import type {Batch} from '@radishyoke/core/batches/batch_record';
import {type Result, succeed} from '@radishyoke/shared/result';
import type {Route} from '@radishyoke/core/routing/route_table';
import {silentLogger} from '../../../logger.js';
import {BatchApi} from '../batch_api.js';
import {decodeIndexRecord} from '../batch_codec.js';
import {IndexReplicas} from '../index_replica.js';
import {INDEX_TOPIC, PAYLOAD_TOPIC} from '../batch_topics.js';
import {
  type CallerAttempt,
  type CallerCall,
  CallerProtocol,
  type ResultPage,
  type Submission,
} from '../../requests/caller_protocol.js';
import {ConfigHolder} from '../../store/config_holder.js';
import {GatewayMetrics} from '../../gateway_metrics.js';
import {MemoryStore} from '../../__tests__/gateway_fixtures.js';
import {createBatch} from './batch_fixtures.js';

/** A protocol whose batches have no items and whose paths consist of the batch id. */
class PlainCallers extends CallerProtocol {
  decodeCall(method: string, path: string): Result<CallerCall> {
    const batchId = path.slice(1);
    if (method === 'DELETE') return succeed({kind: 'end_batch', batchId});
    return succeed({kind: 'read_results', batchId, after: 0, waitMs: 0});
  }

  readAttempt(headers: http.IncomingHttpHeaders): CallerAttempt {
    return {id: headers['id'] as string | undefined, deadlineMs: undefined};
  }

  readKey(headers: http.IncomingHttpHeaders): string | undefined {
    return headers['account'] as string | undefined;
  }

  decodeBatch(_body: Uint8Array, submission: Submission): Result<Batch> {
    const {attemptId, account} = submission;
    const batch = createBatch(attemptId, []);
    return succeed(account === undefined ? batch : {...batch, account});
  }

  encodePage(page: ResultPage): Uint8Array {
    return Buffer.from(JSON.stringify(page));
  }

  answerHeaders(
    retryAfterMs: number | undefined,
  ): Readonly<Record<string, string>> {
    return retryAfterMs === undefined
      ? {}
      : {'retry-after': String(retryAfterMs / 1000)};
  }
}

const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/r/',
  kind: 'batch',
  resumable: true,
  services: [{service: 's', weight: 1}],
  attempts: 3,
  timeoutMs: 1000,
  objectiveMs: 400,
  priority: 0,
  batch: {dueMs: 500, retentionMs: 4000, singleVersion: false},
};

/** Serves a batch API that uses `store`; returns a function that calls it. */
async function startApi(t: ExecutionContext, store: MemoryStore) {
  const protocol = new PlainCallers();
  const deps = {
    store,
    replicas: new IndexReplicas(store, silentLogger),
    protocol,
    config: new ConfigHolder(silentLogger),
    isCapacityContended: false,
    metrics: new GatewayMetrics(),
    logger: silentLogger,
    memory: new MemoryBudget(),
  };
  const api = new BatchApi(deps);
  const server = http.createServer((req, res) => {
    const name = protocol.readKey(req.headers);
    const caller: Caller =
      name === undefined ? {kind: 'unchecked'} : {kind: 'account', name};
    if (req.method === 'POST') {
      const takeBody = () => Buffer.from('');
      const route = {route: ROUTE, configVersion: 7};
      const post = {...route, caller, host: 'h', path: '/r/', takeBody};
      void api.submit(post, req, res);
      return;
    }
    const call = protocol.decodeCall(req.method ?? '', req.url ?? '');
    if (call.ok && call.value.kind !== 'request')
      void api.answer(call.value, caller, res);
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  return async (
    method: string,
    path: string,
    account?: string,
  ): Promise<Response> => {
    const headers = new Headers({id: 'b1', connection: 'close'});
    if (account !== undefined) headers.set('account', account);
    return fetch(`http://127.0.0.1:${port}${path}`, {method, headers});
  };
}

test('a batch is acknowledged once it is stored in the log', async t => {
  const store = new MemoryStore();
  const call = await startApi(t, store);
  t.is((await call('POST', '/r/')).status, 202);
  t.is(store.list(INDEX_TOPIC).length, 1);
  t.is(store.list(PAYLOAD_TOPIC).length, 1);
  t.is((await call('GET', '/b1')).status, 200);
  t.is((await call('GET', '/b2')).status, 404);
});

test('an accepted batch is stored with the version and retention of its route', async t => {
  const store = new MemoryStore();
  const call = await startApi(t, store);
  await call('POST', '/r/');
  const record = decodeIndexRecord(store.list(INDEX_TOPIC)[0]);
  t.like(record, {
    kind: 'accepted',
    header: {acceptedUnder: {configVersion: 7, retentionMs: 4000}},
  });
});

test('an account can not read, end or replace the batch of another account', async t => {
  const store = new MemoryStore();
  const call = await startApi(t, store);
  t.is((await call('POST', '/r/', 'alpha')).status, 202);
  t.is((await call('GET', '/b1', 'beta')).status, 404);
  t.is((await call('DELETE', '/b1', 'beta')).status, 404);
  t.is((await call('POST', '/r/', 'beta')).status, 409);
  t.is((await call('GET', '/b1', 'alpha')).status, 200);
  t.is((await call('POST', '/r/', 'alpha')).status, 202);
  t.is(store.list(INDEX_TOPIC).length, 1);
});

test('a batch is ended once, however often the end is requested', async t => {
  const store = new MemoryStore();
  const call = await startApi(t, store);
  await call('POST', '/r/');
  t.is((await call('DELETE', '/b1')).status, 200);
  t.is((await call('DELETE', '/b1')).status, 200);
  t.is(store.list(INDEX_TOPIC).length, 2);
});

// Guards against a 503, which promises that nothing will run, for a batch that
// runs later. It comes about if the log does not answer an append, which may still
// be carried out, all retries are refused, and only the last outcome is considered.
test('a batch is refused only if no append can have been stored', async t => {
  const refused = new MemoryStore();
  for (let i = 0; i < 1000; i++) refused.appendPlans.push('refused');
  const callRefused = await startApi(t, refused);
  const uncertain = new MemoryStore();
  uncertain.appendPlans.push('appended', 'unknown');
  for (let i = 0; i < 1000; i++) uncertain.appendPlans.push('refused');
  const callUncertain = await startApi(t, uncertain);
  const [first, second] = await Promise.all([
    callRefused('POST', '/r/'),
    callUncertain('POST', '/r/'),
  ]);
  t.is(first.status, 503);
  t.truthy(first.headers.get('retry-after'));
  t.is(second.status, 502);
});

// A trainer may rely on a refusal even if it is unknown whether the payload was
// stored: without an index record nothing refers to the payload, so the batch
// never runs.
test('a batch whose payload may not have been stored is refused and never runs', async t => {
  const store = new MemoryStore();
  for (let i = 0; i < 1000; i++) store.appendPlans.push('unknown_but_done');
  const call = await startApi(t, store);
  t.is((await call('POST', '/r/')).status, 503);
  t.is(store.list(INDEX_TOPIC).length, 0);
  t.is((await call('GET', '/b1')).status, 404);
});

// Guards against a batch that is accepted twice because the answer to an append
// is lost and the append is retried.
test('an append whose answer was lost accepts the batch once', async t => {
  const store = new MemoryStore();
  store.appendPlans.push('appended', 'unknown_but_done');
  const call = await startApi(t, store);
  t.is((await call('POST', '/r/')).status, 202);
  t.is(store.list(INDEX_TOPIC).length, 2);
  const page = (await (await call('GET', '/b1')).json()) as {total: number};
  t.is(page.total, 0);
});
