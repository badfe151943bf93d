import test from 'ava';
import fc from 'fast-check';
import {ConcurrencyLimit, divideLimit} from '../concurrency_limit.js';
import {createReport} from '../../__tests__/scheduler_fixture.js';

test('the shares of all VMs add up to the limit or the total demand', t => {
  fc.assert(
    fc.property(
      fc.nat(200),
      fc.array(fc.nat(60), {minLength: 1, maxLength: 40, size: 'max'}),
      fc.nat(1000),
      (limit, demands, offset) => {
        const shares = divideLimit(limit, demands, offset);
        const sum = shares.reduce((a, b) => a + b, 0);
        const demanded = demands.reduce((a, b) => a + b, 0);
        const isFair = shares.every(
          (share, i) =>
            share === demands[i] || shares.every(other => other <= share + 1),
        );
        const isWithin = shares.every((share, i) => share <= demands[i]);
        return sum === Math.min(limit, demanded) && isWithin && isFair;
      },
    ),
    {seed: 7, numRuns: 500},
  );
  t.pass();
});

interface LimitCase {
  readonly name: string;
  /** Running and waiting requests in reports one second apart. */
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
    name: 'does not treat requests waiting for the next batch as saturation',
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

test('a limit falls when the endpoint rejects a request', t => {
  const limit = new ConcurrencyLimit();
  const before = limit.limit;
  limit.recordRejection(10);
  limit.recordReport(createReport('a', {running: 16, measuredAtMs: 5}));
  t.true(limit.limit < before);
});
