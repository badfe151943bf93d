/**
 * A small model of a fleet whose engines several trainers share, for tests of
 * the order of items, of loads and of versions. Trainers open their steps at the
 * same time; lengths have a heavy tail, and hints are right at the median only.
 * Time advances in fixed steps and random numbers have a fixed seed.
 */

import {EngineReadiness} from '../../fleet/engine_readiness.js';
import {LoadLimiter} from '../../fleet/load_limiter.js';
import {LoadTimeTracker} from '../../fleet/load_time_tracker.js';
import type {SpeedModel} from '../../fleet/speed_model.js';
import {computeCrowdingFactor} from '../../fleet/speed_tracker.js';
import {
  computeShare,
  type LoadCandidate,
  type ModelPlan,
  pickLoads,
  planLoads,
  rankModels,
} from '../../fleet/weight_plan.js';
import type {Batch, BatchItem, ItemResult} from '../batch_record.js';
import type {Run} from '../batch_job.js';
import {BatchScheduler} from '../batch_scheduler.js';
import type {EngineView} from '../engine_health.js';
import {
  acceptBatch,
  createItem,
  createTerms,
  FixtureLog,
  SERVICE,
} from './batch_fixtures.js';

export interface TrainerSpec {
  readonly model: string;
  readonly account: string;
  readonly groups: number;
  readonly itemsPerGroup: number;
  readonly trainMs: number;
  readonly priority?: number;
}

export interface ModelOptions {
  readonly isCapacityContended: boolean;
  readonly seed: number;
  readonly trainers?: readonly TrainerSpec[];
  readonly engines?: number;
  readonly steps?: number;
  /** Factor on the time of all loads. */
  readonly loadFactor?: number;
  /** Half of the engines leave at this time and do not return. */
  readonly reclaimedAtMs?: number;
}

export interface TrainerOutcome {
  readonly account: string;
  /** Time from asking for each step to the end of its needed groups, ms. */
  readonly tookMs: readonly number[];
  /** How much later than planned the last step was asked for. */
  readonly lagMs: number;
}

export interface ModelOutcome {
  readonly trainers: readonly TrainerOutcome[];
  readonly refused: number;
  /** Time from the opening of a step to the start of each item, ms. */
  readonly startMs: readonly number[];
  /** Engines that may serve each step when it opens, without the first steps. */
  readonly enginesAtOpen: readonly number[];
  readonly stopped: Readonly<Record<string, number>>;
  readonly isWhole: boolean;
}

const TICK_MS = 5;
const DECIDE_MS = 20;
const TRAINER_MS = 20;
const PLAN_MS = 60;
const CADENCE_MS = 4000;
const DUE_MS = 7500;
const SLOTS = 8;
const LOAD_MS = 900;
const MAX_AT_ONCE = 9;
const ORDER_MS = 40;
const POLL_MS = 150;
const REPORT_LAG_MS = 100;
/** Delay of reports that the coordinator allows for, ms. */
const ASSUMED_LAG_MS = 300;
const REFUSAL_MS = 5;
const PACE_MS = 46;
const MAX_EVENTS = 145;
const MEDIAN_EVENTS = 15;
/** Time until a trainer notices that its step is done, ms. */
const NOTICE_MS = 400;
const NEEDED_SHARE = 0.9;
const MAX_LENGTH_MS = 120_000;

export const FOUR_TRAINERS: readonly TrainerSpec[] = [
  createTrainer('a', 7, 16, 1000),
  createTrainer('b', 5, 16, 500),
  createTrainer('c', 13, 8, 500),
  createTrainer('d', 13, 8, 1000),
];

function createTrainer(
  account: string,
  groups: number,
  itemsPerGroup: number,
  trainMs: number,
): TrainerSpec {
  return {model: `m-${account}`, account, groups, itemsPerGroup, trainMs};
}

