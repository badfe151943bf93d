/**
 * The `steps` experiment: measures trainer idle time, staleness, app latency, wasted
 * tokens and broken guarantees of each scheduler, without faults and under each one.
 */

import {NaiveScheduler} from '@radishyoke/core/scheduling/naive_scheduler';
import {
  DEFAULT_POLICY,
  PolicyOptions,
  BASELINE_POLICY,
} from '@radishyoke/core/scheduling/policy_options';
import {PolicyScheduler} from '@radishyoke/core/scheduling/policy_scheduler';
import {createRandomBits} from '@radishyoke/core/scheduling/random_bits';
import {DEFAULT_ENGINE_OPTIONS} from '@radishyoke/fakes/engine_options';
import {toDataCentreId} from '@radishyoke/shared/ids';
import {computeBound} from './physical_bound.js';
import {Deployment, DEPLOYMENTS, FAULT_CASES, FaultCase} from './steps_case.js';
import type {CreateScheduler} from './steps_vms.js';
import {
  createPlans,
  StepsSimulation,
  SimulationResult,
} from './steps_simulation.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10] as const;
const VMS = 4;

/** A scheduler to compare; `name` identifies it in the output. */
export interface SchedulerVariant {
  readonly name: string;
  readonly create: (deployment: Deployment) => CreateScheduler;
}

export interface StepsOptions {
  readonly seeds?: number;
  readonly case?: string;
  readonly deployment?: string;
}

/** Creates a variant that is the default policy with some options changed. */
export function createPolicyVariant(
  name: string,
  changes: Partial<PolicyOptions>,
): SchedulerVariant {
  return {
    name,
    create: deployment => (vm, index) => {
      const dataCentres = deployment.dataCentres;
      const dataCentre = toDataCentreId(
        dataCentres[index % dataCentres.length],
      );
      return new PolicyScheduler(
        {vm, dataCentre},
        createRandomBits(index + 1),
        {...DEFAULT_POLICY, ...changes},
      );
    },
  };
}

export const NAIVE_VARIANT: SchedulerVariant = {
  name: 'naive',
  create: () => () => new NaiveScheduler(),
};

const SCHEDULER_VARIANTS: readonly SchedulerVariant[] = [
  NAIVE_VARIANT,
  createPolicyVariant('round_start', BASELINE_POLICY),
  createPolicyVariant('present', {}),
];

/** Runs the selected cases and yields one line for each case and scheduler. */
export function* runSteps(
  options: StepsOptions,
  variants: readonly SchedulerVariant[] = SCHEDULER_VARIANTS,
): Generator<object> {
  const seeds = SEEDS.slice(0, options.seeds ?? SEEDS.length);
  for (const deployment of DEPLOYMENTS) {
    if (options.deployment && options.deployment !== deployment.name) continue;
    const boundMs = computeMeanBound(deployment, seeds);
    for (const fault of FAULT_CASES) {
      if (options.case && options.case !== fault.name) continue;
      yield* runCase(deployment, fault, seeds, variants, boundMs);
    }
  }
}

function* runCase(
  deployment: Deployment,
  fault: FaultCase,
  seeds: readonly number[],
  variants: readonly SchedulerVariant[],
  boundMs: number,
): Generator<object> {
  let naive: Summary | undefined;
  for (const variant of variants) {
    const createScheduler = variant.create(deployment);
    const base = {deployment, fault, vms: VMS, createScheduler};
    const results = seeds.map(seed =>
      new StepsSimulation({...base, seed, withRollouts: true}).run(),
    );
    const appsOnly = new StepsSimulation({
      ...base,
      seed: seeds[0],
      withRollouts: false,
    }).run();
    const summary = summarize(results, appsOnly);
    naive ??= summary;
    yield {
      deployment: deployment.name,
      case: fault.name,
      scheduler: variant.name,
      idleToNaive: round(summary.idleMs / naive.idleMs),
      idleToBound: round(summary.idleMs / boundMs),
      stalenessMeanToNaive: round(summary.stalenessMean / naive.stalenessMean),
      ...summary,
    };
  }
}

type Summary = ReturnType<typeof summarize>;

function summarize(
  results: readonly SimulationResult[],
  appsOnly: SimulationResult,
) {
  const sum = (pick: (result: SimulationResult) => number) =>
    results.reduce((total, result) => total + pick(result), 0);
  const staleness = results.flatMap(result => result.staleness).sort(ascending);
  const appTimes = results.flatMap(result => result.appMs).sort(ascending);
  const hintTimes = results.flatMap(result => result.hintMs).sort(ascending);
  const delivered = sum(r => r.deliveredTokens);
  return {
    idleMs: Math.round(sum(r => r.idleMs) / results.length),
    stalenessP50: quantile(staleness, 0.5),
    stalenessP99: quantile(staleness, 0.99),
    stalenessMax: staleness.at(-1) ?? 0,
    stalenessMean: round(
      staleness.reduce((a, b) => a + b, 0) / staleness.length,
    ),
    appP99ToAlone: round(
      quantile(appTimes, 0.99) /
        quantile([...appsOnly.appMs].sort(ascending), 0.99),
    ),
    hintP99ToAlone: round(
      quantile(hintTimes, 0.99) /
        quantile([...appsOnly.hintMs].sort(ascending), 0.99),
    ),
    wastedTokens: round(sum(r => r.generatedTokens) / delivered - 1),
    brokenPromises: sum(r => r.overStale + r.lost),
    gaveUp: addCounts(results.map(result => result.gaveUp)),
    poisonCrashes: sum(r => r.poisonCrashes),
  };
}

function addCounts(
  countsPerRun: ReadonlyArray<Readonly<Record<string, number>>>,
): Readonly<Record<string, number>> {
  const total: Record<string, number> = {};
  for (const counts of countsPerRun) {
    for (const [kind, count] of Object.entries(counts)) {
      total[kind] = (total[kind] ?? 0) + count;
    }
  }
  return total;
}

function computeMeanBound(
  deployment: Deployment,
  seeds: readonly number[],
): number {
  const {maxBatch, decodeBaseMs, decodeSlopeMs} = DEFAULT_ENGINE_OPTIONS;
  const tokensPerMsPerEngine =
    maxBatch / (decodeBaseMs + decodeSlopeMs * maxBatch);
  const bounds = seeds.map(seed =>
    computeBound(createPlans(seed), tokensPerMsPerEngine * deployment.engines),
  );
  return bounds.reduce((a, b) => a + b, 0) / bounds.length;
}

function quantile(sorted: readonly number[], fraction: number): number {
  const index = Math.ceil(sorted.length * fraction) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

function ascending(a: number, b: number): number {
  return a - b;
}

function round(value: number): number {
  return Number(value.toFixed(3));
}
