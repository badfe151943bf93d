import test from 'ava';
import type {BatchScheduler} from '../../batches/batch_scheduler.js';
import type {ItemResult} from '../../batches/batch_record.js';
import {
  createBatch,
  createEngine,
  createEvent,
  createSchedule,
  createTerms,
  listStarts,
} from '../../batches/__tests__/batch_fixtures.js';
import {createRewardItem, createRewardSchedule} from './reward_fixtures.js';

function listResults(scheduler: BatchScheduler): readonly ItemResult[] {
  return scheduler
    .decide(1000)
    .flatMap(action => (action.kind === 'list' ? [action.result] : []));
}

test('an item is listed with its score, and not before', t => {
  const {scheduler, finish} = createRewardSchedule(['g0a']);
  finish('g0a');
  t.deepEqual(listResults(scheduler), []);
  const [job] = scheduler.listUnscored();
  scheduler.onScore(job, 'proof');
  t.like(listResults(scheduler), [
    {state: 'done', output: '1', score: 'proof'},
  ]);
  t.deepEqual(scheduler.listUnscored(), []);
});

// Guards against a trainer with large groups that waits behind those with small
// ones.
// 1. Few endpoints are left, and reward calls queue.
// 2. Later batches with small groups always get their scores first.
// This happens if items are ranked by the number of scores that their group lacks.
test('the batch that is due first is scored first, however large its groups', t => {
  const {scheduler, open} = createSchedule([createEngine('e0', {slots: 6})]);
  const large = ['g0a', 'g0b', 'g0c', 'g0d'].map(createRewardItem);
  const small = ['h0a', 'h1a'].map(createRewardItem);
  const later = createTerms({dueAtMs: 9000});
  open(createBatch('b1', [], {items: small, groupsWanted: 2}), later);
  open(createBatch('b0', [], {items: large, groupsWanted: 1}));
  for (const run of listStarts(scheduler.decide(0))) {
    scheduler.onEvent(run, createEvent(1, run.id), 10);
    scheduler.onRunEnd(run, 'finished', 20);
  }
  const order = scheduler.listUnscored().map(({item}) => item.id);
  t.deepEqual(order, ['g0a', 'g0b', 'g0c', 'g0d', 'h0a', 'h1a']);
});

test('an item whose reward call keeps failing is given up', t => {
  const {scheduler, finish} = createRewardSchedule(['g0a']);
  finish('g0a');
  const [job] = scheduler.listUnscored();
  scheduler.onRewardFailure(job, 'call-1');
  t.deepEqual(listResults(scheduler), []);
  scheduler.onRewardFailure(job, 'call-2');
  t.like(listResults(scheduler), [{state: 'errored'}]);
});

// Guards against a step that loses one second because output in the log is
// generated again.
// 1. A coordinator stores complete output and stops before its score arrives.
// 2. Its successor opens the batch.
// This happens if the log contains the events but not that the output ended.
test('output that is complete in the log only waits for its score', t => {
  const {scheduler, log, open} = createSchedule([createEngine('e0')]);
  const batch = createBatch('b0', [], {items: [createRewardItem('g0a')]});
  open(batch);
  const item = {batchId: 'b0', itemId: 'g0a'};
  const events = [{id: 1, run: 'old', version: 1, data: 'text'}];
  log.applyProgress({...item, events, isWhole: true});
  log.apply({kind: 'reward_failed', ...item, attempt: 'call-1'});
  scheduler.closeBatch('b0');
  const {scheduler: successor} = createSchedule([createEngine('e0')]);
  successor.openBatch(log.get('b0'), createTerms());
  t.deepEqual(listStarts(successor.decide(0)), []);
  const [job] = successor.listUnscored();
  t.is(job.transcript.joinOutput(), 'text');
  t.deepEqual(job.failedRewardCalls, ['call-1']);
});

// Guards against an item that gets the score of another reward call.
// 1. A group that was incomplete is requested again in a later batch.
// 2. Its items have other reward requests than before.
test('a score is reused only for the same call', t => {
  const {scheduler, log, finish} = createRewardSchedule(['g0a', 'g0b']);
  for (const id of ['g0a', 'g0b']) finish(id);
  for (const job of scheduler.listUnscored()) scheduler.onScore(job, 'proof');
  scheduler.decide(100);
  const other = createRewardItem('g0b');
  const batch = createBatch('b1', [], {
    groupsWanted: 1,
    items: [
      createRewardItem('g0a'),
      {...other, reward: {...other.reward!, id: 'r-other'}},
    ],
  });
  const items = new Map(
    batch.items.map(item => [
      item.id,
      {...log.get('b0').items.get(item.id)!, item},
    ]),
  );
  scheduler.openBatch({batch, items, isEnded: false}, createTerms());
  const actions = scheduler.decide(1000);
  t.like(actions[0], {kind: 'list', result: {itemId: 'g0a', score: 'proof'}});
  const [again] = listStarts(actions);
  t.is(again.job.item.id, 'g0b');
  t.is(again.job.transcript.events.length, 0);
});
