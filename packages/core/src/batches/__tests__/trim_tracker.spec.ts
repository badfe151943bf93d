import test from 'ava';
import fc from 'fast-check';
import {TrimTracker} from '../trim_tracker.js';

const RETENTION_MS = 60_000;
/** Marks are a sixth of the time apart, and a record may just have missed one. */
const SLACK_MS = RETENTION_MS / 3;

interface Trim {
  readonly nowMs: number;
  readonly first: number;
  readonly writtenMs: readonly number[];
}

/** Writes a record after each of `waits` and returns what stands each time. */
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

test('nothing is trimmed that is younger than the kept time', t => {
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

// The log refuses every append, for all who use it.
// 1. Steps are written for as long as the log's own retention lasts.
// 2. They take more room than the log has in all.
test('under steady writing nothing much older stays', t => {
  const steps = writeAll(Array.from({length: 3000}, () => 100));
  for (const {nowMs, first, writtenMs} of steps) {
    t.true(nowMs - writtenMs[first] <= RETENTION_MS + SLACK_MS);
  }
});
