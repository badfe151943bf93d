import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createError} from '@radishyoke/shared/error_kind';
import {fail, succeed} from '@radishyoke/shared/result';
import type {EventLogger} from '../../logger.js';
import {Gateway} from '../gateway.js';
import {CallerProtocol} from '../requests/caller_protocol.js';
import {PlatformDirectory} from '../store/platform_directory.js';
import {
  createEntry,
  createKeyed,
  MemoryStore,
  PlainProtocol,
  EMPTY_TOPIC,
} from './gateway_fixtures.js';

/** A platform whose log says nothing that can be used. */
class RejectingDirectory extends PlatformDirectory {
  readonly configTopic = 'config';
  readonly endpointTopic = 'endpoints';
  readonly crashTopic = EMPTY_TOPIC;
  decodeConfigRecord = () => fail(createError('bad_request'));
  decodeEndpoint: PlatformDirectory['decodeEndpoint'] = () =>
    fail(createError('bad_request'));
}

/** Callers of whom none is understood. */
class RejectingCallers extends CallerProtocol {
  decodeCall = () => fail(createError('bad_request'));
  readAttempt = () => ({id: undefined, deadlineMs: undefined});
  readKey = () => undefined;
  decodeBatch = () => fail(createError('bad_request'));
  encodePage = () => new Uint8Array();
  answerHeaders = () => ({});
}

/** A platform on whose list every record is an endpoint. */
class EndpointDirectory extends RejectingDirectory {
  override decodeEndpoint = (id: string) =>
    succeed({...createEntry(1), id, startedAtMs: 1});
}

/** A log in which only the list of endpoints has news. */
class EndpointStore extends MemoryStore {
  override readKeyed(...args: Parameters<MemoryStore['readKeyed']>) {
    const [topic] = args;
    if (topic === 'endpoints') return super.readKeyed(...args);
    return new Promise<never>(() => undefined);
  }
}

function createGateway(
  t: ExecutionContext,
  directory: PlatformDirectory = new RejectingDirectory(),
  store = new MemoryStore(),
) {
  const events: string[] = [];
  const logger: EventLogger = {log: (_level, event) => events.push(event)};
  const gateway = new Gateway(
    {
      vmName: 'vm',
      incarnationId: 'life',
      dataCentre: 'dc',
      frontAddress: '127.0.0.1:0',
      readyAddress: '127.0.0.1:0',
      readyPath: '/ready',
      orderLeaseMs: 300,
      isFencingEnforced: true,
      graceMs: 8000,
      claimDelayMs: 0,
    },
    {
      store,
      directory,
      callers: new RejectingCallers(),
      endpoints: new PlainProtocol(),
      logger,
    },
  );
  t.teardown(() => gateway.stop());
  return {gateway, events};
}

// A VM that is asked to stop while it starts opens its listeners all the same.
// 1. SIGTERM comes between two listeners; the stop sees a VM that does not serve.
// 2. The start goes on, says that it serves and takes callers that are cut off.
test('a start during which the VM is asked to stop does not go on', async t => {
  const {gateway, events} = createGateway(t);
  const started = gateway.start();
  await gateway.stop();
  await started;
  t.deepEqual(events, ['stopping', 'stopped']);
});

test('a VM that was asked to stop does not start', async t => {
  const {gateway, events} = createGateway(t);
  await gateway.stop();
  await gateway.start();
  t.deepEqual(events, ['stopping', 'stopped']);
});

// Requests in flight are cut off when a VM is asked twice to stop.
// 1. SIGTERM begins a drain of seconds; a second one comes in the middle of it.
// 2. The second call found a stop under way and was done, and the process ended.
test('a second request to stop is over when the first is', async t => {
  const {gateway, events} = createGateway(t);
  await gateway.start();
  const first = gateway.stop();
  await gateway.stop();
  t.true(events.includes('stopped'));
  await first;
});

// What happened can not be found among what every VM says at its start.
// 1. A fleet of hundreds of VMs comes back and reads the list of endpoints.
// 2. Each VM wrote a line for each endpoint there was.
test('endpoints that are there at the start take one line, later ones a line each', async t => {
  const store = new EndpointStore();
  const records = Array.from({length: 50}, (_, i) =>
    createKeyed(`e${i}`, i, '1'),
  );
  store.newestReads.push({kind: 'page', records, endOffset: 50});
  store.keyedReads.push({
    kind: 'page',
    records: [createKeyed('e50', 50, '1'), createKeyed('e0', 51)],
    endOffset: 52,
  });
  const {gateway, events} = createGateway(t, new EndpointDirectory(), store);
  await gateway.start();
  for (let i = 0; i < 200 && !events.includes('endpoint left'); i++) {
    await sleep(10);
  }
  const told = events.filter(event => event.includes('endpoint'));
  t.deepEqual(told, ['endpoints joined', 'endpoint joined', 'endpoint left']);
});
