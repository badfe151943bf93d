/**
 * Plays trainers that ask for steps of items with heavy-tailed lengths on a fleet
 * of engines with faults, in virtual time and without a network, and counts what
 * the trainers get. The engines only generate events; all decisions are the
 * scheduler's.
 */

import {
  createRandomBits,
  pickRandomBelow,
  type RandomBits,
} from '../../scheduling/random_bits.js';
import {computeCrowdingFactor} from '../../fleet/speed_tracker.js';
import type {Run} from '../batch_job.js';
import type {BatchItem} from '../batch_record.js';
import {BatchScheduler} from '../batch_scheduler.js';
import type {ScheduleAction} from '../schedule_action.js';
import {
  acceptBatch,
  createBatch,
  createEngine,
  createEvent,
  createItem,
  createTerms,
  FixtureLog,
} from './batch_fixtures.js';

const ENGINES = 34;
const SLOTS = 8;
/** Gap between events of a single run on an average engine, ms. */
const GAP_MS = 47;
const MEDIAN_EVENTS = 20;
const MAX_EVENTS = 145;
const CADENCE_MS = 4000;
const DUE_MS = 7500;
/** Resolution of the play, ms. */
const TICK_MS = 5;
const DECISION_MS = 60;
/** Delay of the decision that follows an end of a run, ms. */
const QUICK_DECISION_MS = 10;
/** Time to connect and to read the prompt and the output so far, ms. */
const START_MS = 15;
const STOP_MS = 5;

/** What happens to an engine, or to this VM. */
export type FaultKind =
  /** Its runs pause. */
  | 'stall'
  /** It accepts runs and generates nothing. */
  | 'silent'
  /** It generates 3.5 times slower. */
  | 'slow'
  /** Its events arrive 600 ms late. */
  | 'late'
  /** It pauses for every other second. */
  | 'flapping';

/** Least duration of a drawn fault, ms; the greatest is twice as long. */
const MIN_FAULT_MS: Readonly<Record<FaultKind, number>> = {
  stall: 1000,
  silent: 5000,
  slow: 2000,
  late: 1000,
  flapping: 4000,
};

export interface Fault {
  readonly kind: FaultKind;
  readonly engine: number;
  readonly fromMs: number;
  readonly toMs: number;
}

export interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

export interface PlayOptions {
  readonly seed: number;
  readonly isCapacityContended?: boolean;
  readonly faults?: readonly Fault[];
  /** Times at which the event loop of this VM stands still. */
  readonly vmPauses?: readonly Span[];
  /** Times at which nothing that engines send arrives. */
  readonly linkCuts?: readonly Span[];
  readonly trainers?: number;
  readonly steps?: number;
  readonly engines?: number;
}

export interface PlayResult {
  /** Times from the request of a step to the end of its needed groups, ms. */
  readonly stepMs: readonly number[];
  /** By trainer: how much later than its cadence the last step was asked for, ms. */
  readonly lagMs: readonly number[];
  readonly stops: ReadonlyMap<string, number>;
  /** Greatest number of early moves of one item. */
  readonly maxMovesPerItem: number;
  /** Number of runs started while another run of their item had not ended. */
  readonly overlaps: number;
  readonly unendedSteps: number;
  /** All actions, as text. */
  readonly actions: readonly string[];
}

interface Shape {
  readonly groups: number;
  readonly itemsPerGroup: number;
  readonly groupsWanted: number;
  readonly trainingMs: number;
}

const SHAPES: readonly Shape[] = [
  {groups: 7, itemsPerGroup: 16, groupsWanted: 7, trainingMs: 1000},
  {groups: 5, itemsPerGroup: 16, groupsWanted: 5, trainingMs: 500},
  {groups: 13, itemsPerGroup: 8, groupsWanted: 12, trainingMs: 500},
  {groups: 13, itemsPerGroup: 8, groupsWanted: 12, trainingMs: 1000},
];

interface Step {
  readonly id: string;
  readonly trainer: Trainer;
  readonly askedMs: number;
  /** Unfinished items by group. */
  readonly left: Map<string, number>;
  endedMs: number | undefined;
}

