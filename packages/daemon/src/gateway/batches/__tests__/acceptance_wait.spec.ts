import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {
  BatchIndex,
  type IndexedBatch,
} from '@radishyoke/core/batches/batch_index';
import type {AcceptanceTerms} from '@radishyoke/core/batches/batch_record';
import type {EventLogger} from '../../../logger.js';
import {AcceptanceWait} from '../acceptance_wait.js';
import {ConfigHolder, type ConfigSource} from '../../store/config_holder.js';
import {createBatch, createItem} from './batch_fixtures.js';

/** A source whose reads the test makes succeed or fail. */
class PlannedSource implements ConfigSource {
  isReadable = false;
  reads = 0;

  constructor(private readonly onRead: () => void = () => undefined) {}

  async catchUp(): Promise<boolean> {
    this.reads += 1;
    if (this.isReadable) this.onRead();
    return this.isReadable;
  }

  measureSilenceMs(): number {
    return 0;
  }
}

/** Creates a holder with `version`, whose source has `newest`. */
function createConfig(version: number, newest = version) {
  const events: string[] = [];
  const logger: EventLogger = {log: (_level, event) => events.push(event)};
  const holder = new ConfigHolder(logger);
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const offer = (read: number) =>
    read > 0 && holder.offer({version: read, routes: [], services: [], limits});
  offer(version);
  const source = new PlannedSource(() => offer(newest));
  holder.attach(source);
  return {wait: new AcceptanceWait(holder, logger), source, offer, events};
}

function createEntry(
  acceptedUnder: AcceptanceTerms | undefined,
  submittedAtMs = Date.now(),
): {index: BatchIndex; entry: IndexedBatch} {
  const {items, ...header} = createBatch('b', [createItem('i')]);
  const index = new BatchIndex();
  index.apply({
    kind: 'accepted',
    header: {
      ...header,
      submittedAtMs,
      ...(acceptedUnder ? {acceptedUnder} : {}),
    },
    itemIds: items.map(({id}) => id),
    payload: [],
  });
  return {index, entry: index.get('b')!};
}

function createTerms(configVersion: number, retentionMs = 40_000) {
  return {configVersion, retentionMs};
}

test('a batch does not wait if its configuration has been read', async t => {
  const {wait, source, events} = createConfig(3);
  const {signal} = new AbortController();
  t.is(await wait.wait(createEntry(createTerms(3)).entry, signal), 'known');
  t.is(await wait.wait(createEntry(createTerms(2)).entry, signal), 'known');
  t.is(source.reads, 0);
  t.false(events.includes('batch waited for its configuration'));
});

// Guards against a step that is given up because its route is newer than what the coordinator has read.
test('a batch waits until the version that accepted it is read', async t => {
  const {wait, source, events} = createConfig(3, 5);
  const {signal} = new AbortController();
  let end: string | undefined;
  const waiting = wait
    .wait(createEntry(createTerms(5)).entry, signal)
    .then(result => (end = result));
  while (source.reads < 3) await sleep(5);
  t.is(end, undefined);
  t.is(wait.waitingCount, 1);
  source.isReadable = true;
  t.is(await waiting, 'known');
  t.is(wait.waitingCount, 0);
  t.true(events.includes('batch waited for its configuration'));
});

test('the configuration may also arrive without a read of its own', async t => {
  const {wait, source, offer} = createConfig(3);
  const {signal} = new AbortController();
  const waiting = wait.wait(createEntry(createTerms(5)).entry, signal);
  while (source.reads < 1) await sleep(5);
  offer(6);
  t.is(await waiting, 'known');
});

// Guards against a coordinator that can not tell how old its configuration is, as an older build wrote the record.
test('a batch without a version waits for a complete read', async t => {
  const {wait, source} = createConfig(3);
  const {signal} = new AbortController();
  let end: string | undefined;
  const waiting = wait
    .wait(createEntry(undefined).entry, signal)
    .then(result => (end = result));
  while (source.reads < 2) await sleep(5);
  t.is(end, undefined);
  source.isReadable = true;
  t.is(await waiting, 'known');
});

// Guards against a batch that nobody opens because it arrived before the first configuration.
test('a batch waits for the first configuration', async t => {
  const {wait, source} = createConfig(0, 1);
  const {signal} = new AbortController();
  const waiting = wait.wait(createEntry(createTerms(1)).entry, signal);
  while (source.reads < 1) await sleep(5);
  source.isReadable = true;
  t.is(await waiting, 'known');
});

// Guards against items that stay open for ever because this build can not decode the version that accepted them.
test('the wait ends with the retention under which the batch was accepted', async t => {
  const {wait, source} = createConfig(3);
  source.isReadable = true;
  const {signal} = new AbortController();
  const terms = createTerms(5, 100);
  const isOver = Date.now() + 100;
  const {entry} = createEntry(terms);
  t.is(await wait.wait(entry, signal), 'overdue');
  t.true(Date.now() >= isOver);
});

test('the wait ends when the batch ends or the VM is no longer the coordinator', async t => {
  const {wait} = createConfig(3);
  const {index, entry} = createEntry(createTerms(5));
  const ended = wait.wait(entry, new AbortController().signal);
  index.apply({kind: 'ended', batchId: 'b'});
  t.is(await ended, 'obsolete');
  const abort = new AbortController();
  const aborted = wait.wait(createEntry(createTerms(5)).entry, abort.signal);
  abort.abort();
  t.is(await aborted, 'obsolete');
});
