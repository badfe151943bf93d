import test from 'ava';
import {DemandPeak} from '../demand_peak.js';
import {
  planReclaimable,
  type ScalingSpec,
  type DataCentreFleet,
} from '../scaling_plan.js';

const SPEC: ScalingSpec = {
  min: 1,
  max: 22,
  bootMs: 4000,
  reclaimablePrice: 0.22,
  prices: {a: 1, b: 0.8, c: 1.25},
};

function createSites(lasting: number): readonly DataCentreFleet[] {
  return ['a', 'b', 'c'].map(dataCentre => ({
    dataCentre,
    lasting,
    reclaimable: 0,
  }));
}

function plan(
  peakItems: number,
  spec: Partial<ScalingSpec> = {},
  lasting = 11,
): readonly number[] {
  const demand = {peakItems, slots: 8};
  return [
    ...planReclaimable(
      {...SPEC, ...spec},
      createSites(lasting),
      demand,
    ).values(),
  ];
}

test('nothing is ordered while the endpoints that stay have a place for each item', t => {
  t.deepEqual(plan(0), [0, 0, 0]);
  t.deepEqual(plan(33 * 8), [0, 0, 0]);
});

test('a peak is carried by endpoints that may be taken away, alike in each data centre', t => {
  t.deepEqual(plan(36 * 8), [1, 1, 1]);
  t.deepEqual(plan(39 * 8 + 1), [3, 3, 3]);
});

test('guards against work that stands still once all of them are taken away', t => {
  const counts = plan(100_000);
  const sum = counts.reduce((a, b) => a + b, 0);
  t.true(sum <= 33 * 0.5 + 3);
  t.true(sum > 0);
});

test('no order goes beyond what the operator allows in a data centre', t => {
  t.deepEqual(plan(100_000, {max: 12}), [1, 1, 1]);
  t.deepEqual(plan(100_000, {max: 11}), [0, 0, 0]);
  t.deepEqual(plan(100_000, {max: 3}), [0, 0, 0]);
});

test('endpoints that are hardly cheaper, or do not exist, are not ordered', t => {
  t.deepEqual(plan(100_000, {reclaimablePrice: 0.7}), [0, 0, 0]);
  const {reclaimablePrice, ...withoutKind} = SPEC;
  t.is(reclaimablePrice, 0.22);
  const demand = {peakItems: 100_000, slots: 8};
  const none = planReclaimable(withoutKind, createSites(11), demand);
  t.deepEqual([...none.values()], [0, 0, 0]);
});

test('a peak holds over the pauses between steps and is forgotten in the end', t => {
  const peak = new DemandPeak();
  peak.note(500, 0);
  peak.note(20, 2000);
  t.is(peak.items, 500);
  peak.note(300, 10_000);
  t.is(peak.items, 500);
  peak.note(0, 20_001);
  t.is(peak.items, 300);
  peak.note(0, 40_000);
  t.is(peak.items, 0);
});