interface Trainer {
  readonly index: number;
  readonly shape: Shape;
  readonly steps: Step[];
}

interface Generation {
  readonly run: Run;
  readonly total: number;
  nextId: number;
  nextMs: number;
  endMs: number | undefined;
}

/** Returns a number that is normally distributed. */
function pickNormal(random: RandomBits): number {
  let sum = 0;
  for (let i = 0; i < 12; i++) sum += random() / 2 ** 32;
  return sum - 6;
}

class StepPlay {
  private readonly random: RandomBits;
  private readonly scheduler: BatchScheduler;
  private readonly natures: readonly number[];
  private readonly trainers: readonly Trainer[];
  private readonly generations = new Map<string, Generation>();
  private readonly lengths = new Map<string, number>();
  private readonly steps = new Map<string, Step>();
  private readonly stops = new Map<string, number>();
  private readonly movesPerItem = new Map<string, number>();
  private readonly actions: string[] = [];
  private nowMs = 0;
  private decideMs = 0;
  private overlaps = 0;

  constructor(private readonly options: PlayOptions) {
    const {seed, isCapacityContended = false, engines = ENGINES} = options;
    this.random = createRandomBits(seed);
    const cfg = {tokensPerEvent: 1, runPrefix: 'vm', isCapacityContended};
    this.scheduler = new BatchScheduler(cfg);
    const indices = Array.from({length: engines}, (_, i) => i);
    this.natures = indices.map(
      () => 0.9 + pickRandomBelow(this.random, 250) / 1000,
    );
    this.scheduler.setEngines(
      indices.map(i => createEngine(`e${i}`, {slots: SLOTS})),
    );
    const count = options.trainers ?? SHAPES.length;
    this.trainers = Array.from({length: count}, (_, index) => ({
      index,
      shape: SHAPES[index % SHAPES.length],
      steps: [],
    }));
  }

  run(): PlayResult {
    const endMs = ((this.options.steps ?? 11) + 8) * CADENCE_MS * 2;
    for (; this.nowMs < endMs && !this.isOver(); this.nowMs += TICK_MS) {
      this.askSteps();
      if (isWithin(this.options.vmPauses, this.nowMs)) continue;
      // Timers fire before what arrived meanwhile is read.
      if (this.nowMs >= this.decideMs) this.decide();
      this.generate();
    }
    return this.summarize();
  }

  private isOver(): boolean {
    const wanted = this.options.steps ?? 11;
    return this.trainers.every(
      ({steps}) =>
        steps.length >= wanted &&
        steps.every(({endedMs}) => endedMs !== undefined),
    );
  }

  private askSteps(): void {
    for (const trainer of this.trainers) {
      const {steps, index, shape} = trainer;
      if (steps.length >= (this.options.steps ?? 11)) continue;
      const dueMs = index * 900 + steps.length * CADENCE_MS;
      const previous = steps.at(-2);
      const freeMs = previous
        ? (previous.endedMs ?? Infinity) + shape.trainingMs
        : 0;
      if (this.nowMs < Math.max(dueMs, freeMs)) continue;
      this.ask(trainer);
    }
  }

  private ask(trainer: Trainer): void {
    const {shape, index, steps} = trainer;
    const id = `b${index}-${steps.length}`;
    const items: BatchItem[] = [];
    const left = new Map<string, number>();
    for (let g = 0; g < shape.groups; g++) {
      const group = `${id}g${g}`;
      left.set(group, shape.itemsPerGroup);
      for (let i = 0; i < shape.itemsPerGroup; i++) {
        items.push(this.createItem(`${group}i${i}`, group));
      }
    }
    const {groupsWanted} = shape;
    const batch = createBatch(id, [], {items, groupsWanted});
    const log = new FixtureLog([batch]);
    log.apply(acceptBatch(batch));
    const terms = createTerms({
      dueAtMs: this.nowMs + DUE_MS,
      giveUpAtMs: this.nowMs + 120_000,
    });
    this.scheduler.openBatch(log.get(id), terms);
    const step = {id, trainer, askedMs: this.nowMs, left, endedMs: undefined};
    steps.push(step);
    this.steps.set(id, step);
  }

