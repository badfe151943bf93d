/**
 * Plays steps of several trainers against the scheduler, with engines that only
 * take time. Lengths have a heavy tail and are known only roughly beforehand; a
 * step ends with the longest item of the groups that its trainer needs.
 */

import {
  createRandom,
  drawNormal,
} from '../../fleet/__tests__/speed_fixtures.js';
import type {Run} from '../batch_job.js';
import type {Batch, BatchItem} from '../batch_record.js';
import type {ScheduleAction} from '../schedule_action.js';
import {BatchScheduler} from '../batch_scheduler.js';
import type {BatchState} from '../batch_state.js';
import {Transcript} from '../transcript.js';
import {
  createBatch,
  createEngine,
  createEvent,
  createItem,
  createTerms,
} from './batch_fixtures.js';

export interface StepLoad {
  readonly seed: number;
  readonly isCapacityContended: boolean;
  /** Paces of the engines in turn, ms per event. */
  readonly pacesMs: readonly number[];
  readonly growthPerRun: number;
  /** Share of the time for which a neighbour slows each engine down. */
  readonly neighbourShare: number;
  readonly engines: number;
  readonly untilMs: number;
  /** Engine that dies at a time, with all its runs, if any. */
  readonly death?: {readonly engine: number; readonly atMs: number};
}

export interface StepLoadResult {
  /** Time from the submission of each step to the end of its needed groups. */
  readonly stepsMs: readonly number[];
  /** The same with known lengths, all slots free and engines never slowed. */
  readonly boundsMs: readonly number[];
  readonly stops: ReadonlyMap<string, number>;
}

interface TrainerShape {
  readonly groups: number;
  readonly size: number;
  readonly trainMs: number;
}

const TRAINERS: readonly TrainerShape[] = [
  {groups: 7, size: 16, trainMs: 1000},
  {groups: 5, size: 16, trainMs: 500},
  {groups: 13, size: 8, trainMs: 500},
  {groups: 13, size: 8, trainMs: 1000},
];
const NEEDED_SHARE = 0.9;
const SLOTS = 8;
const TICK_MS = 5;
const DECIDE_MS = 20;
/** Time until a started run is generating, ms. */
const START_MS = 35;
const STEP_EVERY_MS = 4000;
const NEIGHBOUR_MS = 600;
const NEIGHBOUR_SLOWDOWN = 2.5;
const MAX_EVENTS = 145;

function drawLength(random: () => number): number {
  const tail = random() < 0.08 ? 5 : 1;
  const length = 11 * tail * Math.exp(0.9 * drawNormal(random));
  return Math.min(Math.max(Math.round(length), 1), MAX_EVENTS);
}

interface LiveRun {
  readonly run: Run;
  nextMs: number;
}

interface Step {
  readonly batch: Batch;
  readonly trainer: number;
  readonly submittedMs: number;
}

class StepPlay {
  readonly stepsMs: number[] = [];
  readonly boundsMs: number[] = [];
  readonly stops = new Map<string, number>();
  private readonly random: () => number;
  private readonly lengths = new Map<string, number>();
  private readonly live = new Map<string, LiveRun>();
  private readonly open = new Map<string, Step>();
  private readonly nextStepMs = TRAINERS.map((_, i) => i * 700);
  private readonly scheduler: BatchScheduler;
  private readonly slowUntilMs = new Map<string, number>();
  private nextNeighbourMs = 0;
  private stepCount = 0;

  constructor(private readonly load: StepLoad) {
    this.random = createRandom(load.seed);
    this.scheduler = new BatchScheduler({
      tokensPerEvent: 1,
      runPrefix: 'vm',
      isCapacityContended: load.isCapacityContended,
    });
    this.setEngines(undefined);
    if (load.isCapacityContended && load.neighbourShare > 0)
      this.reportShared();
  }

  /** Engines on shared machines report, even while nothing slows them down. */
  private reportShared(): void {
    const {speeds} = this.scheduler.engineHealth;
    for (let i = 0; i < this.load.engines; i++) {
      speeds.reportSlowdown(`e${i}`, 1, 0);
    }
  }

