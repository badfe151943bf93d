import test from 'ava';
import fc from 'fast-check';
import {BatchIndex, type IndexedItem, isStepReady} from '../batch_index.js';
import type {FailureKind, IndexRecord, ListedResult} from '../batch_record.js';
import {acceptBatch, createBatch, listResult} from './batch_fixtures.js';

const BATCH = createBatch('b0', ['g0a', 'g0b', 'g1a']);

/** Creates a record that lists `itemId` with its output at `offset`. */
function list(itemId: string, offset = 0): IndexRecord {
  return listResult(
    'b0',
    {itemId, state: 'done', output: '', versions: [1]},
    offset,
  );
}

function createIndex(): BatchIndex {
  const index = new BatchIndex();
  index.apply(acceptBatch(BATCH));
  return index;
}

// Guards against a trainer that reads two results of one item.
// 1. A lease holder lists an item and loses its lease before it reads the
//    record back.
// 2. The next holder runs the item again and lists it with different output.
// Both results are then in the log.
test('the first result of an item counts', t => {
  const index = createIndex();
  t.is(index.apply(list('g0a', 1))?.kind, 'listed');
  t.is(index.apply(list('g0a', 2)), undefined);
  t.is(index.apply(list('g1a', 3))?.kind, 'listed');
  const {results} = index.get('b0')!;
  t.deepEqual(
    results.map(({text}) => text[0].offset),
    [1, 3],
  );
});

test('accepting a batch again changes nothing, even after it ended', t => {
  const index = createIndex();
  index.apply(list('g0a'));
  index.apply({kind: 'ended', batchId: 'b0'});
  t.is(index.apply(acceptBatch(BATCH)), undefined);
  t.true(index.get('b0')!.isEnded);
  t.is(index.get('b0')!.results.length, 1);
});

test('results of items or batches that do not exist are ignored', t => {
  const index = new BatchIndex();
  t.is(index.apply(list('g0a')), undefined);
  index.apply(acceptBatch(BATCH));
  t.is(index.apply(list('g9z')), undefined);
});

test('positions never change and no item has two, whichever records are repeated', t => {
  const items = BATCH.items.map(({id}) => id);
  const record = fc.oneof(
    fc
      .tuple(fc.constantFrom(...items), fc.nat({max: 99}))
      .map(([id, offset]) => list(id, offset)),
    fc.constant<IndexRecord>({kind: 'ended', batchId: 'b0'}),
    fc.constant(acceptBatch(BATCH)),
  );
  fc.assert(
    fc.property(fc.array(record, {maxLength: 30}), records => {
      const index = createIndex();
      let before: readonly ListedResult[] = [];
      for (const each of records) {
        index.apply(each);
        const results = [...index.get('b0')!.results];
        t.deepEqual(results.slice(0, before.length), before);
        before = results;
      }
      const ids = before.map(({itemId}) => itemId);
      t.is(new Set(ids).size, ids.length);
    }),
    {seed: 11, numRuns: 300},
  );
});

test('batches submitted before the given time are dropped', t => {
  const index = createIndex();
  index.forget(0);
  t.truthy(index.get('b0'));
  index.forget(1);
  t.is(index.get('b0'), undefined);
});

function recordFailure(
  kind: FailureKind,
  attempt?: string,
  itemId = 'g0a',
): IndexRecord {
  const id = attempt === undefined ? {} : {attempt};
  return {kind, batchId: 'b0', itemId, ...id};
}

// Guards against a batch that is run once more, as a copy of its acceptance is stored after it was dropped.
test('a batch that was dropped is not opened again', t => {
  const index = createIndex();
  index.apply(list('g0a'));
  index.forget(1);
  t.is(index.apply(acceptBatch(BATCH)), undefined);
  t.is(index.get('b0'), undefined);
  const later = createBatch('b1', ['g0a'], {submittedAtMs: 1});
  t.is(index.apply(acceptBatch(later))?.kind, 'opened');
});

test('failed reward calls are counted for a coordinator that takes over', t => {
  const index = createIndex();
  index.apply(recordFailure('reward_failed', 'call-1'));
  index.apply(recordFailure('reward_failed', 'call-2'));
  const {items} = index.get('b0')!;
  t.is(items.get('g0a')!.failedRewardCalls.length, 2);
  t.is(items.get('g0b')!.failedRewardCalls.length, 0);
});

interface FailureCase {
  readonly kind: FailureKind;
  readonly list: (item: IndexedItem) => readonly string[];
}

const FAILURE_CASES: readonly FailureCase[] = [
  {kind: 'attempt_failed', list: ({failedRuns}) => failedRuns},
  {kind: 'attempt_impossible', list: ({rejectedRuns}) => rejectedRuns},
  {kind: 'reward_failed', list: ({failedRewardCalls}) => failedRewardCalls},
];

for (const {kind, list: listAttempts} of FAILURE_CASES) {
  // Guards against an item that is given up before its attempts are used up, as a repeated append counts twice.
  test(`a failure is counted once, wherever copies of its record are: ${kind}`, t => {
    const index = createIndex();
    const attempts = ['vm.0-1', 'vm.0-2', 'vm.0-1', 'vm.1-1', 'vm.0-2'];
    for (const attempt of attempts) index.apply(recordFailure(kind, attempt));
    index.apply(recordFailure(kind, 'vm.0-3', 'g0b'));
    const {items} = index.get('b0')!;
    const counted = ['vm.0-1', 'vm.0-2', 'vm.1-1'];
    t.deepEqual(listAttempts(items.get('g0a')!), counted);
    t.deepEqual(listAttempts(items.get('g0b')!), ['vm.0-3']);
  });

  // Guards against the same where a VM of an earlier build wrote the records.
  test(`failures without an id count as one beside those with an id: ${kind}`, t => {
    const index = createIndex();
    const attempts = [undefined, 'vm.0-1', undefined, 'vm.0-2', undefined];
    for (const attempt of attempts) index.apply(recordFailure(kind, attempt));
    const {items} = index.get('b0')!;
    t.is(listAttempts(items.get('g0a')!).length, 3);
  });
}

// Guards against a step that never counts as ready, as its groups are not known.
test('a step is ready once enough groups are complete, or at once without groups', t => {
  const index = new BatchIndex();
  const accepted = acceptBatch({...BATCH, groupsWanted: 1});
  index.apply({...accepted, groupNumbers: [0, 0, 1]} as IndexRecord);
  const entry = index.get('b0')!;
  index.apply(list('g0a'));
  t.false(isStepReady(entry));
  // A second result of the item is void.
  index.apply(list('g0a'));
  t.false(isStepReady(entry));
  index.apply(list('g0b'));
  t.false(isStepReady(entry), 'a group carried over may be missing');
  index.apply(
    listResult(
      'b0',
      {itemId: 'g1a', state: 'done', output: '', versions: [1], endsStep: true},
      0,
    ),
  );
  t.true(isStepReady(entry));
  t.true(isStepReady(createIndex().get('b0')!));
});
