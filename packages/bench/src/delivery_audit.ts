/**
 * Counts lost, duplicate, overly stale and mislabelled rollouts. Compares what trainers
 * received with what engines recorded, independently of the service's own records.
 */

import type {FakeEngine} from '@radishyoke/fakes/fake_engine';
import type {EngineRun} from '@radishyoke/fakes/run_history';
import type {Rollout, TokenSpan} from '@radishyoke/shared/rollout';

/** One rollout as a trainer received it. */
export interface Delivery {
  readonly tenant: string;
  readonly rollout: Rollout;
  /** The trainer's weight version when the rollout arrived. */
  readonly trainerVersion: number;
  readonly maxStaleness: number;
}

export interface DeliveryFigures {
  readonly requested: number;
  readonly delivered: number;
  readonly lost: number;
  readonly doubled: number;
  readonly overStale: number;
  /** Rollouts whose spans differ from the engine's record of the run. */
  readonly mislabelled: number;
  readonly weightVersions: readonly number[];
  readonly stalenessMax: number;
}

export function auditDeliveries(
  requested: number,
  deliveries: readonly Delivery[],
  engines: ReadonlyMap<string, FakeEngine>,
): DeliveryFigures {
  const runs = indexRuns(engines);
  const ids = new Set<string>();
  const versions = new Set<number>();
  let overStale = 0;
  let mislabelled = 0;
  let stalenessMax = 0;
  for (const delivery of deliveries) {
    const {rollout, trainerVersion, maxStaleness} = delivery;
    ids.add(`${delivery.tenant}/${rollout.id}`);
    const run = findRun(runs, delivery);
    if (!run || !isSuffix(run.spans, rollout.spans)) mislabelled++;
    const spans = [...rollout.spans, ...(run?.spans ?? [])];
    for (const span of spans) versions.add(span.weightVersion);
    const oldest = Math.min(...spans.map(span => span.weightVersion));
    const staleness = Math.max(0, trainerVersion - oldest);
    stalenessMax = Math.max(stalenessMax, staleness);
    if (staleness > maxStaleness) overStale++;
  }
  return {
    requested,
    delivered: ids.size,
    lost: requested - ids.size,
    doubled: deliveries.length - ids.size,
    overStale,
    mislabelled,
    weightVersions: [...versions].sort((a, b) => a - b),
    stalenessMax,
  };
}

/** Indexes runs by engine and by request id without the owner's fencing number. */
function indexRuns(
  engines: ReadonlyMap<string, FakeEngine>,
): ReadonlyMap<string, readonly EngineRun[]> {
  const index = new Map<string, EngineRun[]>();
  for (const [id, engine] of engines) {
    for (const run of engine.listRuns()) {
      const parts = run.requestId.split('.');
      const attempt = parts.at(-1);
      const sample = parts.slice(0, -2).join('.');
      const key = `${id} ${sample} ${attempt}`;
      index.set(key, [...(index.get(key) ?? []), run]);
    }
  }
  return index;
}

function findRun(
  runs: ReadonlyMap<string, readonly EngineRun[]>,
  {tenant, rollout}: Delivery,
): EngineRun | undefined {
  const {step, group, sample, attempt, endpoint} = rollout;
  const key = `${endpoint} ${tenant}/${step}/${group}.${sample} ${attempt}`;
  const found = runs.get(key) ?? [];
  return found.find(run => run.end === 'finished') ?? found[0];
}

/** Returns whether `spans` ends with the tokens and weight versions of `suffix`. */
function isSuffix(
  suffix: readonly TokenSpan[],
  spans: readonly TokenSpan[],
): boolean {
  const expand = (spans: readonly TokenSpan[]) =>
    spans.flatMap(span =>
      new Array<number>(span.tokens).fill(span.weightVersion),
    );
  const expected = expand(suffix);
  const actual = expand(spans);
  const tail = actual.slice(actual.length - expected.length);
  return (
    expected.length <= actual.length &&
    tail.every((version, index) => version === expected[index])
  );
}