  play(): void {
    for (let nowMs = 0; nowMs < this.load.untilMs; nowMs += TICK_MS) {
      this.changeNeighbours(nowMs);
      this.killEngine(nowMs);
      for (let i = 0; i < TRAINERS.length; i++) this.submit(i, nowMs);
      for (const live of [...this.live.values()]) this.advance(live, nowMs);
      if (nowMs % DECIDE_MS > 0) continue;
      for (const action of this.scheduler.decide(nowMs))
        this.perform(action, nowMs);
      this.finishSteps(nowMs);
    }
  }

  private setEngines(dead: number | undefined): void {
    const ids = Array.from({length: this.load.engines}, (_, i) => i);
    this.scheduler.setEngines(
      ids
        .filter(i => i !== dead)
        .map(i => createEngine(`e${i}`, {slots: SLOTS})),
    );
  }

  private changeNeighbours(nowMs: number): void {
    if (nowMs < this.nextNeighbourMs) return;
    this.nextNeighbourMs = nowMs + NEIGHBOUR_MS;
    // The order of random numbers must not depend on decisions.
    for (let i = 0; i < this.load.engines; i++) {
      const isSlowed =
        hash(this.load.seed, i, nowMs) < this.load.neighbourShare;
      if (isSlowed) this.slowUntilMs.set(`e${i}`, this.nextNeighbourMs);
    }
  }

  private killEngine(nowMs: number): void {
    const {death} = this.load;
    if (!death || nowMs !== death.atMs) return;
    this.setEngines(death.engine);
    for (const {run} of [...this.live.values()]) {
      if (run.engineId !== `e${death.engine}`) continue;
      this.live.delete(run.id);
      this.scheduler.onRunEnd(run, 'broken', nowMs);
    }
  }

  private submit(trainer: number, nowMs: number): void {
    const openSteps = [...this.open.values()].filter(
      step => step.trainer === trainer,
    );
    if (nowMs < this.nextStepMs[trainer] || openSteps.length > 1) return;
    this.nextStepMs[trainer] = Math.max(
      this.nextStepMs[trainer] + STEP_EVERY_MS,
      nowMs,
    );
    const {groups, size} = TRAINERS[trainer];
    const step = this.stepCount++;
    // Lengths belong to the step, whatever was decided before.
    const random = createRandom(
      this.load.seed * 1000 + trainer * 100 + Math.round(step / 4) + 7,
    );
    const items: BatchItem[] = [];
    for (let group = 0; group < groups; group++) {
      for (let i = 0; i < size; i++) {
        const length = drawLength(random);
        const hint = length * Math.exp(0.3 * drawNormal(random));
        const id = `s${step}g${group}i${i}`;
        this.lengths.set(id, length);
        items.push(
          createItem(id, {
            group: `s${step}g${group}`,
            expectedOutputTokens: Math.max(Math.round(hint), 1),
            maxOutputTokens: MAX_EVENTS,
          }),
        );
      }
    }
    const groupsWanted = Math.ceil(groups * NEEDED_SHARE);
    const batch = createBatch(`s${step}`, [], {items, groupsWanted});
    this.scheduler.openBatch(
      createState(batch),
      createTerms({
        dueAtMs: nowMs + 7500,
        giveUpAtMs: Infinity,
      }),
    );
    this.open.set(batch.id, {batch, trainer, submittedMs: nowMs});
    this.boundsMs.push(this.computeBoundMs(batch));
  }

