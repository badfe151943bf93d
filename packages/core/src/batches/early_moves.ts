/**
 * Chooses the critical runs to move because they are silent, before their engine
 * as a whole counts as silent.
 *
 * The moves of each item are limited per time window. An engine left early gets
 * no critical items for a short pause but does not count as faulty.
 */

import type {Job, Run} from './batch_job.js';
import type {CriticalItems} from './critical_items.js';
import type {EngineHealth, EngineView} from './engine_health.js';
import {LatenessGuard, type RunSilence} from './lateness_guard.js';
import type {Placement} from './placement.js';
import {getSilenceLimitMs, isUsualGap} from './silence_limit.js';

/** Maximum number of early moves of one item within `MOVE_WINDOW_MS`. */
const MAX_MOVES = 3;
const MOVE_WINDOW_MS = 60_000;
/** How long an engine left early gets no critical item, ms. */
const LEFT_PAUSE_MS = 2000;
/** Share of the engines that may be paused for critical items at once. */
const MAX_PAUSED_SHARE = 0.5;
/** Minimum interval between two searches for silent runs, ms. */
const CHECK_INTERVAL_MS = 30;

/** State of one decision. */
export interface DecisionView {
  readonly runs: readonly Run[];
  readonly engines: ReadonlyMap<string, EngineView>;
  readonly placement: Placement;
  readonly critical: CriticalItems;
  readonly nowMs: number;
}

interface Departure {
  readonly engineId: string;
  readonly atMs: number;
}

const NO_DEPARTURES: readonly Departure[] = [];

/** Early moves of one coordinator; all times are steady ms. */
export class EarlyMoves {
  private checkedMs = -Infinity;
  private engineCount = 0;
  private readonly guard = new LatenessGuard();
  private readonly departures = new WeakMap<Job, readonly Departure[]>();
  /** When each engine was last left early, steady ms. */
  private readonly leftMs = new Map<string, number>();

  /** `countRuns` returns the number of runs on an engine. */
  constructor(
    private readonly engineHealth: EngineHealth,
    private readonly countRuns: (engineId: string) => number,
  ) {}

  /**
   * Whether a gap of `gapMs` before an event received now is a sample of the
   * engine's speed. While this VM is late, pauses and bursts are not.
   */
  isInformative(engineId: string, gapMs: number, nowMs: number): boolean {
    if (!this.guard.isLate(nowMs)) return true;
    const runs = this.countRuns(engineId);
    const {speeds} = this.engineHealth;
    return isUsualGap(gapMs, speeds.predictGapMs(engineId, runs, nowMs));
  }

  /** Whether `engineId` was left early just now. */
  wasLeft(engineId: string, nowMs: number): boolean {
    return nowMs - (this.leftMs.get(engineId) ?? -Infinity) < LEFT_PAUSE_MS;
  }

  /**
   * Whether `engineId` gets no critical item because it was left early. Pauses
   * are lifted when they would leave most engines unused.
   */
  isPaused(engineId: string, nowMs: number): boolean {
    const maxPaused = this.engineCount * MAX_PAUSED_SHARE;
    return this.leftMs.size <= maxPaused && this.wasLeft(engineId, nowMs);
  }

  /** Whether `job` left the engine early within the last minute. */
  hasLeft(engineId: string, job: Job, nowMs: number): boolean {
    return this.listDepartures(job, nowMs).some(
      departure => departure.engineId === engineId,
    );
  }

  /**
   * Returns the runs to move now, the one that ends last first. Each has a slot
   * reserved in the placement.
   */
  choose(view: DecisionView): readonly Run[] {
    const {placement, nowMs} = view;
    if (nowMs - this.checkedMs < CHECK_INTERVAL_MS) return [];
    this.checkedMs = nowMs;
    this.engineCount = view.engines.size;
    this.dropPastPauses(nowMs);
    const isSilenceAttributable = this.guard.observe(
      this.listSilences(view),
      nowMs,
    );
    if (!isSilenceAttributable) return [];
    const moved: Run[] = [];
    for (const run of this.listSilent(view)) {
      const target = this.findTarget(run, view);
      if (!target) continue;
      placement.add(target.id, run.job);
      this.recordDeparture(run, nowMs);
      moved.push(run);
    }
    return moved;
  }

  /** Critical runs that are silent and may move, the longest first. */
  private listSilent(view: DecisionView): readonly Run[] {
    const {runs, critical, nowMs} = view;
    return (
      runs
        .filter(run => this.isSilent(run, view))
        // The most expensive filter comes after the one that leaves few runs.
        .filter(({job}) => critical.isCritical(job))
        .filter(({job}) => this.listDepartures(job, nowMs).length < MAX_MOVES)
        .sort((a, b) => critical.predictMs(b.job) - critical.predictMs(a.job))
    );
  }

  private isSilent(run: Run, view: DecisionView): boolean {
    // A load of weights pauses all runs of the engine for about a second.
    if (run.isStopping || isLoading(run, view)) return false;
    return view.nowMs - run.lastEventMs > getLimitMs(run, view);
  }

  /** Returns another healthy engine with a free slot for `run`. */
  private findTarget(
    run: Run,
    {placement, nowMs}: DecisionView,
  ): EngineView | undefined {
    const target = placement.pickEngine(run.job, run.engineId);
    if (!target || placement.slow.has(target.id)) return undefined;
    return this.hasLeft(target.id, run.job, nowMs) ? undefined : target;
  }

  private listSilences(view: DecisionView): readonly RunSilence[] {
    const silences: RunSilence[] = [];
    for (const run of view.runs) {
      if (run.isStopping || run.events === 0 || isLoading(run, view)) continue;
      silences.push({
        engineId: run.engineId,
        silentMs: view.nowMs - run.lastEventMs,
        limitMs: getLimitMs(run, view),
      });
    }
    return silences;
  }

  private dropPastPauses(nowMs: number): void {
    for (const [engineId, atMs] of this.leftMs) {
      if (nowMs - atMs >= LEFT_PAUSE_MS) this.leftMs.delete(engineId);
    }
  }

  private listDepartures(job: Job, nowMs: number): readonly Departure[] {
    const departures = this.departures.get(job);
    if (!departures) return NO_DEPARTURES;
    return departures.filter(({atMs}) => nowMs - atMs < MOVE_WINDOW_MS);
  }

  private recordDeparture({job, engineId}: Run, nowMs: number): void {
    const departures = this.listDepartures(job, nowMs);
    this.departures.set(job, [...departures, {engineId, atMs: nowMs}]);
    this.leftMs.set(engineId, nowMs);
  }
}

function getLimitMs(run: Run, {critical}: DecisionView): number {
  return getSilenceLimitMs(run, critical.predictGapMs(run.engineId));
}

function isLoading({engineId}: Run, {engines}: DecisionView): boolean {
  return (engines.get(engineId)?.loading.size ?? 0) > 0;
}
