import test from 'ava';
import fc from 'fast-check';
import {
  runSchedule,
  SCHEDULE_ARG_MAX,
  SCHEDULE_OP_CODES,
  type ScheduleOp,
} from '../simulation/log_schedule.js';
import type {MissingGuard} from '../simulation/schedule_vm.js';

const SCHEDULES = 2000;
const OPS_MAX = 150;

const op: fc.Arbitrary<ScheduleOp> = fc.tuple(
  fc.nat({max: SCHEDULE_OP_CODES - 1}),
  fc.nat({max: SCHEDULE_ARG_MAX}),
);
const schedule = fc.array(op, {maxLength: OPS_MAX, size: 'max'});

/** Searches for a schedule with a violated guarantee that matches `symptom`. */
function findViolation(guard: MissingGuard, symptom: RegExp) {
  const holds = (ops: readonly ScheduleOp[]) =>
    !runSchedule(ops, guard).some(violation => symptom.test(violation));
  return fc.check(fc.property(schedule, holds), {
    seed: 2026,
    numRuns: SCHEDULES,
  });
}

// Runs a step over three VMs while responses are lost, appends arrive late, VMs
// pause, restart and start after the log's retention, and the log is down. It
// checks that every sample reaches the trainer exactly once and matches the
// ledger, no request id runs twice, no configuration reverts or comes into
// force after it was reported as failed, no record of a former owner counts,
// and all VMs reach the same state.
test('all guarantees hold over seeded schedules', t => {
  const details = findViolation('none', /./);
  const [ops] = details.counterexample ?? [];
  t.deepEqual(ops && [ops, runSchedule(ops)], undefined);
});

interface MissingGuardCase {
  readonly guard: MissingGuard;
  /** The violated guarantee that a user would notice without the guard. */
  readonly symptom: RegExp;
}

const MISSING_GUARDS: readonly MissingGuardCase[] = [
  {guard: 'log_fencing', symptom: /of a former owner counts/},
  {guard: 'trainer_fencing', symptom: /doubled/},
  {guard: 'trainer_cursor', symptom: /doubled/},
  {guard: 'lost_answer', symptom: /failed and is in force/},
  {guard: 'carried_claims', symptom: /ran 2 times/},
];

for (const {guard, symptom} of MISSING_GUARDS) {
  test(`the schedules detect a system without the guard ${guard}`, t => {
    t.true(findViolation(guard, symptom).failed);
  });
}