interface Load {
  readonly model: string;
  readonly version: number;
  readonly startedMs: number;
  readonly endsMs: number;
  expectedMs: number;
  isAssumed: boolean;
  nextPollMs: number;
  lastRunningMs: number | undefined;
}

interface EngineRun {
  readonly run: Run;
  readonly startedMs: number;
  nextEventMs: number;
}

interface Engine {
  readonly id: string;
  readonly paceMs: number;
  readonly versions: Map<string, number>;
  /** Versions as the scheduler knows them. */
  readonly knownVersions: Map<string, number>;
  readonly runs: Set<EngineRun>;
  load: Load | undefined;
}

interface OpenStep {
  readonly step: number;
  readonly batch: Batch;
  readonly askedMs: number;
  readonly openMs: number;
  isOpened: boolean;
}

interface Trainer {
  readonly spec: TrainerSpec;
  readonly offsetMs: number;
  readonly askedMs: number[];
  readonly doneMs: number[];
  readonly open: OpenStep[];
}

/** Returns a generator of numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

function createNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

function hashText(text: string): number {
  let hash = 0;
  for (const char of text) hash = Math.imul(hash, 31) + char.charCodeAt(0);
  return hash;
}

export class StepLoadModel {
  private readonly random: () => number;
  private readonly scheduler: BatchScheduler;
  private readonly readiness: EngineReadiness;
  private readonly speeds: SpeedModel;
  private readonly times = new LoadTimeTracker();
  private readonly limiter = new LoadLimiter();
  private readonly engines = new Map<string, Engine>();
  private readonly trainers: readonly Trainer[];
  private readonly newest = new Map<string, number>();
  private readonly lengths = new Map<string, number>();
  private readonly batches: Batch[] = [];
  private readonly log = new FixtureLog(this.batches);
  private readonly liveRuns = new Map<Run, {engine: Engine; live: EngineRun}>();
  private readonly finishing: Array<{run: Run; atMs: number}> = [];
  private readonly stopped: Record<string, number> = {};
  private readonly startMs: number[] = [];
  private readonly enginesAtOpen: number[] = [];
  private refused = 0;
  private nowMs = 0;

  constructor(private readonly options: ModelOptions) {
    const {seed, isCapacityContended, trainers = FOUR_TRAINERS} = options;
    this.random = createRandom(seed);
    this.scheduler = new BatchScheduler({
      tokensPerEvent: 1,
      runPrefix: 'vm',
      isCapacityContended,
    });
    this.readiness = this.scheduler.engineHealth.readiness;
    this.speeds = this.scheduler.engineHealth.speeds;
    for (let i = 0; i < (options.engines ?? 34); i++) this.addEngine(`e${i}`);
    this.trainers = trainers.map(spec => ({
      spec,
      offsetMs: Math.floor(this.random() * 50),
      askedMs: [],
      doneMs: [],
      open: [],
    }));
  }

  /** Plays all steps and returns what trainers got. */
  run(onTick: (model: StepLoadModel) => void = () => undefined): ModelOutcome {
    for (; !this.isDone() && this.nowMs < MAX_LENGTH_MS;) {
      this.nowMs += TICK_MS;
      this.playFaults();
      if (this.nowMs % TRAINER_MS === 0) this.playTrainers();
      this.playEngines();
      this.playLoads();
      if (this.nowMs % PLAN_MS < TICK_MS) this.startLoads();
      if (this.nowMs % DECIDE_MS === 0) this.decide();
      onTick(this);
    }
    return {
      trainers: this.trainers.map(trainer => this.describeTrainer(trainer)),
      refused: this.refused,
      startMs: this.startMs,
      enginesAtOpen: this.enginesAtOpen,
      stopped: this.stopped,
      isWhole: this.isDone(),
    };
  }

  private get steps(): number {
    return this.options.steps ?? 11;
  }

  private isDone(): boolean {
    return this.trainers.every(({doneMs}) => {
      const done = doneMs.filter(ms => ms !== undefined).length;
      return done >= this.steps;
    });
  }

  private describeTrainer(trainer: Trainer): TrainerOutcome {
    const {spec, askedMs, doneMs} = trainer;
    const last = askedMs.length - 1;
    return {
      account: spec.account,
      tookMs: doneMs.map((ms, step) => ms - askedMs[step]),
      lagMs: askedMs[last] - this.planMs(trainer, last),
    };
  }

  private planMs({offsetMs}: Trainer, step: number): number {
    return 100 + offsetMs + step * CADENCE_MS;
  }

  private addEngine(id: string): void {
    const models = (this.options.trainers ?? FOUR_TRAINERS).map(
      ({model}) => [model, 0] as const,
    );
    this.engines.set(id, {
      id,
      paceMs: PACE_MS * (0.95 + 0.1 * this.random()),
      versions: new Map(models),
      knownVersions: new Map(models),
      runs: new Set(),
      load: undefined,
    });
  }

  private playFaults(): void {
    const {reclaimedAtMs} = this.options;
    if (reclaimedAtMs === undefined || this.nowMs < reclaimedAtMs) return;
    if (this.nowMs - reclaimedAtMs >= TICK_MS) return;
    const ids = [...this.engines.keys()].filter((_, i) => i % 2 === 0);
    for (const id of ids) {
      for (const {run} of this.engines.get(id)!.runs) {
        this.liveRuns.delete(run);
        this.scheduler.onRunEnd(run, 'broken', this.nowMs);
      }
      this.engines.delete(id);
    }
  }

  private playTrainers(): void {
    for (const trainer of this.trainers) {
      this.askIfDue(trainer);
      for (const step of trainer.open) {
        if (step.isOpened || this.nowMs < step.openMs) continue;
        step.isOpened = true;
        this.openStep(trainer, step);
      }
      this.endSteps(trainer);
    }
  }

  /** A step is asked for at its time, once the one before the last was used. */
  private askIfDue(trainer: Trainer): void {
    const {spec, askedMs, doneMs} = trainer;
    const step = askedMs.length;
    if (step >= this.steps || this.nowMs < this.planMs(trainer, step)) return;
    if (step >= 2) {
      const trainedMs = doneMs[step - 2] + NOTICE_MS + spec.trainMs;
      if (!(this.nowMs >= trainedMs)) return;
    }
    askedMs.push(this.nowMs);
    this.newest.set(spec.model, step + 1);
    const batch = this.createStep(spec, step);
    const openMs = this.nowMs + 20;
    trainer.open.push({
      step,
      batch,
      askedMs: this.nowMs,
      openMs,
      isOpened: false,
    });
  }

  private createStep(spec: TrainerSpec, step: number): Batch {
    const id = `${spec.account}-${step}`;
    // The same items whatever happened before, so that ways can be compared.
    const random = createRandom(this.options.seed + hashText(id));
    const items: BatchItem[] = [];
    for (let group = 0; group < spec.groups; group++) {
      for (let i = 0; i < spec.itemsPerGroup; i++) {
        const itemId = `${id}-${group}-${i}`;
        items.push(this.createItem(itemId, `${id}-${group}`, random));
      }
    }
    return {
      id,
      host: 'h',
      path: '/r/x',
      account: spec.account,
      step,
      model: spec.model,
      minVersion: step,
      groupsWanted: Math.ceil(spec.groups * NEEDED_SHARE),
      items,
      submittedAtMs: this.nowMs,
    };
  }

  private createItem(
    id: string,
    group: string,
    random: () => number,
  ): BatchItem {
    const hint = MEDIAN_EVENTS * Math.exp(0.65 * createNormal(random));
    const length = hint * Math.exp(0.65 * createNormal(random));
    this.lengths.set(id, Math.round(Math.min(Math.max(length, 2), MAX_EVENTS)));
    return createItem(id, {
      group,
      promptTokens: 100,
      maxOutputTokens: MAX_EVENTS,
      expectedOutputTokens: Math.round(Math.min(hint, MAX_EVENTS)),
    });
  }

  private openStep({spec}: Trainer, {batch, askedMs}: OpenStep): void {
    const serving = [...this.engines.values()].filter(
      ({versions}) => versions.get(batch.model)! >= batch.minVersion,
    );
    if (batch.step > 0) this.enginesAtOpen.push(serving.length);
    this.batches.push(batch);
    this.log.apply(acceptBatch(batch));
    const terms = createTerms({
      minVersion: batch.minVersion,
      dueAtMs: askedMs + DUE_MS,
      giveUpAtMs: askedMs + 40_000,
      ...(spec.priority === undefined ? {} : {priority: spec.priority}),
    });
    this.scheduler.openBatch(this.log.get(batch.id), terms);
  }

  private endSteps(trainer: Trainer): void {
    for (const step of [...trainer.open]) {
      if (!step.isOpened || !this.isSatisfied(step.batch)) continue;
      trainer.doneMs[step.step] = this.nowMs;
      trainer.open.splice(trainer.open.indexOf(step), 1);
      this.scheduler.closeBatch(step.batch.id);
    }
  }

  private isSatisfied({id, groupsWanted, items}: Batch): boolean {
    const indexed = this.log.index.get(id)!;
    if (indexed.results.length < items.length / 2) return false;
    const listed = new Set(indexed.results.map(({itemId}) => itemId));
    const groups = new Set(items.map(({group}) => group));
    for (const {id: itemId, group} of items) {
      if (!listed.has(itemId)) groups.delete(group);
    }
    return groups.size >= groupsWanted;
  }

  private playEngines(): void {
    for (const {run, atMs} of this.finishing.splice(0)) {
      if (this.nowMs < atMs) this.finishing.push({run, atMs});
      else this.scheduler.onRunEnd(run, 'refused', this.nowMs);
    }
    for (const engine of this.engines.values()) {
      for (const live of [...engine.runs]) this.playRun(engine, live);
    }
  }

  private playRun(engine: Engine, live: EngineRun): void {
    const {run} = live;
    const {model} = run.job.batch.batch;
    if (this.nowMs < live.nextEventMs) return;
    if (this.isLoading(engine, model)) return;
    const id = run.job.transcript.events.length;
    const version = engine.versions.get(model)!;
    const event = {id, run: run.id, version, data: 'x'};
    engine.knownVersions.set(model, version);
    if (!this.scheduler.onEvent(run, event, this.nowMs)) {
      return this.endRun(run, 'broken');
    }
    const gapMs = engine.paceMs * computeCrowdingFactor(engine.runs.size);
    live.nextEventMs += Math.max(gapMs, this.nowMs - live.nextEventMs);
    const {length} = run.job.transcript.events;
    if (length >= this.lengths.get(run.job.item.id)!) {
      this.endRun(run, 'finished');
    }
  }

  private isLoading({load}: Engine, model: string): boolean {
    return (
      load?.model === model &&
      this.nowMs >= load.startedMs &&
      this.nowMs < load.endsMs
    );
  }

  private endRun(run: Run, end: 'finished' | 'broken' | 'stopped'): void {
    const entry = this.liveRuns.get(run);
    if (entry) entry.engine.runs.delete(entry.live);
    this.liveRuns.delete(run);
    this.scheduler.onRunEnd(run, end, this.nowMs);
  }

  private decide(): void {
    this.scheduler.setEngines(this.describeEngines());
    for (const action of this.scheduler.decide(this.nowMs)) {
      switch (action.kind) {
        case 'start':
          this.startRun(action.run);
          break;
        case 'stop':
          this.stopped[action.reason] = (this.stopped[action.reason] ?? 0) + 1;
          this.endRun(action.run, 'stopped');
          break;
        case 'list':
          this.list(action.batchId, action.result);
      }
    }
  }

  private list(batchId: string, {itemId, state, versions}: ItemResult): void {
    const listed = {itemId, state, versions, text: [], writer: 'vm'};
    this.log.apply({kind: 'result', batchId, listed});
    this.scheduler.onResultListed(batchId, listed);
  }

  private startRun(run: Run): void {
    const engine = this.engines.get(run.engineId);
    const {model} = run.job.batch.batch;
    if (!engine) {
      this.scheduler.onRunEnd(run, 'unreachable', this.nowMs);
      return;
    }
    if (this.isLoading(engine, model)) {
      this.refused += 1;
      this.finishing.push({run, atMs: this.nowMs + REFUSAL_MS});
      if (engine.load) engine.load.lastRunningMs = this.nowMs;
      return;
    }
    if (run.job.transcript.events.length === 0) {
      this.startMs.push(this.nowMs - run.job.batch.batch.submittedAtMs);
    }
    const runs = engine.runs.size + 1;
    const gapMs = engine.paceMs * computeCrowdingFactor(runs);
    const live: EngineRun = {
      run,
      startedMs: this.nowMs,
      nextEventMs: this.nowMs + 5 + gapMs,
    };
    engine.runs.add(live);
    this.liveRuns.set(run, {engine, live});
  }

  private describeEngines(): readonly EngineView[] {
    return [...this.engines.values()].map(({id, knownVersions, load}) => ({
      id,
      service: SERVICE,
      slots: SLOTS,
      kvTokens: 100_000,
      versions: knownVersions,
      loading: new Set(load && !load.isAssumed ? [load.model] : []),
    }));
  }

  private startLoads(): void {
    const loading = [...this.engines.values()].filter(({load}) => load);
    const maxAtOnce = Math.min(
      MAX_AT_ONCE,
      Math.max(2, Math.floor(this.engines.size * 0.29)),
    );
    const maxMore = maxAtOnce - loading.length;
    if (maxMore <= 0) return;
    const plans = this.trainers.flatMap(({spec}) => this.planModel(spec.model));
    if (this.options.isCapacityContended) {
      for (const {engineId, plan} of planLoads(plans, maxMore)) {
        this.startLoad(engineId, plan);
      }
      return;
    }
    let started = 0;
    for (const plan of rankModels(plans)) {
      const candidates = plan.candidates.map(candidate => ({
        ...candidate,
        isBusy: this.engines.get(candidate.id)!.load !== undefined,
      }));
      for (const id of pickLoads(candidates, plan.need, maxMore - started)) {
        this.startLoad(id, plan);
        started += 1;
      }
    }
  }

  private planModel(model: string): readonly ModelPlan[] {
    const newest = this.newest.get(model);
    if (newest === undefined) return [];
    const {size} = this.engines;
    const need = {
      newest,
      share: computeShare(size, this.trainers.length, 2),
      isCapacityContended: this.options.isCapacityContended,
      ...this.scheduler.measureNeed(model),
    };
    const candidates = [...this.engines.values()].map(engine =>
      this.describeCandidate(engine, model),
    );
    return [{model, candidates, need}];
  }

  private describeCandidate(engine: Engine, model: string): LoadCandidate {
    const {id, load, knownVersions} = engine;
    const running = this.scheduler.countRuns(id);
    const others = this.trainers.filter(({spec}) => {
      if (spec.model === model) return false;
      const newest = this.newest.get(spec.model) ?? Infinity;
      return knownVersions.get(spec.model)! >= newest;
    }).length;
    return {
      id,
      version: knownVersions.get(model)!,
      loadingVersion: load?.model === model ? load.version : undefined,
      isBusy: load !== undefined,
      isHealthy: true,
      running: this.scheduler.countRuns(id, model),
      free: Math.max(SLOTS - running, 0),
      gapMs: this.speeds.predictGapMs(id, running + 1 + others * 8, this.nowMs),
    };
  }

  private startLoad(engineId: string, {model, need}: ModelPlan): void {
    const engine = this.engines.get(engineId)!;
    const {isCapacityContended, loadFactor = 1} = this.options;
    const {expectedMs} = isCapacityContended ? this.times : this.limiter;
    const startedMs = this.nowMs + ORDER_MS;
    const tookMs = LOAD_MS * loadFactor * (1 + 0.03 * this.random());
    engine.load = {
      model,
      version: need.newest,
      startedMs,
      endsMs: startedMs + tookMs,
      expectedMs: startedMs + expectedMs,
      isAssumed: false,
      nextPollMs: startedMs + expectedMs + POLL_MS,
      lastRunningMs: undefined,
    };
  }

  private playLoads(): void {
    for (const engine of this.engines.values()) {
      const {load} = engine;
      if (!load) continue;
      if (this.nowMs >= load.endsMs) {
        engine.versions.set(load.model, load.version);
      }
      if (this.nowMs < load.expectedMs) continue;
      if (!load.isAssumed) this.assumeLoaded(engine, load);
      this.watchLoad(engine, load);
    }
  }

  private assumeLoaded(engine: Engine, load: Load): void {
    load.isAssumed = true;
    engine.knownVersions.set(load.model, load.version);
    if (!this.options.isCapacityContended) return;
    this.readiness.startProbe(engine.id, load.model, load.version);
  }

  private watchLoad(engine: Engine, load: Load): void {
    const {id} = engine;
    const {startedMs, expectedMs, lastRunningMs, model} = load;
    const proof = this.readiness.findProof(id, model, this.nowMs);
    if (!proof) {
      if (this.nowMs < load.nextPollMs) return;
      load.nextPollMs += POLL_MS;
      if (this.nowMs < load.endsMs + REPORT_LAG_MS) {
        const runningMs = this.nowMs - ASSUMED_LAG_MS;
        if (runningMs >= expectedMs) load.lastRunningMs = runningMs;
        return;
      }
      const endedMs = this.nowMs - 250;
      this.limiter.recordLoad({startedMs, endedMs}, MAX_AT_ONCE, false);
    }
    if (proof || lastRunningMs !== undefined) {
      const knownOverMs = proof?.sentMs ?? this.nowMs;
      this.times.record({startedMs, expectedMs, lastRunningMs, knownOverMs});
    }
    this.readiness.endProbe(id, model);
    engine.load = undefined;
  }
}

