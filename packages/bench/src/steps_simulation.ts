/**
 * One run of the `steps` experiment on a virtual clock: each trainer requests one
 * step after another, apps send requests, engines fail as the fault case defines,
 * and every VM has a scheduler.
 */

import {DEFAULT_ENGINE_OPTIONS} from '@radishyoke/fakes/engine_options';
import {EngineModel} from '@radishyoke/fakes/engine_model';
import {pickOutputTokens} from '@radishyoke/fakes/output_length';
import {
  createRandomBits,
  pickRandomBelow,
} from '@radishyoke/core/scheduling/random_bits';
import type {AttemptOutcome} from '@radishyoke/core/scheduling/failure';
import type {
  SchedulerAction,
  WorkItem,
} from '@radishyoke/core/scheduling/scheduler';
import {WeightRollout} from '@radishyoke/core/steps/weight_rollout';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import {toDataCentreId, toEndpointId, toTenantId} from '@radishyoke/shared/ids';
import {measureStaleness, TokenSpan} from '@radishyoke/shared/rollout';
import {AppModel} from './app_model.js';
import {StepDemand, TrainerPlan} from './physical_bound.js';
import {Deployment, FaultCase, WORKLOAD} from './steps_case.js';
import {StepsEngine} from './steps_engines.js';
import {CreateScheduler, StepsVms} from './steps_vms.js';
import {VirtualClock} from './virtual_clock.js';

const MAX_RUN_MS = 3_600_000;
const FLOOD_TENANT = 'flooder';
const FLOOD_MAX_TOKENS = 3000;
const WEIGHT_ORDER_INTERVAL_MS = 500;
const TOKENS_PER_CHUNK = 32;

export interface SimulationOptions {
  readonly deployment: Deployment;
  readonly fault: FaultCase;
  readonly seed: number;
  readonly vms: number;
  readonly createScheduler: CreateScheduler;
  /** Without rollouts, the run gives the baseline latency of the apps. */
  readonly withRollouts: boolean;
}

/** Figures of one run. */
export interface SimulationResult {
  readonly idleMs: number;
  readonly staleness: readonly number[];
  /** Latencies of the plain requests of apps. */
  readonly appMs: readonly number[];
  /** Latencies of the generations of apps. */
  readonly hintMs: readonly number[];
  readonly generatedTokens: number;
  readonly deliveredTokens: number;
  /** Delivered rollouts whose staleness exceeds the limit. */
  readonly overStale: number;
  /** Rollouts still open at the end of the run, if a trainer did not finish. */
  readonly lost: number;
  /** Attempts of poisonous samples that ended in a crash. */
  readonly poisonCrashes: number;
  /** Abandoned work items by error kind, without poisonous samples and floods. */
  readonly gaveUp: Readonly<Record<string, number>>;
}

/** A work item that a scheduler has not finished or given up yet. */
interface ActiveItem {
  readonly work: WorkItem;
  readonly vm: number;
  readonly seed: number;
  readonly isPoisonous: boolean;
  readonly openedAtMs: number;
  /** Spans of each attempt's output, cached for attempts that resume from it. */
  readonly spansByAttempt: Map<number, readonly TokenSpan[]>;
  readonly endpointByAttempt: Map<number, string>;
  readonly onClosed: (result: 'done' | 'gave_up') => void;
}

export class StepsSimulation {
  private readonly clock = new VirtualClock();
  private readonly random;
  private readonly vms: StepsVms;
  private readonly engines = new Map<string, StepsEngine>();
  private readonly apps = new Map<string, AppModel>();
  private readonly activeItems = new Map<string, ActiveItem>();
  private readonly staleness: number[] = [];
  private readonly appMs: number[] = [];
  private readonly hintMs: number[] = [];
  private readonly weightRollout = new WeightRollout(1);
  private version = 1;
  private nextId = 0;
  private idleMs = 0;
  private trainersLeft = 0;
  private deliveredTokens = 0;
  private overStale = 0;
  private poisonCrashes = 0;
  private readonly gaveUp: Record<string, number> = {};

