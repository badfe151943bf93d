import test from 'ava';
import fc from 'fast-check';
import {hasMoreValues} from '../json_size.js';

function countValues(value: unknown): number {
  if (typeof value !== 'object' || value === null) return 1;
  const children = Object.values(value).map(countValues);
  return children.reduce((sum, count) => sum + count, 1);
}

function isOver(value: unknown, maxValues: number): boolean {
  return hasMoreValues(Buffer.from(JSON.stringify(value)), maxValues);
}

test('commas and brackets in strings are no values', t => {
  const text = ',[{,"\\",[{'.repeat(100);
  t.false(isOver({[text]: text}, 2));
});

// Guards against a text of empty objects that takes a hundred times its size.
test('empty objects and lists are values', t => {
  t.true(isOver(Array(1000).fill({}), 1000));
  t.true(isOver(Array(1000).fill([]), 1000));
  t.false(isOver(Array(1000).fill({}), 2001));
});

// Guards against texts that are refused although they have few values, and the other way round.
test('the estimate is from the number of values to twice as many', t => {
  fc.assert(
    fc.property(fc.jsonValue(), value => {
      const count = countValues(value);
      t.false(isOver(value, 2 * count));
      t.true(count === 1 || isOver(value, Math.ceil(count / 2) - 1));
    }),
    {seed: 69, numRuns: 500},
  );
});

test('a text that is no JSON is looked at to its end', t => {
  t.false(hasMoreValues(Buffer.from('"never ends'), 1));
  t.false(hasMoreValues(Buffer.from('"\\'), 1));
  t.true(hasMoreValues(Buffer.from('[[[['), 4));
});
