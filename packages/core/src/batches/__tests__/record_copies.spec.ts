import test from 'ava';
import fc from 'fast-check';
import {BatchIndex} from '../batch_index.js';
import type {FailureKind, IndexRecord} from '../batch_record.js';
import {acceptBatch, createBatch, listResult} from './batch_fixtures.js';
import {
  ATTEMPTS,
  type CopyCommand,
  type Delivery,
  ITEM_IDS,
  RecordCopiesModel,
} from './record_copies_model.js';

const BATCH_IDS: readonly string[] = ['b0', 'b1'];
const ENGINE_ANSWERS = ['failed', 'impossible'] as const;

const batchArbitrary = fc.constantFrom(...BATCH_IDS);
const itemArbitrary = fc.constantFrom(...ITEM_IDS);
/** Attempts of two coordinators, one of them in two terms, or of a build without ids. */
const attemptArbitrary = fc.option(
  fc
    .tuple(
      fc.constantFrom('v0.0', 'v0.1', 'v1.0'),
      fc.integer({max: 3, min: 1}),
    )
    .map(([term, number]) => `${term}-${number}`),
  {nil: undefined},
);

function createFailureArbitrary<K extends FailureKind>(kind: K) {
  return fc
    .tuple(batchArbitrary, itemArbitrary, attemptArbitrary)
    .map(([batchId, itemId, attempt]) => ({
      kind,
      batchId,
      itemId,
      ...(attempt === undefined ? {} : {attempt}),
    }));
}

/** Every kind is drawn: one that is missing here does not compile. */
const ARBITRARIES: Readonly<
  Record<IndexRecord['kind'], fc.Arbitrary<IndexRecord>>
> = {
  accepted: batchArbitrary.map(id => acceptBatch(createBatch(id, ITEM_IDS))),
  result: fc
    .tuple(
      batchArbitrary,
      itemArbitrary,
      fc.nat({max: 9}),
      fc.constantFrom('v0.0', 'v1.0'),
    )
    .map(([batchId, itemId, offset, writer]) => {
      const result = {itemId, output: '', versions: [1]};
      const listed = {...result, state: 'done'} as const;
      return listResult(batchId, listed, offset, writer);
    }),
  attempt_failed: createFailureArbitrary('attempt_failed'),
  attempt_impossible: createFailureArbitrary('attempt_impossible'),
  reward_failed: createFailureArbitrary('reward_failed'),
  ended: batchArbitrary.map(batchId => ({kind: 'ended', batchId})),
};

/** A record, and after how many further records its copies come. */
const storedArbitrary = fc.record({
  record: fc.oneof(...Object.values(ARBITRARIES)),
  copiesAfter: fc.array(fc.nat({max: 12}), {maxLength: 2}),
});

interface StoredRecord {
  readonly record: IndexRecord;
  readonly copiesAfter: readonly number[];
}

/** Puts the copies of each record behind the records that overtake them. */
function addCopies(history: readonly StoredRecord[]): readonly IndexRecord[] {
  const placed = history.flatMap(({record, copiesAfter}, i) => [
    {record, at: i},
    ...copiesAfter.map(after => ({record, at: i + after + 0.5})),
  ]);
  return placed.sort((a, b) => a.at - b.at).map(({record}) => record);
}

/** A VM writes about a batch only after it has read the acceptance. */
const ACCEPTANCES: readonly StoredRecord[] = BATCH_IDS.map(id => ({
  record: acceptBatch(createBatch(id, ITEM_IDS)),
  copiesAfter: [1, 5],
}));

function fold(records: readonly IndexRecord[]) {
  const index = new BatchIndex();
  const changes = records.flatMap(record => {
    const change = index.apply(record);
    return change ? [change.kind] : [];
  });
  return {entries: [...index.entries], changes};
}

// Guards against an append that is repeated after its answer was lost and has its effect twice.
test('copies of records change nothing, whatever is stored between them', t => {
  fc.assert(
    fc.property(fc.array(storedArbitrary, {maxLength: 40}), drawn => {
      const history = [...ACCEPTANCES, ...drawn];
      const once = fold(history.map(({record}) => record));
      t.deepEqual(fold(addCopies(history)), once);
    }),
    {seed: 60, numRuns: 2000},
  );
});

const deliveryArbitrary = fc.constantFrom<Delivery>('once', 'twice', 'late');
const storedDeliveryArbitrary = fc.constantFrom(
  'once' as const,
  'twice' as const,
);

const endRunArbitrary = fc.record({
  kind: fc.constant('end_run' as const),
  end: fc.constantFrom(...ENGINE_ANSWERS),
  delivery: deliveryArbitrary,
});

const otherArbitrary: fc.Arbitrary<CopyCommand> = fc.oneof(
  fc.record({kind: fc.constant('arrive' as const), index: fc.nat({max: 9})}),
  fc.record({kind: fc.constant('take_over' as const)}),
);

const commandArbitrary: fc.Arbitrary<CopyCommand> = fc.oneof(
  endRunArbitrary,
  otherArbitrary,
  fc.record({
    kind: fc.constant('old_build_failure' as const),
    item: fc.nat({max: ITEM_IDS.length - 1}),
    delivery: storedDeliveryArbitrary,
  }),
  fc.record({kind: fc.constant('next_batch' as const)}),
);

const storyArbitrary = fc.array(commandArbitrary, {maxLength: 60});
const RUNS = {seed: 60, numRuns: 3000};

function play(story: readonly CopyCommand[], countsCopies = false) {
  const model = new RecordCopiesModel({countsCopies});
  for (const command of story) model.apply(command);
  return model;
}

// Guards against an item that the next coordinator gives up after fewer failures than its attempts.
test('coordinators give an item up only after as many failures as they say', t => {
  const result = fc.check(
    fc.property(storyArbitrary, story => play(story).violations.length === 0),
    RUNS,
  );
  t.false(result.failed, JSON.stringify(result.counterexample));
});

// Guards against a coordinator that counts in memory and one that takes over that decide differently.
test('a coordinator counts the failures that the log holds, whenever they were stored', t => {
  fc.assert(
    fc.property(storyArbitrary, story => t.true(play(story).agreesWithLog())),
    RUNS,
  );
});

// Guards against a model that could not fail.
test('the model finds a log in which each copy counts', t => {
  const result = fc.check(
    fc.property(
      storyArbitrary,
      story => play(story, true).violations.length === 0,
    ),
    RUNS,
  );
  t.true(result.failed);
});

// Guards against a fix that hides real failures: an item would run for ever.
test('an item that always fails is given up after its attempts, whoever runs it', t => {
  const failure = fc.record({
    kind: fc.constant('end_run' as const),
    end: fc.constant('failed' as const),
    delivery: storedDeliveryArbitrary,
  });
  const story = fc.array(fc.oneof(failure, otherArbitrary), {maxLength: 60});
  fc.assert(
    fc.property(story, commands => {
      const model = play(commands);
      for (let i = 0; i < 2 * ATTEMPTS * ITEM_IDS.length; i++) {
        model.apply({kind: 'end_run', end: 'failed', delivery: 'once'});
      }
      const counts = ITEM_IDS.map(id => model.countFailed(id));
      t.deepEqual(counts, [ATTEMPTS, ATTEMPTS]);
      t.deepEqual(model.violations, []);
    }),
    RUNS,
  );
});
