import test from 'ava';
import {EngineHealth} from '../engine_health.js';
import {Placement} from '../placement.js';
import {
  createBatch,
  createEngine,
  createSchedule,
  listStarts,
} from './batch_fixtures.js';

/**
 * Two equal engines with runs of other groups, and two runs of one group on
 * 'b'.
 */
function createPlacement(othersOnA: number, othersOnB: number) {
  const {scheduler, open} = createSchedule([createEngine('b')]);
  open(createBatch('b0', ['g0a', 'g0b', 'g1a']));
  const runs = listStarts(scheduler.decide(0));
  const other = runs.find(({job}) => job.item.group === 'g1')!;
  const group = runs.filter(run => run !== other);
  const engines = new Map(['a', 'b'].map(id => [id, createEngine(id)]));
  const placement = new Placement(engines, group, new EngineHealth(), 1, 0);
  for (let i = 0; i < othersOnA; i++) placement.add('a', other.job);
  for (let i = 0; i < othersOnB; i++) placement.add('b', other.job);
  return {placement, group};
}

// Guards against items that follow a group to an engine that it has left.
// 1. The runs of a group move from one engine to another in one decision.
// 2. The next item of the group still counts as sharing its prompt on the old
//    engine.
// This happens if removing a run does not remove its group from the engine.
test('a group that has left an engine attracts no items there', t => {
  const {placement, group} = createPlacement(1, 1);
  for (const run of group) placement.remove(run);
  t.is(placement.pickEngine(group[0].job)?.id, 'a');
});

test('a group with a remaining run still attracts its items', t => {
  const {placement, group} = createPlacement(2, 1);
  placement.remove(group[0]);
  t.is(placement.pickEngine(group[0].job)?.id, 'b');
});
