import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createError} from '@radishyoke/shared/error_kind';
import {silentLogger} from '../../../logger.js';
import {KeyedFeed} from '../keyed_feed.js';
import type {KeyedReadOutcome} from '../log_store.js';
import {createKeyed, MemoryStore} from '../../__tests__/gateway_fixtures.js';

/** A feed that tells what it hears as text. */
function createFeed(
  store: MemoryStore,
  emit: (text: string) => void,
): KeyedFeed {
  return new KeyedFeed(
    store,
    {topic: 'keys', waitMs: 10, gatherMs: 0},
    {
      onRecord: ({key, value, offset}) =>
        emit(`${key}=${value ? Buffer.from(value).toString() : '-'}@${offset}`),
      onCaughtUp: () => emit('caught up'),
      onContact: () => undefined,
      onRead: () => undefined,
      onLost: () => emit('lost'),
    },
    silentLogger,
  );
}

/** Runs a feed until it has told `last`, and returns all that it told. */
async function follow(
  store: MemoryStore,
  last: string,
): Promise<readonly string[]> {
  const events: string[] = [];
  const feed = createFeed(store, text => events.push(text));
  const running = feed.run();
  for (let i = 0; i < 2000 && !events.includes(last); i++) await sleep(5);
  feed.stop();
  await running;
  return events;
}

function createPage(
  records: ReturnType<typeof createKeyed>[],
  endOffset: number,
): KeyedReadOutcome {
  return {kind: 'page', records, endOffset};
}

test('the newest records come first, then what follows them', async t => {
  const store = new MemoryStore();
  store.newestReads.push(createPage([createKeyed('a', 3, 'x')], 4));
  store.keyedReads.push(createPage([createKeyed('a', 4, 'y')], 5));
  t.deepEqual(await follow(store, 'a=y@4'), ['a=x@3', 'caught up', 'a=y@4']);
});

// Work goes to endpoints that left while history was dropped.
// 1. A reader falls behind; the records it would go on from are gone.
// 2. A key was removed meanwhile: no record of the removal is left.
// Cause: reading anew tells what is there, not what went.
test('keys that are missing after history was dropped are removed', async t => {
  const store = new MemoryStore();
  store.newestReads.push(
    createPage([createKeyed('a', 3, 'x'), createKeyed('b', 4, 'x')], 5),
    createPage([createKeyed('b', 4, 'x')], 50),
  );
  store.keyedReads.push({kind: 'expired', firstOffset: 40});
  t.deepEqual((await follow(store, 'a=-@49')).slice(0, 4), [
    'a=x@3',
    'b=x@4',
    'caught up',
    'a=-@49',
  ]);
});

// A VM goes back to a configuration that was replaced.
// 1. It has read to offset 50; history is dropped and it reads anew.
// 2. That read lags behind and ends at 40.
test('newest records that are older than what was read are not taken', async t => {
  const store = new MemoryStore();
  store.newestReads.push(
    createPage([createKeyed('a', 49, 'new')], 50),
    createPage([createKeyed('a', 39, 'old')], 40),
  );
  store.keyedReads.push({kind: 'expired', firstOffset: 60});
  const events = await follow(store, 'lost');
  t.false(events.includes('a=old@39'));
  t.true(events.includes('lost'));
});

test('guards against a removal that is undone by a slower read of what came before it', async t => {
  const store = new MemoryStore();
  const feed = createFeed(store, () => undefined);
  const events: string[] = [];
  const slow = createFeed(store, text => events.push(text));
  store.keyedReads.push(
    createPage([createKeyed('a', 0, 'x'), createKeyed('a', 1)], 2),
  );
  t.true(await slow.catchUp());
  store.keyedReads.push(createPage([createKeyed('a', 0, 'x')], 2));
  t.true(await slow.catchUp());
  t.deepEqual(events, ['a=x@0', 'a=-@1']);
  store.keyedReads.push({
    kind: 'failed',
    error: createError('log_unavailable'),
  });
  t.false(await feed.catchUp());
});

test('calls that want to catch up at once share one read', async t => {
  const store = new MemoryStore();
  const feed = createFeed(store, () => undefined);
  store.keyedReads.push(createPage([createKeyed('a', 0, 'x')], 1));
  t.deepEqual(await Promise.all([feed.catchUp(), feed.catchUp()]), [
    true,
    true,
  ]);
});

test('guards against callers with wrong keys that use up the calls of the log', async t => {
  const store = new MemoryStore();
  const feed = createFeed(store, () => undefined);
  store.keyedReads.push(createPage([], 0), createPage([], 0));
  await feed.catchUp();
  const second = feed.catchUp();
  await new Promise(resolve => setImmediate(resolve));
  t.is(store.keyedReads.length, 1);
  t.true(await second);
  t.is(store.keyedReads.length, 0);
});

test('a failed read is told and tried again', async t => {
  const store = new MemoryStore();
  store.keyedReads.push(
    {kind: 'failed', error: createError('log_unavailable')},
    createPage([createKeyed('a', 0, 'x')], 1),
  );
  t.deepEqual(await follow(store, 'a=x@0'), ['caught up', 'lost', 'a=x@0']);
});
