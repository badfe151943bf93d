import test from 'ava';
import {EngineBoard} from '../engine_board.js';
import {Placement} from '../placement.js';
import {
  createBatch,
  createEngine,
  createSchedule,
  listStarts,
} from './batch_fixtures.js';

/** Two equal engines with runs of other groups, and two runs of one group on 'b'. */
function createPlacement(othersOnA: number, othersOnB: number) {
  const {scheduler, open} = createSchedule([createEngine('b')]);
  open(createBatch('b0', ['g0a', 'g0b', 'g1a']));
  const runs = listStarts(scheduler.decide(0));
  const other = runs.find(({job}) => job.item.group === 'g1')!;
  const group = runs.filter(run => run !== other);
  const engines = new Map(['a', 'b'].map(id => [id, createEngine(id)]));
  const place = new Placement(engines, group, new EngineBoard(), 1, 0);
  for (let i = 0; i < othersOnA; i++) place.add('a', other.job);
  for (let i = 0; i < othersOnB; i++) place.add('b', other.job);
  return {place, group};
}

// Items are given to an engine for the sake of a group that has left it.
// 1. The runs of a group move from one engine to another in one decision.
// 2. The next item of the group is counted as sharing its prompt with them.
// Cause: a run that was taken off left its group behind.
test('a group that has left an engine draws no items there', t => {
  const {place, group} = createPlacement(1, 1);
  for (const run of group) place.remove(run);
  t.is(place.pick(group[0].job)?.id, 'a');
});

test('a group of which a run is left draws its items', t => {
  const {place, group} = createPlacement(2, 1);
  place.remove(group[0]);
  t.is(place.pick(group[0].job)?.id, 'b');
});
