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
    name: 'the time of the longest sample, if that exceeds the capacity limit',
    plans: [createPlan(5, [{tokens: 10, longestMs: 50}])],
    idleMs: 50,
  },
  {
    name: 'all tokens over capacity, if that exceeds the longest sample',
    plans: [createPlan(0, [{tokens: 200, longestMs: 50}])],
    idleMs: 100,
  },
  {
    name: 'reached by serving the step with the fewest tokens left first',
    plans: [
      createPlan(0, [{tokens: 200, longestMs: 1}]),
      createPlan(10, [{tokens: 20, longestMs: 1}]),
    ],
    idleMs: 110 + 10,
  },
  {
    name: 'free of the training time between steps',
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
