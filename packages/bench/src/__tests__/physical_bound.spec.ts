import test from 'ava';
import {computeBound, TrainerPlan} from '../physical_bound.js';

interface BoundCase {
  readonly name: string;
  readonly plans: readonly TrainerPlan[];
  readonly idleMs: number;
}

function createPlan(
  startAtMs: number,
  steps: TrainerPlan['steps'],
): TrainerPlan {
  return {startAtMs, trainMs: 100, steps};
}

const cases: readonly BoundCase[] = [
  {
    name: 'the longest sample alone, where that is longer',
    plans: [createPlan(5, [{tokens: 10, longestMs: 50}])],
    idleMs: 50,
  },
  {
    name: 'all work over capacity, where that is longer',
    plans: [createPlan(0, [{tokens: 200, longestMs: 50}])],
    idleMs: 100,
  },
  {
    name: 'least left first, where steps overlap',
    plans: [
      createPlan(0, [{tokens: 200, longestMs: 1}]),
      createPlan(10, [{tokens: 20, longestMs: 1}]),
    ],
    idleMs: 110 + 10,
  },
  {
    name: 'training between steps is no idle time',
    plans: [
      createPlan(0, [
        {tokens: 20, longestMs: 1},
        {tokens: 40, longestMs: 1},
      ]),
    ],
    idleMs: 30,
  },
];

for (const {name, plans, idleMs} of cases) {
  test(`the bound is ${name}`, t => {
    t.is(computeBound(plans, 2), idleMs);
  });
}
