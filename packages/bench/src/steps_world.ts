/**
 * One run of the experiment: trainers ask for steps one after the other, apps
 * send requests, engines fail as the case says, and a scheduler on each VM
 * decides. Everything happens on a virtual clock.
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

const END_MS = 3_600_000;
const FLOOD_TENANT = 'flooder';
const FLOOD_MAX_TOKENS = 3000;
const ORDER_EVERY_MS = 500;
const TOKENS_PER_CHUNK = 32;

export interface WorldOptions {
  readonly deployment: Deployment;
  readonly fault: FaultCase;
  readonly seed: number;
  readonly vms: number;
  readonly createScheduler: CreateScheduler;
  /** Whether there are rollouts; apps alone give what apps are compared to. */
  readonly withRollouts: boolean;
}

/** What one run showed. */
export interface WorldResult {
  readonly idleMs: number;
  readonly staleness: readonly number[];
  readonly appMs: readonly number[];
  readonly hintMs: readonly number[];
  readonly generatedTokens: number;
  readonly deliveredTokens: number;
  readonly overBound: number;
  readonly lost: number;
  readonly crashes: number;
  /** Works given up, by error kind; those of poisonous samples not counted. */
  readonly gaveUp: Readonly<Record<string, number>>;
}

interface Sample {
  readonly work: WorkItem;
  readonly vm: number;
  readonly seed: number;
  readonly poison: boolean;
  readonly openedAtMs: number;
  /** Spans of each attempt, kept to go on from. */
  readonly spans: Map<number, readonly TokenSpan[]>;
  readonly endpoints: Map<number, string>;
  readonly onOver: (result: 'done' | 'gave_up') => void;
}

export class StepsWorld {
  private readonly clock = new VirtualClock();
  private readonly random;
  private readonly vms: StepsVms;
  private readonly engines = new Map<string, StepsEngine>();
  private readonly apps = new Map<string, AppModel>();
  private readonly samples = new Map<string, Sample>();
  private readonly staleness: number[] = [];
  private readonly appMs: number[] = [];
  private readonly hintMs: number[] = [];
  private readonly rollout = new WeightRollout(1);
  private version = 1;
  private nextId = 0;
  private idleMs = 0;
  private trainersLeft = 0;
  private deliveredTokens = 0;
  private overBound = 0;
  private crashes = 0;
  private readonly gaveUp: Record<string, number> = {};

  constructor(private readonly options: WorldOptions) {
    this.random = createRandomBits(options.seed);
    this.vms = new StepsVms(
      this.clock,
      options.vms,
      options.createScheduler,
      (_vm, action) => this.perform(action),
    );
  }

