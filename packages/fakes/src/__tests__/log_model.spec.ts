import test from 'ava';
import fc from 'fast-check';
import {LogModel} from '../log_model.js';
import {NaiveLog} from './naive_log.js';

const FAST_CHECK_SEED = 20_240_602;

const stepArb = fc.record({
  delayMs: fc.nat(300),
  append: fc.array(fc.nat(9), {maxLength: 4}),
  readBack: fc.nat(12),
  max: fc.integer({min: 1, max: 5}),
});

test('reads are equal to those of the naive log', t => {
  fc.assert(
    fc.property(fc.array(stepArb, {maxLength: 40}), steps => {
      const model = new LogModel({retainRecords: 6, retainMs: 500});
      const naive = new NaiveLog(6, 500);
      let nowMs = 1000;
      let next = 0;
      for (const {delayMs, append, readBack, max} of steps) {
        nowMs += delayMs;
        if (append.length > 0) {
          const answer = model.append('state', append, nowMs);
          naive.append(append, nowMs);
          const first = next;
          next += append.length;
          t.deepEqual(answer, {kind: 'appended', first, next});
        }
        const from = Math.max(0, next - readBack);
        const read = model.read('state', from, max, nowMs);
        const records = read.kind === 'records' ? read.records : undefined;
        t.deepEqual(records, naive.read(from, max, nowMs));
      }
    }),
    {seed: FAST_CHECK_SEED, numRuns: 300},
  );
});

test('no second has more appends than a burst plus the rate', t => {
  const limit = 10;
  fc.assert(
    fc.property(fc.array(fc.nat(200), {maxLength: 200}), delays => {
      const model = new LogModel({appendsPerSecond: limit});
      let nowMs = 0;
      const acceptedAtMs: number[] = [];
      for (const delayMs of delays) {
        nowMs += delayMs;
        const answer = model.append('state', [1], nowMs);
        if (answer.kind === 'appended') acceptedAtMs.push(nowMs);
        else {
          const later = model.append('state', [1], nowMs + answer.retryAfterMs);
          nowMs += answer.retryAfterMs;
          t.is(
            later.kind,
            'appended',
            'an append after retryAfterMs is accepted',
          );
          acceptedAtMs.push(nowMs);
        }
      }
      for (const [i, startMs] of acceptedAtMs.entries()) {
        const inSecond = acceptedAtMs
          .slice(i)
          .filter(ms => ms < startMs + 1000);
        t.true(inSecond.length <= 2 * limit);
      }
    }),
    {seed: FAST_CHECK_SEED, numRuns: 100},
  );
});
