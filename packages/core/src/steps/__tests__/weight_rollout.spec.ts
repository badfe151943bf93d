import test from 'ava';
import fc from 'fast-check';
import {toEndpointId} from '@radishyoke/shared/ids';
import {
  DEFAULT_ROLLOUT_OPTIONS,
  LoadOrder,
  WeightRollout,
} from '../weight_rollout.js';

const ENGINES = ['a', 'b', 'c', 'd', 'e', 'f'].map(toEndpointId);
const WAVE = 2;
const STEP_MS = 250;

type OrderBehaviour =
  'loads' | 'fails' | 'fails_later' | 'lost' | 'answer_lost';

/** Engines that treat each order as the case says. */
class Fleet {
  nowMs = 0;
  readonly versions = new Map(ENGINES.map(id => [id, 1]));
  readonly loading = new Map<LoadOrder['engine'], number>();
  readonly sentAtMs: number[] = [];
  maxLoading = 0;

  constructor(
    readonly rollout: WeightRollout,
    private readonly behaviours: readonly OrderBehaviour[],
  ) {}

  run(newest: number): void {
    const reported = ENGINES.map(id => ({
      id,
      weightVersion: this.versions.get(id)!,
    }));
    for (const order of this.rollout.plan(reported, newest, this.nowMs)) {
      this.executeOrder(order);
    }
    this.maxLoading = Math.max(this.maxLoading, this.loading.size);
    this.nowMs += STEP_MS;
    for (const [id, version] of this.loading) this.versions.set(id, version);
    this.loading.clear();
  }

  private executeOrder(order: LoadOrder): void {
    const behaviour = this.behaviours[this.sentAtMs.length] ?? 'loads';
    this.sentAtMs.push(this.nowMs);
    if (behaviour === 'loads' || behaviour === 'answer_lost') {
      this.loading.set(order.engine, order.version);
    }
    const outcome =
      behaviour === 'fails'
        ? 'failed'
        : behaviour === 'loads' || behaviour === 'fails_later'
          ? 'begun'
          : 'unknown';
    this.rollout.recordOutcome(order, outcome, this.nowMs);
  }
}

// Engines stay on old weights, or all stop at once to load new ones.
// 1. Orders are lost, refused, or fail after they were taken.
// 2. New versions come meanwhile.
// Cause: what was ordered is taken for what runs, or all are ordered together.
test('all engines reach the newest weights, a wave at a time', t => {
  const behaviourArbitrary = fc.constantFrom<OrderBehaviour>(
    'loads',
    'fails',
    'fails_later',
    'lost',
    'answer_lost',
  );
  fc.assert(
    fc.property(
      fc.array(behaviourArbitrary, {maxLength: 30, size: 'max'}),
      behaviours => {
        const fleet = new Fleet(new WeightRollout(7), behaviours);
        for (let i = 0; i < 4000; i++) fleet.run(i < 40 ? 2 : 3);
        const isDone = [...fleet.versions.values()].every(v => v === 3);
        const {fetchesPerSecond} = DEFAULT_ROLLOUT_OPTIONS;
        const isPaced = fleet.sentAtMs.every((atMs, i) => {
          const later = fleet.sentAtMs[i + 2 * fetchesPerSecond];
          return later === undefined || later - atMs >= 1000;
        });
        return isDone && isPaced && fleet.maxLoading <= WAVE;
      },
    ),
    {seed: 5, numRuns: 50},
  );
  t.pass();
});

// Two VMs order weights, and engines go back and forth between versions.
// 1. A holder is paused; its lease lapses and another VM orders newer weights.
// 2. It wakes and goes on; an engine that checks fencing numbers refuses it.
// Cause: a holder can't see by itself that it no longer is one.
test('a holder that an engine calls superseded orders no more', t => {
  const rollout = new WeightRollout(7);
  const reported = ENGINES.map(id => ({id, weightVersion: 1}));
  const [order] = rollout.plan(reported, 2, 0);
  rollout.recordOutcome(order, 'stale_fencing', 10);
  t.true(rollout.isSuperseded);
  t.deepEqual(rollout.plan(reported, 3, 60_000), []);
});

// Trainers wait for fresh rollouts long after new weights came out.
// 1. New weights are ordered; the connections to the first engines went silent.
// 2. The orders vanish, and all other engines wait for them.
// Cause: an order that nobody answered was waited for like a swap under way.
test('orders that vanish hold the other engines up for seconds only', t => {
  const behaviours = Array.from<OrderBehaviour>({length: WAVE}).fill('lost');
  const fleet = new Fleet(new WeightRollout(7), behaviours);
  while (fleet.sentAtMs.length <= WAVE && fleet.nowMs < 60_000) fleet.run(2);
  const {unansweredTimeoutMs} = DEFAULT_ROLLOUT_OPTIONS;
  t.true(fleet.sentAtMs[WAVE] <= unansweredTimeoutMs + STEP_MS);
});
