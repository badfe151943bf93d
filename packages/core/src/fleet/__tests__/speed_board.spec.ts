import test from 'ava';
import {crowd, SpeedBoard} from '../speed_board.js';

/** Notes `count` gaps of `gapMs` for an endpoint, the last at `untilMs`. */
function noteGaps(
  board: SpeedBoard,
  id: string,
  gapMs: number,
  untilMs: number,
  count = 20,
): void {
  for (let i = count - 1; i >= 0; i--)
    board.note(id, gapMs, 1, untilMs - i * gapMs);
}

test('an endpoint that is three times slower than the others is slow', t => {
  const board = new SpeedBoard();
  noteGaps(board, 'a', 40, 2000);
  noteGaps(board, 'b', 50, 2000);
  noteGaps(board, 'c', 130, 3000);
  t.deepEqual([...board.listSlow(3000)], ['c']);
});

// Work moves back and forth between engines of equal speed.
// 1. An engine loads new weights; each of its runs pauses for a second once.
// 2. The pauses count as gaps, and it looks three times slower than others.
test('a pause is no slowness', t => {
  const board = new SpeedBoard();
  noteGaps(board, 'a', 40, 2000);
  noteGaps(board, 'b', 40, 2000);
  for (let i = 0; i < 16; i++) board.note('b', 940, 1, 2000);
  t.is(board.listSlow(2000).size, 0);
});

test('a slow endpoint counts as slow until it is clearly faster again', t => {
  const board = new SpeedBoard();
  noteGaps(board, 'a', 40, 3000);
  noteGaps(board, 'b', 90, 3000);
  t.deepEqual([...board.listSlow(3000)], ['b']);
  noteGaps(board, 'b', 65, 4500, 60);
  noteGaps(board, 'a', 40, 4500);
  t.deepEqual([...board.listSlow(4500)], ['b']);
  noteGaps(board, 'b', 45, 6000, 60);
  noteGaps(board, 'a', 40, 6000);
  t.is(board.listSlow(6000).size, 0);
});

test('what was seen long ago says nothing', t => {
  const board = new SpeedBoard();
  noteGaps(board, 'a', 40, 1000);
  noteGaps(board, 'b', 200, 4000);
  t.is(board.listSlow(9000).size, 0);
});

test('a full endpoint is not taken for a slow one', t => {
  const board = new SpeedBoard();
  const full = 40 * crowd(16);
  for (let i = 0; i < 20; i++) {
    board.note('lone', 40, 1, i * 40);
    board.note('full', full, 16, i * full);
  }
  const lonePace = board.findPaceMs('lone', 1000)!;
  t.true(Math.abs(board.findPaceMs('full', 1000)! - lonePace) < 0.01);
});

// An engine that was slow for a while never gets work again.
// 1. It becomes three times slower and is left.
// 2. It recovers, but nothing runs there that could show it.
// Cause: the last reading kept as what the engine is like.
test('an old reading gives way to what the endpoint is like in health', t => {
  const board = new SpeedBoard();
  noteGaps(board, 'a', 40, 2000);
  noteGaps(board, 'a', 120, 6000, 40);
  t.true(board.findPaceMs('a', 6000)! > 100);
  t.true(board.findPaceMs('a', 20_000)! < 45);
});
