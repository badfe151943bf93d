import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {createError} from '@radishyoke/shared/error_kind';
import {silentLogger} from '../../../logger.js';
import {KeyedFeed} from '../keyed_feed.js';
import type {KeyedReadOutcome} from '../log_store.js';
import {createKeyed, MemoryStore} from '../../__tests__/gateway_fixtures.js';

/** Creates a feed that emits its events as text. */
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
      onReadFailed: () => emit('read failed'),
    },
    silentLogger,
  );
}

/** Runs a feed until it emits `last`, and returns all emitted texts. */
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

/** A log whose reads of keyed topics are answered by the test. */
class HeldStore extends MemoryStore {
  private readonly held: Array<(outcome: KeyedReadOutcome) => void> = [];

  override readKeyed(): Promise<KeyedReadOutcome> {
    return new Promise(resolve => this.held.push(resolve));
  }

  /** Waits for the next read and returns the function that answers it. */
  async nextRead(): Promise<(outcome: KeyedReadOutcome) => void> {
    for (let i = 0; i < 2000 && this.held.length === 0; i++) await sleep(5);
    const answer = this.held.shift();
    if (!answer) throw new Error('no further read was made');
    return answer;
  }
}

function createPage(
  records: ReturnType<typeof createKeyed>[],
  endOffset: number,
): KeyedReadOutcome {
  return {kind: 'page', records, endOffset};
}

test('the newest records are read first, then the later ones', async t => {
  const store = new MemoryStore();
  store.newestReads.push(createPage([createKeyed('a', 3, 'x')], 4));
  store.keyedReads.push(createPage([createKeyed('a', 4, 'y')], 5));
  t.deepEqual(await follow(store, 'a=y@4'), ['a=x@3', 'caught up', 'a=y@4']);
});

// Guards against work sent to endpoints that left while history was dropped: a reader that
// fell behind starts again with a snapshot, which has no record of removed keys.
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

// Guards against a VM that returns to a replaced configuration: it has read to offset 50,
// history is dropped, and the snapshot it then reads lags behind and ends at 40.
test('a snapshot that is older than records already read is rejected', async t => {
  const store = new MemoryStore();
  store.newestReads.push(
    createPage([createKeyed('a', 49, 'new')], 50),
    createPage([createKeyed('a', 39, 'old')], 40),
  );
  store.keyedReads.push({kind: 'expired', firstOffset: 60});
  const events = await follow(store, 'read failed');
  t.false(events.includes('a=old@39'));
  t.true(events.includes('read failed'));
});

test('a removal is not undone by a slower read of earlier records', async t => {
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

test('concurrent calls to catch up share one read', async t => {
  const store = new MemoryStore();
  const feed = createFeed(store, () => undefined);
  store.keyedReads.push(createPage([createKeyed('a', 0, 'x')], 1));
  t.deepEqual(await Promise.all([feed.catchUp(), feed.catchUp()]), [
    true,
    true,
  ]);
});

// Guards against a final answer from records that were read before the question was asked.
test('a call during a read to catch up waits for a read that begins after it', async t => {
  const store = new HeldStore();
  const events: string[] = [];
  const feed = createFeed(store, text => events.push(text));
  const first = feed.catchUp();
  const answerFirst = await store.nextRead();
  const second = feed.catchUp();
  answerFirst(createPage([], 0));
  t.true(await first);
  const answerSecond = await store.nextRead();
  t.deepEqual(events, []);
  answerSecond(createPage([createKeyed('a', 0, 'x')], 1));
  t.true(await second);
  t.deepEqual(events, ['a=x@0']);
});

test('callers with wrong keys can not overload the log', async t => {
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

test('a failed read is reported and retried', async t => {
  const store = new MemoryStore();
  store.keyedReads.push(
    {kind: 'failed', error: createError('log_unavailable')},
    createPage([createKeyed('a', 0, 'x')], 1),
  );
  t.deepEqual(await follow(store, 'a=x@0'), [
    'caught up',
    'read failed',
    'a=x@0',
  ]);
});
