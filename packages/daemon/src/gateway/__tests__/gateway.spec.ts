import {setTimeout as sleep} from 'node:timers/promises';
import {deriveCallerLimits} from '@radishyoke/wire/caller_limits';
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

/** A platform directory that can not decode any record. */
class RejectingDirectory extends PlatformDirectory {
  readonly configTopic = 'config';
  readonly endpointTopic = 'endpoints';
  readonly crashTopic = EMPTY_TOPIC;
  decodeConfigRecord = () => fail(createError('bad_request'));
  decodeEndpoint: PlatformDirectory['decodeEndpoint'] = () =>
    fail(createError('bad_request'));
}

/** A protocol that can not decode any call. */
class RejectingCallers extends CallerProtocol {
  decodeCall = () => fail(createError('bad_request'));
  readAttempt = () => ({id: undefined, deadlineMs: undefined});
  readKey = () => undefined;
  decodeBatch = () => fail(createError('bad_request'));
  encodePage = () => new Uint8Array();
  answerHeaders = () => ({});
}

/** A platform directory that decodes every record of the endpoint list. */
class EndpointDirectory extends RejectingDirectory {
  override decodeEndpoint = (id: string) =>
    succeed({...createEntry(1), id, startedAtMs: 1});
}

/** A log in which only the endpoint list gets new records. */
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
  isCapacityContended = false,
) {
  const events: string[] = [];
  const logger: EventLogger = {log: (_level, event) => events.push(event)};
  const gateway = new Gateway(
    {
      vmName: 'vm',
      incarnationId: 'start-1',
      dataCentre: 'dc',
      frontAddress: '127.0.0.1:0',
      readyAddress: '127.0.0.1:0',
      readyPath: '/ready',
      orderLeaseMs: 300,
      isFencingEnforced: true,
      graceMs: 8000,
      callerLimits: deriveCallerLimits({memoryMb: 230, maxFds: 4096}),
      claimDelayMs: 0,
      isCapacityContended,
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

test('requests pass an admission gate only where capacity is contended', t => {
  const hasGate = (isContended: boolean) => {
    const args = [t, undefined, undefined, isContended] as const;
    const {gateway} = createGateway(...args);
    return gateway.metrics.render().includes('admission_limit_per_s');
  };
  t.true(hasGate(true));
  t.false(hasGate(false));
});

// Guards against a VM that continues to start after SIGTERM. If the signal comes
// between the opening of two listeners, the stop finds nothing to drain, and the
// start would log that it serves and accept callers that are then cut off.
test('a start is abandoned when the VM is asked to stop meanwhile', async t => {
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

// Guards against requests in flight that are cut off by a second request to stop.
// SIGTERM starts a drain of seconds and a second one comes during it; if the
// second call resolves at once, the process ends before the drain has finished.
test('a second request to stop waits for the first', async t => {
  const {gateway, events} = createGateway(t);
  await gateway.start();
  const first = gateway.stop();
  await gateway.stop();
  t.true(events.includes('stopped'));
  await first;
});

// Guards against a log in which relevant lines are hard to find because hundreds of
// VMs restart and each logs a line for every endpoint of the list.
test('endpoints that exist at the start share one log line, later ones get a line each', async t => {
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
  const logged = events.filter(event => event.includes('endpoint'));
  t.deepEqual(logged, ['endpoints joined', 'endpoint joined', 'endpoint left']);
});
