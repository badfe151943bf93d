import test from 'ava';
import fc from 'fast-check';
import {toTenantId} from '@radishyoke/shared/ids';
import {FairQueue, QueueEntry} from '../fair_queue.js';
import {NaiveFairQueue} from '../../__tests__/naive_fair_queue.js';

const SEED = 6;

const entryArbitrary: fc.Arbitrary<QueueEntry> = fc.record({
  tenant: fc.constantFrom('a', 'b', 'c').map(toTenantId),
  priority: fc.nat(1),
  deadlineAtMs: fc.nat(3),
  cost: fc.integer({min: 1, max: 9}),
  isStarted: fc.boolean(),
});

const opsArbitrary = fc.array(
  fc.oneof(
    entryArbitrary.map(entry => ({op: 'push' as const, entry})),
    fc.constant({op: 'pop' as const}),
    fc.nat(9).map(index => ({op: 'remove' as const, index})),
  ),
  {maxLength: 80, size: 'max'},
);

test('dequeues in the order of a linear scan', t => {
  fc.assert(
    fc.property(opsArbitrary, ops => {
      const queue = new FairQueue<QueueEntry>();
      const naive = new NaiveFairQueue<QueueEntry>();
      const queued: QueueEntry[] = [];
      for (const op of ops) {
        if (op.op === 'push') {
          queue.push(op.entry);
          naive.push(op.entry);
          queued.push(op.entry);
        } else if (op.op === 'remove' && op.index < queued.length) {
          const [entry] = queued.splice(op.index, 1);
          queue.remove(entry);
          naive.remove(entry);
        } else if (op.op === 'pop' && queued.length > 0) {
          const head = queue.peek();
          const entry = queue.pop()!;
          if (head !== entry) return false;
          if (!naive.listNextTenants().includes(entry.tenant)) return false;
          const expected = naive.popOf(entry.tenant);
          if (!isAlike(entry, expected)) return false;
          queued.splice(queued.indexOf(entry), 1);
        }
        if (queue.size !== queued.length) return false;
      }
      return true;
    }),
    {seed: SEED, numRuns: 500},
  );
  t.pass();
});

/** Whether the order allows either of two entries to go first. */
function isAlike(a: QueueEntry, b: QueueEntry): boolean {
  return (
    a.priority === b.priority &&
    a.isStarted === b.isStarted &&
    a.deadlineAtMs === b.deadlineAtMs &&
    a.cost === b.cost
  );
}