  constructor(private readonly options: SimulationOptions) {
    this.random = createRandomBits(options.seed);
    this.vms = new StepsVms(
      this.clock,
      options.vms,
      options.createScheduler,
      (_vm, action) => this.perform(action),
    );
  }

  run(): SimulationResult {
    this.setUp();
    this.clock.run(MAX_RUN_MS, () => this.isOver());
    const runs = [...this.engines.values()].flatMap(e => e.model.listRuns());
    const generatedTokens = runs
      .flatMap(run => run.spans)
      .reduce((sum, span) => sum + span.tokens, 0);
    const rollouts = [...this.activeItems.values()].filter(
      s => s.work.tenant !== FLOOD_TENANT && s.work.stepKey !== '',
    );
    return {
      idleMs: this.idleMs,
      staleness: this.staleness,
      appMs: this.appMs,
      hintMs: this.hintMs,
      generatedTokens,
      deliveredTokens: this.deliveredTokens,
      overStale: this.overStale,
      lost: this.trainersLeft > 0 ? rollouts.length : 0,
      poisonCrashes: this.poisonCrashes,
      gaveUp: this.gaveUp,
    };
  }

  private isOver(): boolean {
    return this.options.withRollouts
      ? this.trainersLeft === 0
      : this.clock.nowMs > 300_000;
  }

  // Set-up

  private setUp(): void {
    const {deployment, fault, withRollouts} = this.options;
    for (let i = 0; i < deployment.engines; i++) this.addEngine(i);
    for (let i = 0; i < deployment.appWorkers; i++) {
      const model = new AppModel(this.clock, WORKLOAD.appParallel);
      this.apps.set(`app-${i}`, model);
    }
    this.vms.start(this.listEndpoints(), () => [
      ...[...this.engines.values()].flatMap(engine => engine.reportLoad()),
      ...[...this.apps].map(([id, app]) => app.reportLoad(toEndpointId(id))),
    ]);
    this.clock.scheduleEvery(deployment.weightIntervalMs, () =>
      this.publishWeights(),
    );
    this.clock.scheduleEvery(WEIGHT_ORDER_INTERVAL_MS, () =>
      this.orderWeights(),
    );
    this.clock.scheduleEvery(1e3 / WORKLOAD.appRequestsPerSecond, () =>
      this.sendApp(),
    );
    this.clock.scheduleEvery(1e3 / WORKLOAD.hintsPerSecond, () =>
      this.sendHint(),
    );
    this.setUpFaults(fault);
    if (!withRollouts) return;
    const plans = createPlans(this.options.seed);
    this.trainersLeft = plans.length;
    plans.forEach((plan, trainer) =>
      this.clock.scheduleAt(plan.startAtMs, () =>
        this.openStep(trainer, plan, 0),
      ),
    );
  }

  private setUpFaults(fault: FaultCase): void {
    const engines = [...this.engines.values()];
    if (fault.slowFactor) engines[0].model.setSlowFactor(fault.slowFactor);
    if (fault.isSwapFailing) engines[1].model.setSwapFailure('later');
    if (fault.crashEveryMs) {
      this.clock.scheduleEvery(fault.crashEveryMs, () =>
        engines[pickRandomBelow(this.random, engines.length)].crash(),
      );
    }
    if (fault.floodSamples) {
      this.clock.scheduleEvery(60_000, () => this.flood(fault.floodSamples!));
    }
  }

  private addEngine(index: number): void {
    const {deployment, fault} = this.options;
    const id = toEndpointId(`engine-${index}`);
    const model = new EngineModel({
      tokensPerChunk: TOKENS_PER_CHUNK,
      length: WORKLOAD.length,
      restartVersion: 'last',
      ...(fault.loadLagMs && {loadLagMs: fault.loadLagMs}),
    });
    this.engines.set(
      id,
      new StepsEngine(id, model, this.clock, deployment.oneWayMs),
    );
  }