  run(): WorldResult {
    this.setUp();
    this.clock.run(END_MS, () => this.isOver());
    const runs = [...this.engines.values()].flatMap(e => e.model.listRuns());
    const generatedTokens = runs
      .flatMap(run => run.spans)
      .reduce((sum, span) => sum + span.tokens, 0);
    const rollouts = [...this.samples.values()].filter(
      s => s.work.tenant !== FLOOD_TENANT && s.work.stepKey !== '',
    );
    return {
      idleMs: this.idleMs,
      staleness: this.staleness,
      appMs: this.appMs,
      hintMs: this.hintMs,
      generatedTokens,
      deliveredTokens: this.deliveredTokens,
      overBound: this.overBound,
      lost: this.trainersLeft > 0 ? rollouts.length : 0,
      crashes: this.crashes,
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
    this.clock.every(deployment.weightIntervalMs, () => this.publish());
    this.clock.every(ORDER_EVERY_MS, () => this.orderWeights());
    this.clock.every(1e3 / WORKLOAD.appRequestsPerSecond, () => this.sendApp());
    this.clock.every(1e3 / WORKLOAD.hintsPerSecond, () => this.sendHint());
    this.setUpFaults(fault);
    if (!withRollouts) return;
    const plans = createPlans(this.options.seed);
    this.trainersLeft = plans.length;
    plans.forEach((plan, trainer) =>
      this.clock.at(plan.startAtMs, () => this.openStep(trainer, plan, 0)),
    );
  }

  private setUpFaults(fault: FaultCase): void {
    const engines = [...this.engines.values()];
    if (fault.slowFactor) engines[0].model.setSlowFactor(fault.slowFactor);
    if (fault.swapFails) engines[1].model.setSwapFailure('later');
    if (fault.crashEveryMs) {
      this.clock.every(fault.crashEveryMs, () =>
        engines[pickRandomBelow(this.random, engines.length)].crash(),
      );
    }
    if (fault.floodSamples) {
      this.clock.every(60_000, () => this.flood(fault.floodSamples!));
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

  private publish(): void {
    this.version++;
    const {version} = this;
    const min = version - this.options.deployment.maxStaleness;
    const open = new Set(
      [...this.samples.values()].map(sample => sample.work.stepKey),
    );
    for (const stepKey of open) {
      if (stepKey === '') continue;
      this.vms.tellAll({kind: 'min_version', stepKey, minWeightVersion: min});
    }
  }

  private orderWeights(): void {
    const engines = [...this.engines.values()];
    const reported = engines.map(engine => engine.readVersion());
    for (const order of this.rollout.plan(
      reported,
      this.version,
      this.clock.nowMs,
    )) {
      this.engines.get(order.engine)!.order(order);
    }
  }

  // Work

  private openStep(trainer: number, plan: TrainerPlan, index: number): void {
    const openedAtMs = this.clock.nowMs;
    const vm = pickRandomBelow(this.random, this.vms.count);
    const seeds = listSeeds(this.options.seed, trainer, index);
    let left = seeds.length;
    const onOver = () => {
      if (--left > 0) return;
      this.idleMs += this.clock.nowMs - openedAtMs;
      if (index + 1 === plan.steps.length) this.trainersLeft--;
      else {
        this.clock.after(plan.trainMs, () =>
          this.openStep(trainer, plan, index + 1),
        );
      }
    };
    const isPoisoned = this.options.fault.poison && index === 1;
    seeds.forEach(({seed, group, maxTokens}, i) =>
      this.enqueue(vm, {
        tenant: `trainer-${trainer}`,
        stepKey: `step-${trainer}-${index}`,
        groupKey: `group-${trainer}-${index}-${group}`,
        maxTokens,
        seed,
        poison: Boolean(isPoisoned) && i === 5,
        onOver,
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
        poison: false,
        onOver: () => {},
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
      poison: false,
      onOver: result => this.noteApp(this.hintMs, startMs, result),
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
      poison: false,
      onOver: result => this.noteApp(this.appMs, startMs, result),
    });
  }

  private noteApp(
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
      readonly poison: boolean;
      readonly onOver: (result: 'done' | 'gave_up') => void;
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
    this.samples.set(id, {
      work,
      vm,
      seed: spec.seed,
      poison: spec.poison,
      openedAtMs: this.clock.nowMs,
      spans: new Map(),
      endpoints: new Map(),
      onOver: spec.onOver,
    });
    this.vms.tell(vm, {kind: 'enqueue', work});
  }

  // What schedulers ask for

  private perform(action: SchedulerAction): void {
    if (action.kind === 'report_crash') return;
    const sample = this.samples.get(action.workId);
    if (!sample) return;
    switch (action.kind) {
      case 'start':
        return this.start(sample, action);
      case 'stop':
        return this.stop(sample, action.attempt);
      case 'done':
        this.handOver(sample, action.attempt);
        return this.close(sample, 'done');
      case 'give_up':
        this.noteGivenUp(sample, action.error.kind);
        return this.close(sample, 'gave_up');
    }
  }

  private noteGivenUp(sample: Sample, kind: string): void {
    if (sample.poison || sample.work.tenant === FLOOD_TENANT) return;
    this.gaveUp[kind] = (this.gaveUp[kind] ?? 0) + 1;
  }

  private close(sample: Sample, result: 'done' | 'gave_up'): void {
    this.samples.delete(sample.work.id);
    sample.onOver(result);
  }

  private start(
    sample: Sample,
    action: SchedulerAction & {kind: 'start'},
  ): void {
    const {work, vm} = sample;
    const {attempt, endpoint, resumeTokens, resumeAttempt} = action;
    sample.endpoints.set(attempt, endpoint);
    const tell = (outcome: AttemptOutcome) =>
      this.end(sample, attempt, outcome);
    const app = this.apps.get(endpoint);
    if (app) {
      const serviceMs = this.drawServiceMs();
      return app.run(serviceMs, () =>
        tell({kind: 'finished', tokens: 0, spans: []}),
      );
    }
    const earlier = resumeTokens > 0 ? this.spansOf(sample, resumeAttempt) : [];
    this.engines.get(endpoint)!.submit(
      {
        id: `${work.id}#${attempt}`,
        seed: sample.seed,
        maxTokens: work.maxTokens,
        resumeTokens,
        poison: sample.poison,
        promptTokens: work.promptTokens,
        prefixKey: work.prefixKey,
        promptKey: work.prefixKey,
      },
      earlier,
      this.drawSilentFromMs(),
      {
        onProgress: (tokens, weightVersion) => {
          this.spansOf(sample, attempt);
          this.vms.tell(vm, {
            kind: 'progress',
            workId: work.id,
            attempt,
            tokens,
            weightVersion,
          });
        },
        onEnd: tell,
      },
    );
  }

  /** Spans of an attempt's output; kept, as engines forget theirs. */
  private spansOf(sample: Sample, attempt: number): readonly TokenSpan[] {
    const endpoint = sample.endpoints.get(attempt)!;
    const engine = this.engines.get(endpoint);
    const spans = engine?.spansOf(`${sample.work.id}#${attempt}`) ?? [];
    if (spans.length > 0) sample.spans.set(attempt, spans);
    return sample.spans.get(attempt) ?? [];
  }

  private stop(sample: Sample, attempt: number): void {
    this.spansOf(sample, attempt);
    const endpoint = sample.endpoints.get(attempt)!;
    this.engines.get(endpoint)?.cancel(`${sample.work.id}#${attempt}`);
  }

  private end(sample: Sample, attempt: number, outcome: AttemptOutcome): void {
    const {work, vm} = sample;
    if (outcome.kind === 'finished') sample.spans.set(attempt, outcome.spans);
    if (outcome.kind === 'failed' && outcome.failure === 'crashed') {
      if (sample.poison) this.crashes++;
    }
    this.vms.tell(vm, {kind: 'ended', workId: work.id, attempt, outcome});
  }

  private handOver(sample: Sample, attempt: number): void {
    const {work} = sample;
    const spans = sample.spans.get(attempt) ?? [];
    this.deliveredTokens += spans.reduce((sum, span) => sum + span.tokens, 0);
    if (work.workClass !== 'rollout' || work.tenant === FLOOD_TENANT) return;
    const staleness = measureStaleness(spans, this.version);
    this.staleness.push(staleness);
    if (staleness > this.options.deployment.maxStaleness) this.overBound++;
  }

  private drawServiceMs(): number {
    const {median, sigma} = WORKLOAD.appServiceMs;
    const distribution = {medianTokens: median, sigma};
    return pickOutputTokens(this.random(), distribution);
  }

  private drawSilentFromMs(): number {
    const share = this.options.fault.silentShare ?? 0;
    if (share === 0 || pickRandomBelow(this.random, 1000) >= share * 1000) {
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

/** What the trainers of one seed ask for, for the bound. */
export function createPlans(seed: number): readonly TrainerPlan[] {
  return Array.from({length: WORKLOAD.trainers}, (_, trainer) => ({
    startAtMs: (trainer + 1) * WORKLOAD.staggerMs,
    trainMs: WORKLOAD.trainMs,
    steps: Array.from({length: WORKLOAD.stepsPerTrainer}, (_unused, step) =>
      measureDemand(listSeeds(seed, trainer, step)),
    ),
  }));
}

function measureDemand(seeds: readonly SampleSeed[]): StepDemand {
  const {decodeBaseMs, decodeSlopeMs, prefillMsPerToken} =
    DEFAULT_ENGINE_OPTIONS;
  const lengths = seeds.map(({seed, maxTokens}) =>
    Math.min(maxTokens, pickOutputTokens(seed, WORKLOAD.length)),
  );
  const aloneMsPerToken = decodeBaseMs + decodeSlopeMs;
  return {
    tokens: lengths.reduce((sum, length) => sum + length, 0),
    longestMs:
      Math.max(...lengths) * aloneMsPerToken +
      WORKLOAD.promptTokens * prefillMsPerToken,
  };
}
