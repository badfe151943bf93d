import test from 'ava';
import fc from 'fast-check';
import type {BatchRecord, ItemResult} from '../batch_record.js';
import {ResultCache} from '../result_cache.js';
import {
  acceptBatch,
  createBatch,
  createEvent,
  createLedger,
} from './batch_fixtures.js';

const BATCH = createBatch('b0', ['g0a', 'g0b', 'g1a']);

function createResult(itemId: string, output = itemId): ItemResult {
  return {itemId, state: 'done', output, versions: [1]};
}

function listResult(itemId: string, output?: string): BatchRecord {
  return {kind: 'result', batchId: 'b0', result: createResult(itemId, output)};
}

// A trainer reads two results of one item.
// 1. A holder lists an item and loses its lease before it reads the record.
// 2. The next holder runs the item again and lists it with another text.
// Cause: both results stand in the log.
test('the first result of an item counts', t => {
  const ledger = createLedger([BATCH]);
  for (const record of acceptBatch(BATCH, 0)) ledger.apply(record);
  t.is(ledger.apply(listResult('g0a'))?.kind, 'listed');
  t.is(ledger.apply(listResult('g0a', 'other')), undefined);
  t.is(ledger.apply(listResult('g1a'))?.kind, 'listed');
  const {results} = ledger.get('b0')!;
  t.deepEqual(
    results.map(({result}) => result?.output),
    ['g0a', 'g1a'],
  );
});

test('a batch that is accepted again changes nothing, ended or not', t => {
  const ledger = createLedger([BATCH]);
  for (const record of acceptBatch(BATCH, 0)) ledger.apply(record);
  ledger.apply(listResult('g0a'));
  ledger.apply({kind: 'ended', batchId: 'b0'});
  for (const record of acceptBatch(BATCH, 0, 'b0-2')) {
    t.is(ledger.apply(record), undefined);
  }
  t.true(ledger.get('b0')!.isEnded);
  t.is(ledger.get('b0')!.results.length, 1);
});

test('a submission that lacks a slice is not accepted', t => {
  const ledger = createLedger([BATCH]);
  ledger.apply({kind: 'accepted', batchId: 'b0', submission: 's', slices: 1});
  t.is(ledger.get('b0'), undefined);
});

test('results of items or batches that do not exist are ignored', t => {
  const ledger = createLedger([BATCH]);
  t.is(ledger.apply(listResult('g0a')), undefined);
  for (const record of acceptBatch(BATCH, 0)) ledger.apply(record);
  t.is(ledger.apply(listResult('g9z')), undefined);
});

test('output that was stored is there for whoever goes on', t => {
  const ledger = createLedger([BATCH]);
  for (const record of acceptBatch(BATCH, 0)) ledger.apply(record);
  const events = [createEvent(1, 'a'), createEvent(2, 'a')];
  ledger.apply({kind: 'progress', batchId: 'b0', itemId: 'g0a', events});
  const next = [createEvent(3, 'b')];
  ledger.apply({
    kind: 'progress',
    batchId: 'b0',
    itemId: 'g0a',
    afterRun: 'a',
    events: next,
  });
  const {transcript} = ledger.get('b0')!.items.get('g0a')!;
  t.is(transcript.joinOutput(), '1\n2\n3');
  ledger.apply(listResult('g0a'));
  t.is(transcript.events.length, 0, 'what is listed is not kept twice');
});

test('positions never change and no item has two, whatever is repeated', t => {
  const items = BATCH.items.map(({id}) => id);
  const record = fc.oneof(
    fc
      .tuple(fc.constantFrom(...items), fc.string({maxLength: 3}))
      .map(([id, output]) => listResult(id, output)),
    fc.constant<BatchRecord>({kind: 'ended', batchId: 'b0'}),
    fc.constantFrom(...acceptBatch(BATCH, 0, 'again')),
  );
  fc.assert(
    fc.property(fc.array(record, {maxLength: 30}), records => {
      const ledger = createLedger([BATCH]);
      for (const each of acceptBatch(BATCH, 0)) ledger.apply(each);
      let before: ReadonlyArray<ItemResult | undefined> = [];
      for (const each of records) {
        ledger.apply(each);
        const results = ledger.get('b0')!.results.map(({result}) => result);
        t.deepEqual(results.slice(0, before.length), before);
        before = results;
      }
      const ids = before.map(result => result?.itemId);
      t.is(new Set(ids).size, ids.length);
    }),
    {seed: 11, numRuns: 300},
  );
});

test('batches are forgotten when nobody can ask for them any more', t => {
  const ledger = createLedger([BATCH]);
  for (const record of acceptBatch(BATCH, 0)) ledger.apply(record);
  ledger.forget(0);
  t.truthy(ledger.get('b0'));
  ledger.forget(1);
  t.is(ledger.get('b0'), undefined);
});

// A step waits for a text that was made already.
// 1. A coordinator writes the last event of a text down, marked as such, and
//    goes while the score is under way.
// 2. Its successor must go on with the score, unless the text went on otherwise.
test('a text is whole only where its mark stands behind what is known', t => {
  const ledger = createLedger([BATCH]);
  for (const record of acceptBatch(BATCH, 0)) ledger.apply(record);
  const {transcript} = ledger.get('b0')!.items.get('g0a')!;
  const progress = {kind: 'progress', batchId: 'b0', itemId: 'g0a'} as const;
  ledger.apply({...progress, events: [createEvent(1, 'a')]});
  const other = [createEvent(2, 'b')];
  ledger.apply({...progress, afterRun: 'b', events: other, isWhole: true});
  t.false(transcript.isWhole, 'the mark belongs to a text of another run');
  const last = [createEvent(2, 'a')];
  ledger.apply({...progress, afterRun: 'a', events: last, isWhole: true});
  t.true(transcript.isWhole);
  ledger.apply({...progress, afterRun: 'a', events: other});
  t.false(transcript.isWhole, 'another run went on from event 1');
});

test('failed reward calls are counted for whoever takes over', t => {
  const ledger = createLedger([BATCH]);
  for (const record of acceptBatch(BATCH, 0)) ledger.apply(record);
  ledger.apply({kind: 'reward_failed', batchId: 'b0', itemId: 'g0a'});
  ledger.apply({kind: 'reward_failed', batchId: 'b0', itemId: 'g0a'});
  t.is(ledger.get('b0')!.items.get('g0a')!.rewardFailures, 2);
  t.is(ledger.get('b0')!.items.get('g0b')!.rewardFailures, 0);
});

// A coordinator runs out of memory after half a minute of load.
// 1. Trainers end step after step; callers may ask for results for minutes.
// 2. All texts of these minutes are kept.
test('texts beyond the bound are let go, the oldest first, and positions stay', t => {
  const ledger = createLedger([BATCH], new ResultCache(25));
  for (const record of acceptBatch(BATCH, 0)) ledger.apply(record);
  const text = 'x'.repeat(10);
  for (const id of ['g0a', 'g0b', 'g1a']) ledger.apply(listResult(id, text));
  const {results} = ledger.get('b0')!;
  t.deepEqual(
    results.map(({result}) => result?.itemId),
    [undefined, 'g0b', 'g1a'],
  );
  t.deepEqual(
    results.map(({offset}) => offset),
    [2, 3, 4],
  );
});
