import test from 'ava';
import {MemoryBudget} from '../memory_budget.js';
import {BodyBuffer} from '../body_buffer.js';

const KIB = 1024;

test('a body is returned as it came', t => {
  const body = new BodyBuffer(64 * KIB);
  for (const text of ['a', 'bc', 'd'.repeat(5000)]) {
    t.true(body.push(Buffer.from(text)));
  }
  t.is(body.take().toString(), `abc${'d'.repeat(5000)}`);
});

// Guards against a body without end that fills the memory.
test('a body that is too long is dropped', t => {
  const budget = new MemoryBudget();
  const body = new BodyBuffer(64 * KIB, budget);
  t.true(body.push(Buffer.alloc(64 * KIB)));
  t.false(body.push(Buffer.alloc(1)));
  t.is(budget.heldBytes, 0);
});

// Guards against a body in tiny pieces, each of which costs more memory than it holds.
test('a body in too many pieces is dropped', t => {
  const body = new BodyBuffer(64 * KIB);
  for (let i = 0; i < 64; i++) t.true(body.push(Buffer.from('x')));
  t.false(body.push(Buffer.from('x')));
});

// Guards against many bodies that together fill the memory, and against small answers lost beside them.
test('the largest body is dropped if all together are too large', t => {
  const budget = new MemoryBudget(100 * KIB);
  const small = new BodyBuffer(1024 * KIB, budget);
  const large = new BodyBuffer(1024 * KIB, budget);
  t.true(small.push(Buffer.alloc(KIB)));
  t.true(large.push(Buffer.alloc(80 * KIB)));
  const middle = new BodyBuffer(1024 * KIB, budget);
  t.true(middle.push(Buffer.alloc(40 * KIB)));
  t.false(large.push(Buffer.alloc(1)), 'it was the largest');
  t.true(small.push(Buffer.alloc(1)));
  t.false(middle.push(Buffer.alloc(200 * KIB)), 'it is the largest itself');
  t.is(small.take().length, KIB + 1);
  t.is(budget.heldBytes, 0);
});
