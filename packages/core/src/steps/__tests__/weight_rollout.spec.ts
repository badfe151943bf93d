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

/** Engines that handle each order according to `behaviours`. */
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

// Guards against engines that stay on old weights or all stop at the same time
// to load new ones.
// 1. Orders are lost, refused, or fail after they were accepted.
// 2. New versions are published meanwhile.
// It happens if an ordered version is assumed to run, or if all engines are
// ordered together.
test('all engines reach the newest weights, one wave after another', t => {
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

// Guards against two VMs ordering weights, so that engines switch back and
// forth between versions.
// 1. A holder is paused; its lease expires and another VM orders newer weights.
// 2. It resumes and continues; an engine that checks fencing numbers refuses
//    its order.
// It happens because a holder can not detect by itself that it lost the lease.
test('a holder that an engine reports as superseded sends no more orders', t => {
  const rollout = new WeightRollout(7);
  const reported = ENGINES.map(id => ({id, weightVersion: 1}));
  const [order] = rollout.plan(reported, 2, 0);
  rollout.recordOutcome(order, 'stale_fencing', 10);
  t.true(rollout.isSuperseded);
  t.deepEqual(rollout.plan(reported, 3, 60_000), []);
});

// Guards against trainers waiting for fresh rollouts long after new weights
// were published.
// 1. New weights are ordered; the connections to the first engines went silent.
// 2. The orders are lost, and all other engines wait for these engines.
// It happens if an unanswered order has the same timeout as a swap in progress.
test('lost orders delay the other engines only for seconds', t => {
  const behaviours = Array.from<OrderBehaviour>({length: WAVE}).fill('lost');
  const fleet = new Fleet(new WeightRollout(7), behaviours);
  while (fleet.sentAtMs.length <= WAVE && fleet.nowMs < 60_000) fleet.run(2);
  const {unansweredTimeoutMs} = DEFAULT_ROLLOUT_OPTIONS;
  t.true(fleet.sentAtMs[WAVE] <= unansweredTimeoutMs + STEP_MS);
});
