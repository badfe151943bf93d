import test from 'ava';
import {MemoryBudget, type MemoryHolder} from '../memory_budget.js';

class Holder implements MemoryHolder {
  isEvicted = false;
  readonly progressMs: number | undefined;

  /** @param progressMs Steady ms of its last progress, or that it has to be kept. */
  constructor(progressMs: number | 'kept' = Infinity) {
    this.progressMs = progressMs === 'kept' ? undefined : progressMs;
  }

  evict(): void {
    this.isEvicted = true;
  }
}

// Guards against a crowd that stalls and locks ordinary callers out.
test('what has stood still for longest gives way first', t => {
  const budget = new MemoryBudget(100);
  const [older, newer, moving] = [
    new Holder(-5000),
    new Holder(-4000),
    new Holder(),
  ];
  t.true(budget.hold(older, 10));
  t.true(budget.hold(newer, 10));
  t.true(budget.hold(moving, 50));
  t.true(budget.hold(new Holder(), 35));
  t.deepEqual(
    [older, newer, moving].map(({isEvicted}) => isEvicted),
    [true, false, false],
  );
});

test('what moves gives way if it is largest', t => {
  const budget = new MemoryBudget(100);
  const [small, large] = [new Holder(), new Holder()];
  t.true(budget.hold(small, 10));
  t.true(budget.hold(large, 40));
  t.false(budget.hold(new Holder(), 60));
  t.true(budget.hold(new Holder(), 35));
  t.true(budget.hold(new Holder(), 30));
  t.deepEqual([small.isEvicted, large.isEvicted], [false, true]);
  t.is(budget.heldBytes, 75);
  t.is(budget.evictedCount, 2);
});

// Guards against bodies that were passed on and are dropped while an endpoint reads them.
test('what has to be kept is never dropped', t => {
  const budget = new MemoryBudget(100);
  const kept = new Holder('kept');
  t.true(budget.hold(kept, 45));
  t.true(budget.hold(new Holder('kept'), 45));
  t.false(budget.hold(new Holder(), 20));
  t.false(kept.isEvicted);
  budget.release(kept);
  t.is(budget.heldBytes, 45);
});

// Guards against a long body that no small VM accepts although little else is held.
test('one large body passes beside little else', t => {
  const budget = new MemoryBudget(100, 0.25);
  const first = new Holder();
  t.true(budget.hold(first, 1000));
  t.true(budget.hold(new Holder(), 20));
  t.false(budget.hold(new Holder(), 1100));
  t.false(first.isEvicted);
  t.true(budget.hold(new Holder(), 10));
  t.true(first.isEvicted);
  t.is(budget.heldBytes, 30);
});