  private listEndpoints(): readonly EndpointInfo[] {
    const {dataCentres} = this.options.deployment;
    return [...this.engines.keys(), ...this.apps.keys()].map((id, i) => ({
      id: toEndpointId(id),
      kind: this.engines.has(id) ? 'engine' : 'service',
      address: '',
      dataCentre: toDataCentreId(dataCentres[i % dataCentres.length]),
      group: this.engines.has(id) ? 'models' : 'apps',
      state: 'live',
      checksFencing: true,
    }));
  }

  // Weights

  private publishWeights(): void {
    this.version++;
    const {version} = this;
    const min = version - this.options.deployment.maxStaleness;
    const openSteps = new Set(
      [...this.activeItems.values()].map(item => item.work.stepKey),
    );
    for (const stepKey of openSteps) {
      if (stepKey === '') continue;
      this.vms.dispatchToAll({
        kind: 'min_version',
        stepKey,
        minWeightVersion: min,
      });
    }
  }

  private orderWeights(): void {
    const engines = [...this.engines.values()];
    const reported = engines.map(engine => engine.reportVersion());
    for (const order of this.weightRollout.plan(
      reported,
      this.version,
      this.clock.nowMs,
    )) {
      this.engines.get(order.engine)!.loadWeights(order);
    }
  }

  // Work items

  private openStep(trainer: number, plan: TrainerPlan, index: number): void {
    const openedAtMs = this.clock.nowMs;
    const vm = pickRandomBelow(this.random, this.vms.count);
    const seeds = listSeeds(this.options.seed, trainer, index);
    let samplesLeft = seeds.length;
    const onClosed = () => {
      if (--samplesLeft > 0) return;
      this.idleMs += this.clock.nowMs - openedAtMs;
      if (index + 1 === plan.steps.length) this.trainersLeft--;
      else {
        this.clock.scheduleAfter(plan.trainMs, () =>
          this.openStep(trainer, plan, index + 1),
        );
      }
    };
    const hasPoisonSample = this.options.fault.hasPoisonSample && index === 1;
    seeds.forEach(({seed, group, maxTokens}, i) =>
      this.enqueue(vm, {
        tenant: `trainer-${trainer}`,
        stepKey: `step-${trainer}-${index}`,
        groupKey: `group-${trainer}-${index}-${group}`,
        maxTokens,
        seed,
        isPoisonous: Boolean(hasPoisonSample) && i === 5,
        onClosed,
      }),
    );
  }

  private flood(count: number): void {
    const vm = pickRandomBelow(this.random, this.vms.count);
    for (let i = 0; i < count; i++) {
      this.enqueue(vm, {
        tenant: FLOOD_TENANT,
        stepKey: `flood-${this.clock.nowMs}`,
        groupKey: `flood-${this.clock.nowMs}-${i % 50}`,
        maxTokens: FLOOD_MAX_TOKENS,
        seed: this.random(),
        isPoisonous: false,
        onClosed: () => {},
      });
    }
  }

  private sendHint(): void {
    const startMs = this.clock.nowMs;
    this.enqueue(pickRandomBelow(this.random, this.vms.count), {
      tenant: 'app',
      stepKey: '',
      groupKey: '',
      maxTokens: WORKLOAD.hintTokens,
      seed: this.random(),
      isPoisonous: false,
      onClosed: result => this.recordAppTime(this.hintMs, startMs, result),
    });
  }

  private sendApp(): void {
    const startMs = this.clock.nowMs;
    this.enqueue(pickRandomBelow(this.random, this.vms.count), {
      tenant: 'app',
      stepKey: '',
      groupKey: '',
      maxTokens: 0,
      seed: this.random(),
      isPoisonous: false,
      onClosed: result => this.recordAppTime(this.appMs, startMs, result),
    });
  }

  private recordAppTime(
    times: number[],
    startMs: number,
    result: 'done' | 'gave_up',
  ): void {
    if (result === 'done') times.push(this.clock.nowMs - startMs);
  }

