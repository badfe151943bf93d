import test from 'ava';
import type {ItemResult, ProgressRecord} from '../batch_record.js';
import {ProgressFold} from '../batch_state.js';
import {
  acceptBatch,
  createBatch,
  createEngine,
  createEvent,
  createSchedule,
  createTerms,
  FixtureLog,
  listResult,
  listStarts,
} from './batch_fixtures.js';
import {BatchScheduler} from '../batch_scheduler.js';

const BATCH = createBatch('b0', ['g0a', 'g0b', 'g1a']);
const ITEM = {batchId: 'b0', itemId: 'g0a'};
const RESULT: ItemResult = {
  itemId: 'g0a',
  state: 'done',
  output: 'text',
  versions: [1],
};

function createLog(): FixtureLog {
  const log = new FixtureLog([BATCH]);
  log.apply(acceptBatch(BATCH));
  return log;
}

test('stored output is available to a coordinator that takes over', t => {
  const log = createLog();
  const events = [createEvent(1, 'a'), createEvent(2, 'a')];
  log.applyProgress({...ITEM, events});
  const next = [createEvent(3, 'b')];
  log.applyProgress({...ITEM, afterRun: 'a', events: next});
  const {transcript} = log.get('b0').items.get('g0a')!;
  t.is(transcript.joinOutput(), '1\n2\n3');
  log.apply(listResult('b0', RESULT));
  const listed = log.get('b0').items.get('g0a')!;
  t.true(listed.isListed);
  t.is(listed.transcript.events.length, 0, 'a listed item is not run again');
});

// Guards against a step that waits for output that already exists.
// 1. A coordinator stores the last event of an item, marked as the end, and
//    stops while the score is pending.
// 2. Its successor must only request the score, unless another run continued
//    the output differently.
test('output is complete only if its end mark follows the stored events', t => {
  const fold = new ProgressFold('b0');
  fold.apply({...ITEM, events: [createEvent(1, 'a')]});
  const transcript = fold.transcripts.get('g0a')!;
  const other = [createEvent(2, 'b')];
  fold.apply({...ITEM, afterRun: 'b', events: other, isWhole: true});
  t.false(
    transcript.isComplete,
    'the mark belongs to the output of another run',
  );
  const last = [createEvent(2, 'a')];
  fold.apply({...ITEM, afterRun: 'a', events: last, isWhole: true});
  t.true(transcript.isComplete);
  fold.apply({...ITEM, afterRun: 'a', events: other});
  t.false(transcript.isComplete, 'another run continued from event 1');
});

// Guards against output that is generated again after a takeover, as the copy of an older record replaced it.
test('a copy of a progress record changes nothing', t => {
  const records: readonly ProgressRecord[] = [
    {...ITEM, events: [createEvent(1, 'a'), createEvent(2, 'a')]},
    {...ITEM, afterRun: 'a', events: [createEvent(3, 'a')]},
    {...ITEM, afterRun: 'a', events: [createEvent(4, 'b')]},
    {...ITEM, afterRun: 'a', events: [createEvent(4, 'b')], isWhole: true},
  ];
  for (const [i, copy] of records.entries()) {
    for (let at = i + 1; at <= records.length; at++) {
      const fold = new ProgressFold('b0');
      const stored = [...records.slice(0, at), copy, ...records.slice(at)];
      for (const record of stored) fold.apply(record);
      const transcript = fold.transcripts.get('g0a')!;
      t.is(transcript.joinOutput(), '1\n2\n3\n4', `copy of ${i} at ${at}`);
      t.is(transcript.isComplete, true, `copy of ${i} at ${at}`);
    }
  }
});

test('progress of other batches is ignored', t => {
  const fold = new ProgressFold('b0');
  const events = [createEvent(1, 'a')];
  fold.apply({batchId: 'b1', itemId: 'g0a', events});
  t.is(fold.transcripts.size, 0);
});

// Guards against output that differs from that which the trainer has read.
// 1. Two coordinators list one item, each with its own output; the first counts.
// 2. The next step requests the item again, from the coordinator whose result
//    is void.
test('output that is not in the log is not reused', t => {
  for (const isOwn of [true, false]) {
    const {scheduler, open} = createSchedule([createEngine('e0')]);
    open(createBatch('b0', ['g0a']));
    const [run] = listStarts(scheduler.decide(0));
    scheduler.onEvent(run, createEvent(1, run.id), 1);
    scheduler.onRunEnd(run, 'finished', 2);
    scheduler.decide(3);
    const record = listResult('b0', RESULT, 0, isOwn ? 'vm' : 'other');
    if (record.kind === 'result') scheduler.onResultListed('b0', record.listed);
    scheduler.closeBatch('b0');
    open(createBatch('b1', ['g0a']));
    const kinds = scheduler.decide(10).map(({kind}) => kind);
    t.deepEqual(kinds, isOwn ? ['list'] : ['start']);
  }
});

// Guards against a step that is generated again although most of it is in the
// log.
// 1. A coordinator lists an item of a group that stays incomplete, and stops.
// 2. The next step requests the group from its successor, which has read the
//    ended batch with the output of its results.
test('a successor uses results of an ended batch whose output it has read', t => {
  const log = createLog();
  log.apply(listResult('b0', RESULT));
  log.apply({kind: 'ended', batchId: 'b0'});
  const state = log.get('b0');
  const storedItem = state.items.get('g0a')!;
  const items = new Map(state.items);
  items.set('g0a', {...storedItem, result: RESULT});
  const scheduler = new BatchScheduler({tokensPerEvent: 1, runPrefix: 'next'});
  scheduler.setEngines([createEngine('e0')]);
  scheduler.openBatch({...state, items}, createTerms());
  t.true(scheduler.hasBatch(BATCH));
  const again = createBatch('b1', ['g0a']);
  const next = new FixtureLog([again]);
  next.apply(acceptBatch(again));
  scheduler.openBatch(next.get('b1'), createTerms());
  const actions = scheduler.decide(0);
  t.like(actions[0], {kind: 'list', result: {output: 'text'}});
  t.is(actions.length, 1);
});
