import test from 'ava';
import {computeCrowdingFactor, SpeedTracker} from '../speed_tracker.js';

/** Notes `count` gaps of `gapMs` for an endpoint, the last at `untilMs`. */
function recordGaps(
  tracker: SpeedTracker,
  id: string,
  gapMs: number,
  untilMs: number,
  count = 20,
): void {
  for (let i = count - 1; i >= 0; i--)
    tracker.record(id, gapMs, 1, untilMs - i * gapMs);
}

test('an endpoint that is three times slower than the others is slow', t => {
  const tracker = new SpeedTracker();
  recordGaps(tracker, 'a', 40, 2000);
  recordGaps(tracker, 'b', 50, 2000);
  recordGaps(tracker, 'c', 130, 3000);
  t.deepEqual([...tracker.listSlow(3000)], ['c']);
});

// Work moves back and forth between engines of equal speed.
// 1. An engine loads new weights; each of its runs pauses for a second once.
// 2. The pauses count as gaps, and it looks three times slower than others.
test('a pause is no slowness', t => {
  const tracker = new SpeedTracker();
  recordGaps(tracker, 'a', 40, 2000);
  recordGaps(tracker, 'b', 40, 2000);
  for (let i = 0; i < 16; i++) tracker.record('b', 940, 1, 2000);
  t.is(tracker.listSlow(2000).size, 0);
});

test('a slow endpoint counts as slow until it is clearly faster again', t => {
  const tracker = new SpeedTracker();
  recordGaps(tracker, 'a', 40, 3000);
  recordGaps(tracker, 'b', 90, 3000);
  t.deepEqual([...tracker.listSlow(3000)], ['b']);
  recordGaps(tracker, 'b', 65, 4500, 60);
  recordGaps(tracker, 'a', 40, 4500);
  t.deepEqual([...tracker.listSlow(4500)], ['b']);
  recordGaps(tracker, 'b', 45, 6000, 60);
  recordGaps(tracker, 'a', 40, 6000);
  t.is(tracker.listSlow(6000).size, 0);
});

test('what was seen long ago says nothing', t => {
  const tracker = new SpeedTracker();
  recordGaps(tracker, 'a', 40, 1000);
  recordGaps(tracker, 'b', 200, 4000);
  t.is(tracker.listSlow(9000).size, 0);
});

test('a full endpoint is not taken for a slow one', t => {
  const tracker = new SpeedTracker();
  const full = 40 * computeCrowdingFactor(16);
  for (let i = 0; i < 20; i++) {
    tracker.record('lone', 40, 1, i * 40);
    tracker.record('full', full, 16, i * full);
  }
  const lonePace = tracker.findPaceMs('lone', 1000)!;
  t.true(Math.abs(tracker.findPaceMs('full', 1000)! - lonePace) < 0.01);
});

// An engine that was slow for a while never gets work again.
// 1. It becomes three times slower and is left.
// 2. It recovers, but nothing runs there that could show it.
// Cause: the last reading kept as what the engine is like.
test('an old reading gives way to what the endpoint is like in health', t => {
  const tracker = new SpeedTracker();
  recordGaps(tracker, 'a', 40, 2000);
  recordGaps(tracker, 'a', 120, 6000, 40);
  t.true(tracker.findPaceMs('a', 6000)! > 100);
  t.true(tracker.findPaceMs('a', 20_000)! < 45);
});