  private enqueue(
    vm: number,
    spec: {
      readonly tenant: string;
      readonly stepKey: string;
      readonly groupKey: string;
      readonly maxTokens: number;
      readonly seed: number;
      readonly isPoisonous: boolean;
      readonly onClosed: (result: 'done' | 'gave_up') => void;
    },
  ): void {
    const id = `work-${this.nextId++}`;
    const {maxStaleness} = this.options.deployment;
    const isRollout = spec.stepKey !== '';
    const work: WorkItem = {
      id,
      tenant: toTenantId(spec.tenant),
      workClass: isRollout ? 'rollout' : 'interactive',
      group: spec.maxTokens > 0 ? 'models' : 'apps',
      priority: 0,
      deadlineAtMs: this.clock.nowMs + WORKLOAD.stepTimeoutMs,
      promptTokens: spec.maxTokens > 0 ? WORKLOAD.promptTokens : 0,
      maxTokens: spec.maxTokens,
      prefixKey: spec.groupKey,
      stepKey: spec.stepKey,
      groupKey: spec.groupKey,
      minWeightVersion: isRollout ? this.version - maxStaleness : 0,
      idempotent: true,
      maxAttempts: WORKLOAD.maxAttempts,
      fingerprint: `${spec.groupKey}-${spec.seed}`,
    };
    this.activeItems.set(id, {
      work,
      vm,
      seed: spec.seed,
      isPoisonous: spec.isPoisonous,
      openedAtMs: this.clock.nowMs,
      spansByAttempt: new Map(),
      endpointByAttempt: new Map(),
      onClosed: spec.onClosed,
    });
    this.vms.dispatch(vm, {kind: 'enqueue', work});
  }

  // Actions of the schedulers

  private perform(action: SchedulerAction): void {
    if (action.kind === 'report_crash') return;
    const item = this.activeItems.get(action.workId);
    if (!item) return;
    switch (action.kind) {
      case 'start':
        return this.start(item, action);
      case 'stop':
        return this.stop(item, action.attempt);
      case 'done':
        this.deliver(item, action.attempt);
        return this.close(item, 'done');
      case 'give_up':
        this.recordGivenUp(item, action.error.kind);
        return this.close(item, 'gave_up');
    }
  }

  private recordGivenUp(item: ActiveItem, kind: string): void {
    if (item.isPoisonous || item.work.tenant === FLOOD_TENANT) return;
    this.gaveUp[kind] = (this.gaveUp[kind] ?? 0) + 1;
  }

  private close(item: ActiveItem, result: 'done' | 'gave_up'): void {
    this.activeItems.delete(item.work.id);
    item.onClosed(result);
  }

  private start(
    item: ActiveItem,
    action: SchedulerAction & {kind: 'start'},
  ): void {
    const {work, vm} = item;
    const {attempt, endpoint, resumeTokens, resumeAttempt} = action;
    item.endpointByAttempt.set(attempt, endpoint);
    const onEnd = (outcome: AttemptOutcome) =>
      this.onAttemptEnd(item, attempt, outcome);
    const app = this.apps.get(endpoint);
    if (app) {
      const serviceMs = this.pickServiceMs();
      return app.run(serviceMs, () =>
        onEnd({kind: 'finished', tokens: 0, spans: []}),
      );
    }
    const earlierSpans =
      resumeTokens > 0 ? this.cacheSpans(item, resumeAttempt) : [];
    this.engines.get(endpoint)!.submit(
      {
        id: `${work.id}#${attempt}`,
        seed: item.seed,
        maxTokens: work.maxTokens,
        resumeTokens,
        poison: item.isPoisonous,
        promptTokens: work.promptTokens,
        prefixKey: work.prefixKey,
        promptKey: work.prefixKey,
      },
      earlierSpans,
      this.pickSilentFromMs(),
      {
        onProgress: (tokens, weightVersion) => {
          this.cacheSpans(item, attempt);
          this.vms.dispatch(vm, {
            kind: 'progress',
            workId: work.id,
            attempt,
            tokens,
            weightVersion,
          });
        },
        onEnd,
      },
    );
  }

