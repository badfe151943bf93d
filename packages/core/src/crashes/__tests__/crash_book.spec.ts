import test from 'ava';
import {
  CrashBook,
  EARLY_WEIGHT,
  LATE_WEIGHT,
  MAX_REQUESTS,
} from '../crash_book.js';

const HOUR_MS = 3_600_000;
/** Repeats count from this long after the third crash on, ms. */
const FREE_MS = 3000;

function createMark(endpointId: string, atMs: number, weight = EARLY_WEIGHT) {
  return {endpointId, atMs, weight};
}

/** A book in which `f` crashed as many endpoints, one each 100 ms from 0 on. */
function createBook(crashes: number): CrashBook {
  const book = new CrashBook(0);
  for (let i = 0; i < crashes; i++) {
    book.noteCrash('f', createMark(`e${i}`, i * 100));
  }
  return book;
}

test('a request is held back from its third crash on', t => {
  t.is(createBook(0).judge('f', 300).kind, 'clear');
  t.is(createBook(2).judge('f', 300).kind, 'suspect');
  t.is(createBook(3).judge('f', 300).kind, 'held');
});

// Guards against a bystander being blamed for what other requests crash.
test('a request that ended well between two crashes begins from nothing', t => {
  const book = createBook(2);
  t.true(book.clear('f'));
  book.noteCrash('f', createMark('e9', 300));
  t.is(book.judge('f', 300).kind, 'suspect');
  t.is(book.getMarks('f').length, 1);
});

// Guards against a bystander being held back with the request that crashes endpoints.
test('a crash beside a request that crashed more is not held against others', t => {
  const book = createBook(3);
  for (let i = 0; i < 3; i++) book.noteCrash('g', createMark(`e${i}`, i * 100));
  t.is(book.judge('g', 300).kind, 'held', 'either may be the cause');
  book.noteCrash('f', createMark('e3', 300));
  t.is(book.judge('g', 300).kind, 'suspect');
  t.is(book.judge('f', 300).kind, 'held');
});

// Guards against one crash that several VMs tell of counting as several.
test('one crash counts once, whoever tells of it', t => {
  const book = new CrashBook(0);
  for (let i = 0; i < 5; i++) book.merge('f', [createMark('e1', i * 50)], 250);
  t.is(book.judge('f', 300).kind, 'suspect');
  book.noteCrash('f', createMark('e1', 5000));
  book.noteCrash('f', createMark('e1', 9000));
  t.is(book.judge('f', 9000).kind, 'held');
});

test('a crash long after the start of a run weighs half', t => {
  const book = new CrashBook(0);
  for (let i = 0; i < 5; i++) {
    book.noteCrash('f', createMark(`e${i}`, i * 100, LATE_WEIGHT));
  }
  t.is(book.judge('f', 500).kind, 'suspect');
  book.noteCrash('f', createMark('e5', 500, LATE_WEIGHT));
  t.is(book.judge('f', 500).kind, 'held');
});

// Guards against more than three repeats after the third crash in a day.
test('a request that always crashes its endpoint is tried three times a day', t => {
  const book = createBook(3);
  let tries = 0;
  let late = 0;
  for (let nowMs = 1000; nowMs < 24 * HOUR_MS; nowMs += 500) {
    if (book.judge('f', nowMs).kind === 'held') continue;
    tries += 1;
    if (nowMs > 200 + FREE_MS) late += 1;
    book.noteStart('f', nowMs);
    book.noteCrash('f', createMark(`late-${tries}`, nowMs));
  }
  t.is(tries, 4);
  t.is(late, 3);
});

// Guards against a mended endpoint never getting the request again.
test('a held request is tried again, and is clear once it ended well', t => {
  const book = createBook(3);
  t.is(book.judge('f', 1200).kind, 'suspect');
  t.true(book.isOnTrial('f'));
  book.noteStart('f', 1200);
  t.is(book.judge('f', 1300).kind, 'held', 'one try at a time');
  book.clear('f');
  t.is(book.judge('f', 1400).kind, 'clear');
});

test('VMs try a held request again at different times', t => {
  const late = new CrashBook(0.9);
  const marks = createBook(3).getMarks('f');
  late.merge('f', marks, 300);
  t.is(createBook(3).judge('f', 1300).kind, 'suspect');
  t.is(late.judge('f', 1300).kind, 'held');
});

test('a clock that is ahead elsewhere holds nothing back for longer', t => {
  const book = new CrashBook(0);
  const marks = [0, 1, 2].map(i => createMark(`e${i}`, HOUR_MS));
  book.merge('f', marks, 1000);
  t.is(book.judge('f', 1100).kind, 'held');
  t.is(book.judge('f', 2100).kind, 'suspect');
});

// Guards against a caller that fills the memory with ever new requests.
test('the number of requests that are kept is bounded, the newest stay', t => {
  const book = new CrashBook(0);
  for (let i = 0; i < MAX_REQUESTS + 5; i++) {
    book.noteCrash(`f${i}`, createMark('e', i));
  }
  t.deepEqual(book.prune(MAX_REQUESTS), ['f0', 'f1', 'f2', 'f3', 'f4']);
  t.is(book.size, MAX_REQUESTS);
});

test('what is old is forgotten, what is held back later than the rest', t => {
  const book = createBook(3);
  book.noteCrash('other', createMark('e1', 0));
  t.deepEqual(book.prune(HOUR_MS), ['other']);
  t.deepEqual(book.prune(49 * HOUR_MS), ['f']);
  t.is(book.size, 0);
});
