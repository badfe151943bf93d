import test from 'ava';
import {BatchIndex, type IndexedBatch} from '../batch_index.js';
import type {Batch} from '../batch_record.js';
import {countEarlierFailures, listEarlierBatches} from '../earlier_batches.js';
import {acceptBatch, createBatch} from './batch_fixtures.js';

interface Step {
  readonly id: string;
  readonly items: readonly string[];
  readonly extra?: Partial<Batch>;
  readonly isOpen?: boolean;
}

/** Creates an index of steps that were submitted one second apart. */
function createSteps(steps: readonly Step[]): readonly IndexedBatch[] {
  const index = new BatchIndex();
  for (const [i, {id, items, extra, isOpen}] of steps.entries()) {
    const batch = createBatch(id, items, {submittedAtMs: i * 1000, ...extra});
    index.apply(acceptBatch(batch));
    if (!isOpen) index.apply({kind: 'ended', batchId: id});
  }
  return [...index.entries];
}

function listIds(steps: readonly Step[]): readonly string[] {
  const entries = createSteps(steps);
  return listEarlierBatches(entries.at(-1)!, entries).map(
    ({header}) => header.id,
  );
}

const LAST: Step = {id: 'last', items: ['g0a', 'g9a'], isOpen: true};

test('batches that are over and share items are found, the oldest first', t => {
  const steps: readonly Step[] = [
    {id: 'b0', items: ['g0a', 'g0b']},
    {id: 'b1', items: ['g1a']},
    {id: 'b2', items: ['g9a']},
    LAST,
  ];
  t.deepEqual(listIds(steps), ['b0', 'b2']);
});

test('batches of other models, open ones and old ones are left out', t => {
  const steps: readonly Step[] = [
    {id: 'old', items: ['g0a']},
    {id: 'b1', items: ['g1a']},
    {id: 'b2', items: ['g2a']},
    {id: 'b3', items: ['g3a']},
    {id: 'other', items: ['g0a'], extra: {model: 'other'}},
    {id: 'open', items: ['g0a'], isOpen: true},
    LAST,
  ];
  t.deepEqual(listIds(steps), []);
});

// Guards against an item that fails everywhere and is run again in each batch.
test('failures of an item are summed over all earlier batches', t => {
  const index = new BatchIndex();
  const steps = ['b0', 'b1', 'b2'];
  for (const [i, id] of steps.entries()) {
    const batch = createBatch(id, ['g0a', 'g0b'], {submittedAtMs: i * 1000});
    index.apply(acceptBatch(batch));
    const failed = {batchId: id, itemId: 'g0a', attempt: `run-${2 * i}`};
    const rejected = {batchId: id, itemId: 'g0b', attempt: `run-${2 * i + 1}`};
    // The second record of each attempt is a copy.
    for (let copy = 0; copy < 2; copy++) {
      index.apply({kind: 'attempt_failed', ...failed});
      index.apply({kind: 'attempt_impossible', ...rejected});
    }
  }
  const entries = [...index.entries];
  const counts = countEarlierFailures(entries[2], entries);
  t.deepEqual(counts.get('g0a'), {failures: 2, rejections: 0});
  t.deepEqual(counts.get('g0b'), {failures: 0, rejections: 2});
  t.is(countEarlierFailures(entries[0], entries).size, 0);
});
