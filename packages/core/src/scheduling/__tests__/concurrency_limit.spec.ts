import test from 'ava';
import fc from 'fast-check';
import {ConcurrencyLimit, divideLimit} from '../concurrency_limit.js';
import {createReport} from '../../__tests__/scheduler_fixture.js';

test('the parts of all VMs add up to the limit and no more', t => {
  fc.assert(
    fc.property(
      fc.nat(200),
      fc.array(fc.nat(60), {minLength: 1, maxLength: 40, size: 'max'}),
      fc.nat(1000),
      (limit, demands, offset) => {
        const parts = divideLimit(limit, demands, offset);
        const sum = parts.reduce((a, b) => a + b, 0);
        const wanted = demands.reduce((a, b) => a + b, 0);
        const isFair = parts.every(
          (part, i) =>
            part === demands[i] || parts.every(other => other <= part + 1),
        );
        const isWithin = parts.every((part, i) => part <= demands[i]);
        return sum === Math.min(limit, wanted) && isWithin && isFair;
      },
    ),
    {seed: 7, numRuns: 500},
  );
  t.pass();
});

interface LimitCase {
  readonly name: string;
  /** Running and waiting of reports a second apart. */
  readonly reports: ReadonlyArray<readonly [number, number]>;
  readonly isExpected: (limit: number) => boolean;
}

const limitCases: readonly LimitCase[] = [
  {
    name: 'grows while the endpoint keeps up',
    reports: Array.from({length: 20}, () => [100, 0] as const),
    isExpected: limit => limit > 100,
  },
  {
    name: 'falls to what runs when something keeps waiting',
    reports: [
      [9, 5],
      [9, 6],
    ],
    isExpected: limit => limit === 9,
  },
  {
    name: 'takes what waits for the next batch for no sign of a full engine',
    reports: [
      [2, 3],
      [5, 0],
      [5, 2],
      [7, 0],
    ],
    isExpected: limit => limit >= 16,
  },
];

for (const {name, reports, isExpected} of limitCases) {
  test(`a limit ${name}`, t => {
    const limit = new ConcurrencyLimit();
    reports.forEach(([running, waiting], i) =>
      limit.recordReport(
        createReport('a', {running, waiting, measuredAtMs: (i + 1) * 1000}),
      ),
    );
    t.true(isExpected(limit.limit), `${limit.limit}`);
  });
}

test('a limit falls when the endpoint turns work away', t => {
  const limit = new ConcurrencyLimit();
  const before = limit.limit;
  limit.recordRejection(10);
  limit.recordReport(createReport('a', {running: 16, measuredAtMs: 5}));
  t.true(limit.limit < before);
});
