import test from 'ava';
import {computeCrowdingFactor, SpeedTracker} from '../speed_tracker.js';

/** Records `count` gaps of `gapMs` for an endpoint, the last at `untilMs`. */
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

// Guards against work that moves back and forth between equally fast engines.
// 1. An engine loads new weights; each of its runs pauses once for about one second.
// 2. The pauses count as gaps, and it seems three times slower than others.
test('a pause does not count as slowness', t => {
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

test('old readings do not count', t => {
  const tracker = new SpeedTracker();
  recordGaps(tracker, 'a', 40, 1000);
  recordGaps(tracker, 'b', 200, 4000);
  t.is(tracker.listSlow(9000).size, 0);
});

test('a full endpoint does not count as slow', t => {
  const tracker = new SpeedTracker();
  const full = 40 * computeCrowdingFactor(16);
  for (let i = 0; i < 20; i++) {
    tracker.record('single', 40, 1, i * 40);
    tracker.record('full', full, 16, i * full);
  }
  const singlePace = tracker.findPaceMs('single', 1000)!;
  t.true(Math.abs(tracker.findPaceMs('full', 1000)! - singlePace) < 0.01);
});

// Guards against an engine that was slow for a while and never gets work again.
// 1. It becomes three times slower and its runs move away.
// 2. It recovers, but no run is left there that could show it.
// This happens if the last reading is valid without a time limit.
test('an expired reading is replaced by the best pace of the endpoint', t => {
  const tracker = new SpeedTracker();
  recordGaps(tracker, 'a', 40, 2000);
  recordGaps(tracker, 'a', 120, 6000, 40);
  t.true(tracker.findPaceMs('a', 6000)! > 100);
  t.true(tracker.findPaceMs('a', 20_000)! < 45);
});