  private createItem(id: string, group: string): BatchItem {
    const events = MEDIAN_EVENTS * Math.exp(0.8 * pickNormal(this.random));
    const length = Math.round(Math.min(Math.max(events, 3), MAX_EVENTS));
    const estimate = length * Math.exp(0.35 * pickNormal(this.random));
    this.lengths.set(id, length);
    return createItem(id, {
      group,
      maxOutputTokens: MAX_EVENTS,
      expectedOutputTokens: Math.max(Math.round(estimate), 1),
    });
  }

  private decide(): void {
    this.decideMs = this.nowMs + DECISION_MS;
    for (const action of this.scheduler.decide(this.nowMs)) {
      this.perform(action);
    }
  }

  private perform(action: ScheduleAction): void {
    this.actions.push(describeAction(action, this.nowMs));
    switch (action.kind) {
      case 'start':
        this.start(action.run);
        return;
      case 'stop':
        this.stop(action.run, action.reason);
        return;
      case 'list':
        this.list(action.batchId, action.result.itemId);
    }
  }

  private start(run: Run): void {
    const {job, engineId} = run;
    for (const other of this.generations.values()) {
      if (other.run.job === job) this.overlaps += 1;
    }
    this.generations.set(run.id, {
      run,
      total: this.lengths.get(job.item.id)!,
      nextId: (job.transcript.lastEventId ?? -1) + 1,
      nextMs: this.nowMs + START_MS + this.pickGapMs(engineId),
      endMs: undefined,
    });
  }

  private stop(run: Run, reason: string): void {
    this.stops.set(reason, (this.stops.get(reason) ?? 0) + 1);
    if (reason === 'run_stalled_early') {
      const {id} = run.job.item;
      this.movesPerItem.set(id, (this.movesPerItem.get(id) ?? 0) + 1);
    }
    const generation = this.generations.get(run.id);
    if (generation) generation.endMs = this.nowMs + STOP_MS;
  }

  private list(batchId: string, itemId: string): void {
    const listed = {itemId, state: 'done', versions: [1], text: []} as const;
    this.scheduler.onResultListed(batchId, {...listed, writer: 'vm'});
    const step = this.steps.get(batchId)!;
    const group = itemId.slice(0, itemId.lastIndexOf('i'));
    step.left.set(group, step.left.get(group)! - 1);
    const complete = [...step.left.values()].filter(left => left === 0).length;
    if (complete < step.trainer.shape.groupsWanted) return;
    if (step.endedMs !== undefined) return;
    step.endedMs = this.nowMs;
    this.scheduler.closeBatch(batchId);
  }

  private generate(): void {
    for (const generation of this.generations.values()) {
      if (generation.endMs !== undefined && this.nowMs >= generation.endMs) {
        this.end(generation, 'stopped');
        continue;
      }
      this.deliver(generation);
    }
  }

  /** Delivers the events of one run that are due. */
  private deliver(generation: Generation): void {
    const {run, total} = generation;
    if (isWithin(this.options.linkCuts, this.nowMs)) return;
    while (this.nowMs >= generation.nextMs) {
      const resumeMs = this.findResumeMs(run.engineId, generation.nextMs);
      if (resumeMs > generation.nextMs) {
        generation.nextMs = resumeMs;
        continue;
      }
      const event = createEvent(generation.nextId, run.id);
      this.scheduler.onEvent(run, event, this.nowMs);
      generation.nextId += 1;
      generation.nextMs += this.pickGapMs(run.engineId);
      if (generation.nextId < total) continue;
      this.end(generation, run.isStopping ? 'stopped' : 'finished');
      return;
    }
  }

  private end({run}: Generation, end: 'stopped' | 'finished'): void {
    this.generations.delete(run.id);
    this.scheduler.onRunEnd(run, end, this.nowMs);
    this.decideMs = Math.min(this.decideMs, this.nowMs + QUICK_DECISION_MS);
  }