  /** Longest first onto the slot that ends it soonest. */
  private computeBoundMs({items, groupsWanted}: Batch): number {
    const groups = new Map<string, number[]>();
    for (const {id, group} of items) {
      groups.set(group, [...(groups.get(group) ?? []), this.lengths.get(id)!]);
    }
    const needed = [...groups.values()]
      .sort((a, b) => Math.max(...a) - Math.max(...b))
      .slice(0, groupsWanted);
    const slots = Array.from({length: this.load.engines * SLOTS}, (_, i) => ({
      paceMs: this.getPaceMs(i % this.load.engines),
      endMs: 0,
    }));
    for (const length of needed.flat().sort((a, b) => b - a)) {
      const best = slots.reduce((a, b) =>
        b.endMs + b.paceMs * length < a.endMs + a.paceMs * length ? b : a,
      );
      best.endMs += best.paceMs * length;
    }
    return Math.max(...slots.map(({endMs}) => endMs));
  }

  private getPaceMs(engine: number): number {
    const {pacesMs} = this.load;
    return pacesMs[engine % pacesMs.length];
  }

  private drawGapMs(run: Run, nowMs: number): number {
    const {growthPerRun} = this.load;
    const paceMs = this.getPaceMs(Number(run.engineId.slice(1)));
    const runs = this.scheduler.countRuns(run.engineId);
    const isSlowed = nowMs < (this.slowUntilMs.get(run.engineId) ?? 0);
    return (
      paceMs *
      (1 + growthPerRun * (runs - 1)) *
      (isSlowed ? NEIGHBOUR_SLOWDOWN : 1) *
      (1 + 0.02 * drawNormal(this.random))
    );
  }

  private advance(live: LiveRun, nowMs: number): void {
    if (nowMs < live.nextMs) return;
    const {run} = live;
    const {job} = run;
    const id = job.transcript.events.length;
    this.scheduler.onEvent(run, createEvent(id, run.id), live.nextMs);
    live.nextMs += this.drawGapMs(run, nowMs);
    if (id + 1 < this.lengths.get(job.item.id)!) return;
    this.live.delete(run.id);
    this.scheduler.onRunEnd(run, 'finished', nowMs);
  }

  private perform(action: ScheduleAction, nowMs: number): void {
    switch (action.kind) {
      case 'start': {
        const {run} = action;
        const nextMs = nowMs + START_MS + this.drawGapMs(run, nowMs);
        this.live.set(run.id, {run, nextMs});
        return;
      }
      case 'stop': {
        const {run, reason} = action;
        this.stops.set(reason, (this.stops.get(reason) ?? 0) + 1);
        this.live.delete(run.id);
        this.scheduler.onRunEnd(run, 'stopped', nowMs);
        return;
      }
      case 'list':
        return;
    }
  }

  private finishSteps(nowMs: number): void {
    for (const open of [...this.scheduler.openBatches]) {
      const {id, groupsWanted} = open.batch;
      const groups = new Map<string, boolean>();
      for (const job of open.jobs.values()) {
        const isWhole = groups.get(job.item.group) ?? true;
        groups.set(job.item.group, isWhole && job.state === 'finished');
      }
      const whole = [...groups.values()].filter(isWhole => isWhole).length;
      if (whole < groupsWanted) continue;
      const {trainer, submittedMs} = this.open.get(id)!;
      this.stepsMs.push(nowMs - submittedMs);
      this.scheduler.closeBatch(id);
      this.open.delete(id);
      this.nextStepMs[trainer] = Math.max(
        this.nextStepMs[trainer],
        nowMs + TRAINERS[trainer].trainMs,
      );
    }
  }
}

function createState(batch: Batch): BatchState {
  const items = batch.items.map(
    item =>
      [
        item.id,
        {
          item,
          transcript: new Transcript(),
          failedRuns: [],
          failedRewardCalls: [],
          isListed: false,
          result: undefined,
        },
      ] as const,
  );
  return {batch, items: new Map(items), isEnded: false};
}

function hash(seed: number, engine: number, nowMs: number): number {
  const random = createRandom(seed * 7919 + engine * 104729 + nowMs);
  random();
  return random();
}

/** Plays the load and returns what trainers get. */
export function playSteps(load: StepLoad): StepLoadResult {
  const play = new StepPlay(load);
  play.play();
  return play;
}

/** The `share` quantile of `values`. */
export function findQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * share)];
}
