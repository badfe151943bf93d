import test from 'ava';
import fc from 'fast-check';
import {TrimTracker} from '../trim_tracker.js';

const RETENTION_MS = 60_000;
/**
 * Samples are a sixth of the retention apart, and a record may just have missed
 * one.
 */
const SLACK_MS = RETENTION_MS / 3;

interface Trim {
  readonly nowMs: number;
  readonly first: number;
  readonly writtenMs: readonly number[];
}

/**
 * Appends a record after each of `waits` and returns the state after each
 * append.
 */
function writeAll(waits: readonly number[]): readonly Trim[] {
  const tracker = new TrimTracker(RETENTION_MS);
  const writtenMs: number[] = [];
  let nowMs = 0;
  let first = 0;
  return waits.map(waitMs => {
    nowMs += waitMs;
    first = tracker.recordAppend(writtenMs.length, nowMs) ?? first;
    writtenMs.push(nowMs);
    return {nowMs, first, writtenMs: [...writtenMs]};
  });
}

test('no record is trimmed within its retention', t => {
  const waits = fc.array(fc.nat({max: 40_000}), {maxLength: 60});
  fc.assert(
    fc.property(waits, each =>
      writeAll(each).every(({nowMs, first, writtenMs}) =>
        writtenMs.slice(0, first).every(atMs => nowMs - atMs > RETENTION_MS),
      ),
    ),
    {seed: 5, numRuns: 300},
  );
  t.pass();
});

// Guards against a full log, which refuses every append of all its users.
// 1. Records are stored until the log's own retention ends.
// 2. They take more space than the log has in total.
test('under steady writing, records much older than the retention are trimmed', t => {
  const steps = writeAll(Array.from({length: 3000}, () => 100));
  for (const {nowMs, first, writtenMs} of steps) {
    t.true(nowMs - writtenMs[first] <= RETENTION_MS + SLACK_MS);
  }
});