  /** Returns the spans of an attempt's output; caches them, as engines drop theirs. */
  private cacheSpans(item: ActiveItem, attempt: number): readonly TokenSpan[] {
    const endpoint = item.endpointByAttempt.get(attempt)!;
    const engine = this.engines.get(endpoint);
    const spans = engine?.readSpans(`${item.work.id}#${attempt}`) ?? [];
    if (spans.length > 0) item.spansByAttempt.set(attempt, spans);
    return item.spansByAttempt.get(attempt) ?? [];
  }

  private stop(item: ActiveItem, attempt: number): void {
    this.cacheSpans(item, attempt);
    const endpoint = item.endpointByAttempt.get(attempt)!;
    this.engines.get(endpoint)?.cancel(`${item.work.id}#${attempt}`);
  }

  private onAttemptEnd(
    item: ActiveItem,
    attempt: number,
    outcome: AttemptOutcome,
  ): void {
    const {work, vm} = item;
    if (outcome.kind === 'finished')
      item.spansByAttempt.set(attempt, outcome.spans);
    if (outcome.kind === 'failed' && outcome.failure === 'crashed') {
      if (item.isPoisonous) this.poisonCrashes++;
    }
    this.vms.dispatch(vm, {kind: 'ended', workId: work.id, attempt, outcome});
  }

  private deliver(item: ActiveItem, attempt: number): void {
    const {work} = item;
    const spans = item.spansByAttempt.get(attempt) ?? [];
    this.deliveredTokens += spans.reduce((sum, span) => sum + span.tokens, 0);
    if (work.workClass !== 'rollout' || work.tenant === FLOOD_TENANT) return;
    const staleness = measureStaleness(spans, this.version);
    this.staleness.push(staleness);
    if (staleness > this.options.deployment.maxStaleness) this.overStale++;
  }

  private pickServiceMs(): number {
    const {median, sigma} = WORKLOAD.appServiceMs;
    const distribution = {medianTokens: median, sigma};
    return pickOutputTokens(this.random(), distribution);
  }

  private pickSilentFromMs(): number {
    const fraction = this.options.fault.silentFraction ?? 0;
    if (
      fraction === 0 ||
      pickRandomBelow(this.random, 1000) >= fraction * 1000
    ) {
      return Infinity;
    }
    return this.clock.nowMs + pickRandomBelow(this.random, 20_000);
  }
}

interface SampleSeed {
  readonly seed: number;
  readonly group: number;
  readonly maxTokens: number;
}

function listSeeds(
  seed: number,
  trainer: number,
  step: number,
): readonly SampleSeed[] {
  const random = createRandomBits(seed * 1000 + trainer * 100 + step);
  const {groupsPerStep, samplesPerGroup, groupMaxTokens} = WORKLOAD;
  return Array.from({length: groupsPerStep * samplesPerGroup}, (_, i) => {
    const group = Math.floor(i / samplesPerGroup);
    const maxTokens = groupMaxTokens[group % groupMaxTokens.length];
    return {seed: random(), group, maxTokens};
  });
}

/** Returns the demand of one seed's trainers, for computing the lower bound. */
export function createPlans(seed: number): readonly TrainerPlan[] {
  return Array.from({length: WORKLOAD.trainers}, (_, trainer) => ({
    startAtMs: (trainer + 1) * WORKLOAD.staggerMs,
    trainMs: WORKLOAD.trainMs,
    steps: Array.from({length: WORKLOAD.stepsPerTrainer}, (_unused, step) =>
      computeDemand(listSeeds(seed, trainer, step)),
    ),
  }));
}

function computeDemand(seeds: readonly SampleSeed[]): StepDemand {
  const {decodeBaseMs, decodeSlopeMs, prefillMsPerToken} =
    DEFAULT_ENGINE_OPTIONS;
  const lengths = seeds.map(({seed, maxTokens}) =>
    Math.min(maxTokens, pickOutputTokens(seed, WORKLOAD.length)),
  );
  const unsharedMsPerToken = decodeBaseMs + decodeSlopeMs;
  return {
    tokens: lengths.reduce((sum, length) => sum + length, 0),
    longestMs:
      Math.max(...lengths) * unsharedMsPerToken +
      WORKLOAD.promptTokens * prefillMsPerToken,
  };
}
