import test from 'ava';
import {OutputSize} from '../output_limit.js';
import {createItem} from './batch_fixtures.js';

// Guards against the output of a faulty engine that fills the memory event by event.
test('an item has at most as many events as tokens were asked for', t => {
  const size = new OutputSize({...createItem('g0a'), maxOutputTokens: 3000});
  const results = Array.from({length: 3001}, () => size.add({data: 'x'}));
  t.is(results.indexOf(false), 3000);
});

// Guards against an item that is never done because it states no number of tokens.
test('an item that states no number of tokens may have many events', t => {
  const size = new OutputSize({...createItem('g0a'), maxOutputTokens: 0});
  const results = Array.from({length: 1000}, () => size.add({data: 'x'}));
  t.true(results.every(Boolean));
});

test('an output has a limited length', t => {
  const size = new OutputSize(createItem('g0a'));
  const data = 'x'.repeat(300_000);
  t.deepEqual(
    [1, 2, 3, 4].map(() => size.add({data})),
    [true, true, true, false],
  );
});