  /** When an event of an engine that is due at `atMs` can be sent. */
  private findResumeMs(engineId: string, atMs: number): number {
    for (const fault of this.options.faults ?? []) {
      if (`e${fault.engine}` !== engineId) continue;
      if (atMs < fault.fromMs || atMs >= fault.toMs) continue;
      const sinceMs = atMs - fault.fromMs;
      switch (fault.kind) {
        case 'stall':
        case 'silent':
          return fault.toMs;
        case 'flapping':
          if (Math.floor(sinceMs / 1000) % 2 === 0)
            return atMs - (sinceMs % 1000) + 1000;
          break;
        case 'late':
          if (sinceMs < 600) return fault.fromMs + 600;
          break;
        case 'slow':
          break;
      }
    }
    return atMs;
  }

  private pickGapMs(engineId: string): number {
    const nature = this.natures[Number(engineId.slice(1))];
    const runs = Math.max(this.scheduler.countRuns(engineId), 1);
    const isSlow = (this.options.faults ?? []).some(
      fault =>
        fault.kind === 'slow' &&
        `e${fault.engine}` === engineId &&
        this.nowMs >= fault.fromMs &&
        this.nowMs < fault.toMs,
    );
    const noise = 0.95 + pickRandomBelow(this.random, 100) / 1000;
    const factor = nature * noise * (isSlow ? 3.5 : 1);
    return GAP_MS * factor * computeCrowdingFactor(runs);
  }

  private summarize(): PlayResult {
    const stepMs = [...this.steps.values()].map(
      ({askedMs, endedMs}) => (endedMs ?? this.nowMs) - askedMs,
    );
    const lagMs = this.trainers.map(({index, steps}) => {
      const dueMs = index * 900 + (steps.length - 1) * CADENCE_MS;
      return steps.at(-1)!.askedMs - dueMs;
    });
    return {
      stepMs,
      lagMs,
      stops: this.stops,
      maxMovesPerItem: Math.max(0, ...this.movesPerItem.values()),
      overlaps: this.overlaps,
      unendedSteps: [...this.steps.values()].filter(
        ({endedMs}) => endedMs === undefined,
      ).length,
      actions: this.actions,
    };
  }
}

function isWithin(spans: readonly Span[] = [], nowMs: number): boolean {
  return spans.some(({fromMs, toMs}) => nowMs >= fromMs && nowMs < toMs);
}

function describeAction(action: ScheduleAction, nowMs: number): string {
  if (action.kind === 'confirm_config') return `${nowMs} ${action.kind}`;
  if (action.kind === 'list') return `${nowMs} list ${action.result.itemId}`;
  const {run, kind, reason} = action;
  return `${nowMs} ${kind} ${run.id} ${run.job.item.id} ${run.engineId} ${reason}`;
}

export function playSteps(options: PlayOptions): PlayResult {
  return new StepPlay(options).run();
}

/** Draws one fault about every `everyMs`. */
export function drawFaults(
  seed: number,
  kinds: readonly FaultKind[],
  everyMs: number,
): readonly Fault[] {
  const random = createRandomBits(seed);
  const faults: Fault[] = [];
  for (let atMs = 2000; atMs < 60_000; atMs += everyMs) {
    const fromMs = atMs + pickRandomBelow(random, everyMs);
    const kind = kinds[pickRandomBelow(random, kinds.length)];
    const engine = pickRandomBelow(random, ENGINES);
    const spreadMs = pickRandomBelow(random, MIN_FAULT_MS[kind]);
    const toMs = fromMs + MIN_FAULT_MS[kind] + spreadMs;
    faults.push({kind, engine, fromMs, toMs});
  }
  return faults;
}

/** Returns the value that `percent` of `values` do not exceed. */
export function findPercentile(
  values: readonly number[],
  percent: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil((sorted.length * percent) / 100) - 1;
  return sorted[Math.max(index, 0)];
}
