import test from 'ava';
import fc from 'fast-check';
import {EventSplitter} from '../event_splitter.js';

const EVENTS = [
  'id: 1\ndata: one\n\n',
  'version: 2\nid: 2\ndata: two\n\n',
  'id:3\r\ndata: three\r\n\r\n',
  'data: no number\n\n',
];

test('events are complete and unchanged, however the bytes are split', t => {
  fc.assert(
    fc.property(fc.array(fc.integer({min: 1, max: 30})), sizes => {
      const bytes = Buffer.from(EVENTS.join(''));
      const splitter = new EventSplitter();
      const events = [];
      let from = 0;
      for (const size of [...sizes, bytes.length]) {
        events.push(...splitter.push(bytes.subarray(from, from + size))!);
        from += size;
      }
      t.deepEqual(
        events.map(event => event.bytes.toString()),
        EVENTS,
      );
      t.deepEqual(
        events.map(({id}) => id),
        [1, 2, 3, undefined],
      );
      t.false(splitter.hasPartialEvent);
    }),
    {seed: 5, numRuns: 300},
  );
});

test('an incomplete event is not returned', t => {
  const splitter = new EventSplitter();
  t.deepEqual(splitter.push(Buffer.from('id: 1\ndata: o')), []);
  t.true(splitter.hasPartialEvent);
});

test('an event over the size limit is refused', t => {
  const splitter = new EventSplitter();
  t.is(splitter.push(Buffer.alloc(1024 * 1024 + 1, 'x')), undefined);
});

// Guards against comments without end, each of which would be written by itself.
test('comments that follow each other are passed on together', t => {
  const splitter = new EventSplitter();
  const text =
    ': a\n\n: b\n\nid: 1\ndata: x\n\n: c\n\nid: 2\ndata: y\n\n: d\n\n: e\n\n';
  const events = splitter.push(Buffer.from(text)) ?? [];
  t.deepEqual(
    events.map(({bytes, id}) => [bytes.toString(), id]),
    [
      [': a\n\n: b\n\n', undefined],
      ['id: 1\ndata: x\n\n', 1],
      [': c\n\n', undefined],
      ['id: 2\ndata: y\n\n', 2],
      [': d\n\n: e\n\n', undefined],
    ],
  );
});
