/**
 * `npm run soak -- --seed N --schedules M`: applies random fault schedules to the
 * folds of the log. Prints the first schedule that violates a guarantee, after
 * fast-check has shrunk it.
 */

import {parseArgs} from 'node:util';
import {
  runSchedule,
  SCHEDULE_ARG_MAX,
  SCHEDULE_OP_CODES,
} from '@radishyoke/core/simulation/log_schedule';
import fc from 'fast-check';

const OPS_MAX = 400;

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    schedules: {type: 'string', default: '20000'},
  },
});
const seed = Number(values.seed);
const schedules = Number(values.schedules);
const op = fc.tuple(
  fc.nat({max: SCHEDULE_OP_CODES - 1}),
  fc.nat({max: SCHEDULE_ARG_MAX}),
);
const details = fc.check(
  fc.property(
    fc.array(op, {maxLength: OPS_MAX, size: 'max'}),
    ops => runSchedule(ops).length === 0,
  ),
  {seed, numRuns: schedules},
);
const [ops] = details.counterexample ?? [];
console.log(
  JSON.stringify({
    seed,
    schedules: details.numRuns,
    broken: ops === undefined ? [] : runSchedule(ops),
    ...(ops === undefined ? {} : {ops}),
  }),
);
process.exitCode = details.failed ? 1 : 0;
