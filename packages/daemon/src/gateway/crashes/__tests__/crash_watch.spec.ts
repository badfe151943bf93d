import {CrashRegistry} from '@radishyoke/core/crashes/crash_registry';
import test from 'ava';
import {silentLogger} from '../../../logger.js';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {GatewayMetrics} from '../../gateway_metrics.js';
import {CrashWatch} from '../crash_watch.js';

/** A watch whose endpoints are there unless they stand in `gone`. */
function createWatch() {
  const book = new CrashRegistry(0);
  const published: string[] = [];
  const gone = new Set<string>();
  const entries = new Map(
    Array.from({length: 8}, (_, i) => [
      `e${i}`,
      {...createEntry(i + 1), id: `e${i}`},
    ]),
  );
  const watch = new CrashWatch({
    book,
    publisher: {publish: fingerprint => published.push(fingerprint)},
    metrics: new GatewayMetrics(),
    logger: silentLogger,
    probe: async ({port}) => !gone.has(`e${port - 1}`),
  });
  const begin = (id: string, fingerprint: string) =>
    watch.recordStart(entries.get(id)!, () => fingerprint);
  /** `fingerprint` runs alone at `id`, which crashes. */
  const crash = async (id: string, fingerprint: string) => {
    gone.add(id);
    begin(id, fingerprint).end('broken');
    await watch.waitForCheck(id);
  };
  return {watch, book, published: published, gone, begin, crash};
}

test('a request whose endpoints crash is held back after the third', async t => {
  const {watch, crash} = createWatch();
  await crash('e0', 'f');
  await crash('e1', 'f');
  t.false(watch.isQuarantined(() => 'f'));
  await crash('e2', 'f');
  t.true(watch.isQuarantined(() => 'f'));
  t.false(watch.isQuarantined(() => 'g'));
});

// Guards against links that are reset being taken for crashes.
test('a broken connection to an endpoint that is there is no crash', async t => {
  const {watch, book, begin} = createWatch();
  begin('e0', 'f').end('broken');
  await watch.waitForCheck('e0');
  t.is(book.size, 0);
});

// Guards against endpoints whose address is answered for while they are away.
test('a broken connection is a crash once the list says that its endpoint is gone', async t => {
  const {watch, book, begin} = createWatch();
  const entry = {...createEntry(1), id: 'e0'};
  begin('e0', 'f').end('broken');
  begin('e0', 'g').end('broken');
  await watch.waitForCheck('e0');
  begin('e1', 'g').end('answered');
  watch.onEndpointGone(entry);
  t.is(book.getCrashes('f').length, 1);
  t.false(book.has('g'));
  watch.onEndpointGone(entry);
  t.is(book.getCrashes('f').length, 1);
});

test('a broken connection beside one that goes on is no crash', async t => {
  const {watch, book, gone, begin} = createWatch();
  gone.add('e0');
  begin('e0', 'g');
  begin('e0', 'f').end('broken');
  await watch.waitForCheck('e0');
  t.is(book.size, 0);
});

test('what this VM ends itself is no crash', async t => {
  const {watch, book, gone, begin} = createWatch();
  gone.add('e0');
  begin('e0', 'f').end('left');
  await watch.waitForCheck('e0');
  t.is(book.size, 0);
});

// Guards against bystanders being blamed for a crash.
test('what ends well before or after a crash is known is clear', async t => {
  const {watch, book, published, gone, begin} = createWatch();
  gone.add('e0');
  begin('e0', 'f').end('broken');
  begin('e0', 'g').end('broken');
  begin('e1', 'g').end('answered');
  await watch.waitForCheck('e0');
  t.true(book.has('f'));
  t.false(book.has('g'));
  begin('e1', 'f').end('answered');
  t.is(book.size, 0);
  t.deepEqual(published, ['f'], 'the others are told that it is clear');
});

// Guards against a request that is asked all the time being held back on all VMs.
test('a request that was answered a moment ago is cleared for all VMs', async t => {
  const {watch, book, published, begin, crash} = createWatch();
  begin('e0', 'f').end('answered');
  await crash('e1', 'f');
  t.is(book.size, 0);
  book.recordCrash('f', {endpointId: 'e2', atMs: Date.now(), weight: 2});
  watch.onRemoteUpdate('f');
  t.is(book.size, 0);
  t.deepEqual(published, ['f']);
  book.recordCrash('g', {endpointId: 'e2', atMs: Date.now(), weight: 2});
  watch.onRemoteUpdate('g');
  t.true(book.has('g'));
});

test('a crash late in a stream weighs half, and events clear a run that lives', async t => {
  const {watch, book, gone, begin} = createWatch();
  for (const id of ['e0', 'e1', 'e2', 'e3', 'e4']) {
    gone.add(id);
    const watched = begin(id, 'f');
    for (let i = 0; i < 10; i++) watched.recordEvent();
    watched.end('broken');
    await watch.waitForCheck(id);
  }
  t.is(book.getCrashes('f').length, 5);
  t.false(watch.isQuarantined(() => 'f'));
  const watched = begin('e5', 'f');
  for (let i = 0; i < 10; i++) watched.recordEvent();
  watched.end('left');
  t.is(book.size, 0);
});

// Guards against a bystander being blamed for endpoints that others had crashed before.
test('a suspect goes only to endpoints that are there', async t => {
  const {watch, gone, crash} = createWatch();
  const fit = (id: string) =>
    watch.maySendTo({...createEntry(Number(id[1]) + 1), id}, () => 'f');
  gone.add('e1');
  t.true(await fit('e1'), 'nothing speaks against it: it is just sent');
  await crash('e0', 'f');
  t.false(await fit('e1'));
  t.true(await fit('e2'));
});

// Guards against a write to the log for each bystander of a crash.
test('others are told at once from the second crash on', async t => {
  const {published, crash} = createWatch();
  await crash('e0', 'f');
  t.deepEqual(published, []);
  await crash('e1', 'f');
  t.deepEqual(published, ['f']);
});

// Guards against tries without end where a crash is known only from the list of endpoints.
test('a try that ends with a broken connection is held against its request at once', t => {
  const {watch, book, begin} = createWatch();
  const longAgoMs = Date.now() - 60_000;
  for (let i = 0; i < 3; i++) {
    const endpointId = `e${i}`;
    book.recordCrash('f', {endpointId, atMs: longAgoMs + i, weight: 2});
  }
  begin('e3', 'f').end('broken');
  t.is(book.getCrashes('f').length, 4);
  t.true(watch.measureQuarantineMs('f') > 9000);
});

test('while a held request is tried once more no other one like it goes out', async t => {
  const {watch, book, begin} = createWatch();
  const longAgoMs = Date.now() - 60_000;
  for (let i = 0; i < 3; i++) {
    const endpointId = `e${i}`;
    book.recordCrash('f', {endpointId, atMs: longAgoMs + i, weight: 2});
  }
  t.false(watch.isQuarantined(() => 'f'));
  const watched = begin('e3', 'f');
  t.true(watch.isQuarantined(() => 'f'));
  watched.end('answered');
  t.false(watch.isQuarantined(() => 'f'));
});
