import test from 'ava';
import {FloodGuard, MAX_BYTES_WITHOUT_EVENT} from '../flood_guard.js';

/** Calls `push` once a ms until it refuses; returns the number of accepted calls. */
function countAccepted(
  push: (nowMs: number) => boolean,
  maxPieces: number,
): number {
  for (let i = 0; i < maxPieces; i++) if (!push(i)) return i;
  return maxPieces;
}

// Guards against comments without end on a stream.
test('bytes without an event are refused after a while', t => {
  const guard = new FloodGuard();
  const pieces = countAccepted(nowMs => guard.recordPiece(1024, nowMs), 10_000);
  t.is(pieces, MAX_BYTES_WITHOUT_EVENT / 1024);
});

// Guards against tiny pieces without end, each of which costs a turn.
test('tiny pieces without an event are refused after a while', t => {
  const guard = new FloodGuard();
  const pieces = countAccepted(nowMs => guard.recordPiece(1, nowMs), 10_000);
  t.true(pieces < 2000, `${pieces}`);
});

// Guards against events without end, as fast as they are read.
test('events that come too fast are refused', t => {
  const guard = new FloodGuard();
  const push = (nowMs: number) =>
    guard.recordPiece(2000, nowMs) &&
    Array.from({length: 100}, () => guard.recordEvent()).every(Boolean);
  t.true(countAccepted(push, 10_000) < 100);
});

test('a stream of usual events is never refused', t => {
  const guard = new FloodGuard();
  const push = (nowMs: number) =>
    guard.recordPiece(120, nowMs) && guard.recordEvent();
  t.is(countAccepted(push, 100_000), 100_000);
});

// Guards against a stream that is refused because events were held up and then came together.
test('a burst after a pause is accepted', t => {
  const guard = new FloodGuard();
  t.true(guard.recordPiece(100_000, 1500));
  t.true(Array.from({length: 1500}, () => guard.recordEvent()).every(Boolean));
});