/** Returns the value below which `share` of `values` lie. */
export function findQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(Math.floor(sorted.length * share), sorted.length - 1)];
}

export interface ModelSummary {
  readonly p50Ms: number;
  readonly p90Ms: number;
  /** Longest mean time of a step among the trainers. */
  readonly worstMeanMs: number;
  /** Shortest mean time of a step among the trainers. */
  readonly bestMeanMs: number;
  readonly worstLagMs: number;
  readonly sumLagMs: number;
  readonly refused: number;
  readonly stops: number;
  /** Quantile of the time until items start. */
  readonly startP90Ms: number;
  readonly minEnginesAtOpen: number;
}

export function summarize({
  trainers,
  refused,
  stopped,
  startMs,
  enginesAtOpen,
}: ModelOutcome): ModelSummary {
  const all = trainers.flatMap(({tookMs}) => tookMs);
  const means = trainers.map(
    ({tookMs}) => tookMs.reduce((sum, ms) => sum + ms, 0) / tookMs.length,
  );
  const lags = trainers.map(({lagMs}) => lagMs);
  return {
    p50Ms: findQuantile(all, 0.5),
    p90Ms: findQuantile(all, 0.9),
    worstMeanMs: Math.round(Math.max(...means)),
    bestMeanMs: Math.round(Math.min(...means)),
    worstLagMs: Math.max(...lags),
    sumLagMs: lags.reduce((sum, ms) => sum + ms, 0),
    refused,
    startP90Ms: findQuantile(startMs, 0.9),
    minEnginesAtOpen: Math.min(...enginesAtOpen),
    stops: Object.values(stopped).reduce((sum, count) => sum + count, 0),
  };
}
