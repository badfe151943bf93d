import {CrashRegistry} from '@radishyoke/core/crashes/crash_registry';
import test from 'ava';
import {silentLogger} from '../../../logger.js';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {GatewayMetrics} from '../../gateway_metrics.js';
import {CrashWatch} from '../crash_watch.js';

/** Creates a watch whose endpoints are reachable unless listed in `gone`. */
function createWatch() {
  const registry = new CrashRegistry(0);
  const published: string[] = [];
  const gone = new Set<string>();
  const entries = new Map(
    Array.from({length: 8}, (_, i) => [
      `e${i}`,
      {...createEntry(i + 1), id: `e${i}`},
    ]),
  );
  const watch = new CrashWatch({
    registry,
    publisher: {publish: fingerprint => published.push(fingerprint)},
    metrics: new GatewayMetrics(),
    logger: silentLogger,
    probe: async ({port}) => !gone.has(`e${port - 1}`),
  });
  const begin = (id: string, fingerprint: string) =>
    watch.recordStart(entries.get(id)!, () => fingerprint);
  /** Crashes endpoint `id` with only `fingerprint` in flight. */
  const crash = async (id: string, fingerprint: string) => {
    gone.add(id);
    begin(id, fingerprint).end('broken');
    await watch.waitForCheck(id);
  };
  return {watch, registry, published, gone, begin, crash};
}

test('a request is quarantined after its third crash', async t => {
  const {watch, crash} = createWatch();
  await crash('e0', 'f');
  await crash('e1', 'f');
  t.false(watch.isQuarantined(() => 'f'));
  await crash('e2', 'f');
  t.true(watch.isQuarantined(() => 'f'));
  t.false(watch.isQuarantined(() => 'g'));
});

// Guards against connection resets being treated as crashes.
test('a broken connection to a reachable endpoint is no crash', async t => {
  const {watch, registry, begin} = createWatch();
  begin('e0', 'f').end('broken');
  await watch.waitForCheck('e0');
  t.is(registry.size, 0);
});

// Guards against crashes that the probe misses because something else accepts connections
// at the endpoint's address.
test('a broken connection is a crash once the list shows its endpoint gone', async t => {
  const {watch, registry, begin} = createWatch();
  const entry = {...createEntry(1), id: 'e0'};
  begin('e0', 'f').end('broken');
  begin('e0', 'g').end('broken');
  await watch.waitForCheck('e0');
  begin('e1', 'g').end('answered');
  watch.onEndpointGone(entry);
  t.is(registry.getCrashes('f').length, 1);
  t.false(registry.has('g'));
  watch.onEndpointGone(entry);
  t.is(registry.getCrashes('f').length, 1);
});

test('a broken connection is no crash while an earlier request still runs there', async t => {
  const {watch, registry, gone, begin} = createWatch();
  gone.add('e0');
  begin('e0', 'g');
  begin('e0', 'f').end('broken');
  await watch.waitForCheck('e0');
  t.is(registry.size, 0);
});

test('a request that this VM ends itself is no crash', async t => {
  const {watch, registry, gone, begin} = createWatch();
  gone.add('e0');
  begin('e0', 'f').end('left');
  await watch.waitForCheck('e0');
  t.is(registry.size, 0);
});

// Guards against blaming other requests that were in flight on the crashed endpoint.
test('a request that succeeds before or after the crash is confirmed is cleared', async t => {
  const {watch, registry, published, gone, begin} = createWatch();
  gone.add('e0');
  begin('e0', 'f').end('broken');
  begin('e0', 'g').end('broken');
  begin('e1', 'g').end('answered');
  await watch.waitForCheck('e0');
  t.true(registry.has('f'));
  t.false(registry.has('g'));
  begin('e1', 'f').end('answered');
  t.is(registry.size, 0);
  t.deepEqual(published, ['f'], 'the other VMs learn that it is cleared');
});

// Guards against quarantining a frequently repeated, harmless request on all VMs.
test('a request that was answered recently is cleared for all VMs', async t => {
  const {watch, registry, published, begin, crash} = createWatch();
  begin('e0', 'f').end('answered');
  await crash('e1', 'f');
  t.is(registry.size, 0);
  registry.recordCrash('f', {endpointId: 'e2', atMs: Date.now(), weight: 2});
  watch.onRemoteUpdate('f');
  t.is(registry.size, 0);
  t.deepEqual(published, ['f']);
  registry.recordCrash('g', {endpointId: 'e2', atMs: Date.now(), weight: 2});
  watch.onRemoteUpdate('g');
  t.true(registry.has('g'));
});

test('a crash late in a stream weighs half, and a stream that got past its start clears the request', async t => {
  const {watch, registry, gone, begin} = createWatch();
  for (const id of ['e0', 'e1', 'e2', 'e3', 'e4']) {
    gone.add(id);
    const watched = begin(id, 'f');
    for (let i = 0; i < 10; i++) watched.recordEvent();
    watched.end('broken');
    await watch.waitForCheck(id);
  }
  t.is(registry.getCrashes('f').length, 5);
  t.false(watch.isQuarantined(() => 'f'));
  const watched = begin('e5', 'f');
  for (let i = 0; i < 10; i++) watched.recordEvent();
  watched.end('left');
  t.is(registry.size, 0);
});

// Guards against blaming a request for endpoints that were already down.
test('a suspected request is only sent to reachable endpoints', async t => {
  const {watch, gone, crash} = createWatch();
  const maySend = (id: string) =>
    watch.maySendTo({...createEntry(Number(id[1]) + 1), id}, () => 'f');
  gone.add('e1');
  t.true(
    await maySend('e1'),
    'a request that is not suspected is sent without a probe',
  );
  await crash('e0', 'f');
  t.false(await maySend('e1'));
  t.true(await maySend('e2'));
});

// Guards against a write to the log for every request in flight on a crashed endpoint.
test('crashes are published at once from the second one on', async t => {
  const {published, crash} = createWatch();
  await crash('e0', 'f');
  t.deepEqual(published, []);
  await crash('e1', 'f');
  t.deepEqual(published, ['f']);
});

// Guards against endless probes if crashes show only in the list of endpoints.
test('a probe that ends with a broken connection counts as a crash at once', t => {
  const {watch, registry, begin} = createWatch();
  const longAgoMs = Date.now() - 60_000;
  for (let i = 0; i < 3; i++) {
    const endpointId = `e${i}`;
    registry.recordCrash('f', {endpointId, atMs: longAgoMs + i, weight: 2});
  }
  begin('e3', 'f').end('broken');
  t.is(registry.getCrashes('f').length, 4);
  t.true(watch.measureQuarantineMs('f') > 9000);
});

test('during a probe of a quarantined request no other request with its fingerprint is sent', async t => {
  const {watch, registry, begin} = createWatch();
  const longAgoMs = Date.now() - 60_000;
  for (let i = 0; i < 3; i++) {
    const endpointId = `e${i}`;
    registry.recordCrash('f', {endpointId, atMs: longAgoMs + i, weight: 2});
  }
  t.false(watch.isQuarantined(() => 'f'));
  const watched = begin('e3', 'f');
  t.true(watch.isQuarantined(() => 'f'));
  watched.end('answered');
  t.false(watch.isQuarantined(() => 'f'));
});
