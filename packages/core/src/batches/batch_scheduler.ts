/**
 * Decides which batch item runs on which engine. An item can be stopped and
 * resumed on another engine after its last event, which costs a few ms to read
 * the output so far. The scheduler therefore moves runs freely: off slow, silent
 * and leaving engines, and to make room for groups that a trainer waits for.
 *
 * Several trainers share the engines and submit a step about every four seconds
 * each. Output lengths vary by a factor of ten, and a step takes as long as the
 * longest item of the groups that its trainer needs.
 */

import {findBatchPauseMs} from '../crashes/batch_work.js';
import {addAttempt} from './attempt_ids.js';
import {
  ASSUMED_GAP_MS,
  createJob,
  estimateRemaining,
  type Job,
  type OpenBatch,
  type OpenBatchTerms,
  type Run,
} from './batch_job.js';
import type {
  BatchHeader,
  FailureRecord,
  ListedResult,
  OutputEvent,
} from './batch_record.js';
import type {BatchState} from './batch_state.js';
import {CriticalItems} from './critical_items.js';
import {EarlyMoves} from './early_moves.js';
import {type EarlierFailures, RETAINED_BATCHES} from './earlier_batches.js';
import {EngineHealth, type EngineView} from './engine_health.js';
import {
  chooseTranscript,
  clearTranscript,
  compareRanks,
  dropUnusableOutput,
  recordEarlierEvents,
  copyTranscript,
  isAllSilent,
  findMoveReason,
} from './job_rules.js';
import {CadenceTracker} from './cadence_tracker.js';
import {findAccount, orderJobs, type OrderContext} from './job_order.js';
import {rankUnscored} from '../rewards/reward_order.js';
import {JobOutcomes} from './job_outcomes.js';
import {PendingGiveUps} from './pending_give_ups.js';
import {type Avoidance, Placement} from './placement.js';
import {type DisplaceableRun, SlotDisplacement} from './slot_displacement.js';
import {RunTable} from './run_table.js';
import type {RunEnd, ScheduleAction, StopReason} from './schedule_action.js';

/**
 * A run without an event for this long is moved to another engine, ms. Events
 * come every 30 to 150 ms; a load of weights pauses them for about 900 ms.
 */
const STALL_MS = 1500;
/**
 * The same limit while the engine loads weights, as concurrent loads take
 * longer.
 */
const LOADING_STALL_MS = 4000;
/**
 * Number of early breaks after which an item pauses. An item with output did not
 * break off the run that generated it, so it is allowed more breaks by chance.
 */
const MAX_EARLY_BREAKS = 3;
const MAX_EARLY_BREAKS_WITH_OUTPUT = 6;

/**
 * Interval of the search for runs that would end sooner on another engine, ms;
 * speeds change within half a second.
 */
const REBALANCE_MS = 250;
/**
 * Number of runs considered by each search, those with most output to come: the
 * tail of a step consists of a few items.
 */
const MAX_REBALANCED = 12;
/**
 * Minimum duration of a run before it may be moved, ms; stopped sooner, it
 * would have read its prompt for nothing.
 */
const MIN_RUN_MS = 800;

/** What else is known of a batch when it is opened. */
export interface OpenOptions {
  /** By item id, failures in earlier batches. */
  readonly failed?: ReadonlyMap<string, EarlierFailures>;
  /** See `OpenBatch`; Infinity if absent. */
  readonly promisedUntilMs?: number;
}

/** Parameters of the deployment. */
export interface SchedulerConfig {
  /** Output tokens per event. */
  readonly tokensPerEvent: number;
  /**
   * Prefix of run ids that makes them unique across all schedulers, past ones
   * included.
   */
  readonly runPrefix: string;
  /**
   * Whether callers may ask for more than the engines can run at once, so that
   * the order of items and the use of free slots matter. Absent: they may not.
   */
  readonly isCapacityContended?: boolean;
  /**
   * Whether the item must not run now because requests like it crash engines.
   */
  readonly isQuarantined?: (job: Job) => boolean;
  /**
   * Returns how many reward calls of the item may fail before it is given up;
   * absent if no item has a reward call.
   */
  readonly findRewardAttempts?: (job: Job) => number;
}

/** Runs that may be stopped so that a needed item gets a slot. */
interface PreemptibleRuns {
  /** Runs of groups that no trainer waits for, the longest first. */
  readonly surplus: Run[];
  /** Present while capacity is contended. */
  readonly contended?: {
    /** Needed runs whose items can wait, those with most slack first. */
    readonly withSlack: readonly DisplaceableRun[];
    readonly context: OrderContext;
  };
}

export class BatchScheduler {
  readonly engineHealth: EngineHealth;
  private readonly open = new Map<string, OpenBatch>();
  /**
   * The newest job of each item id, to continue from when the item is requested
   * again.
   */
  private readonly lastJobs = new Map<string, Job>();
  /** The most recently closed batches of each model. */
  private readonly closed = new Map<string, OpenBatch[]>();
  private readonly runs = new RunTable();
  private engines: ReadonlyMap<string, EngineView> = new Map();
  private nextRunNumber = 1;
  private actions: ScheduleAction[] = [];
  private readonly giveUps: PendingGiveUps;
  private readonly outcomes: JobOutcomes;
  private rebalancedMs = -Infinity;
  private readonly cadence = new CadenceTracker();
  private readonly displacement = new SlotDisplacement();
  /** Present if capacity is contended. */
  private readonly earlyMoves: EarlyMoves | undefined;
  /** Of the current decision; present if capacity is contended. */
  private critical: CriticalItems | undefined;

  constructor(private readonly cfg: SchedulerConfig) {
    this.engineHealth = new EngineHealth(cfg.isCapacityContended);
    const {findRewardAttempts} = cfg;
    this.giveUps = new PendingGiveUps(
      job => findRewardAttempts?.(job) ?? Infinity,
    );
    this.outcomes = new JobOutcomes(
      action => this.actions.push(action),
      this.giveUps,
      cfg.isCapacityContended,
    );
    if (!cfg.isCapacityContended) return;
    this.earlyMoves = new EarlyMoves(this.engineHealth, id =>
      this.runs.countAt(id),
    );
  }

  get openCount(): number {
    return this.open.size;
  }

  /** How far the trainer that is furthest behind its cadence is, ms. */
  get longestLagMs(): number {
    return this.cadence.longestLagMs;
  }

  get openBatches(): IterableIterator<OpenBatch> {
    return this.open.values();
  }

  /**
   * Opens a batch with the results and output that the log has for it. Returns
   * the jobs that can not be sent.
   */
  openBatch(
    state: BatchState,
    terms: OpenBatchTerms | undefined,
    {failed, promisedUntilMs = Infinity}: OpenOptions = {},
  ): readonly Job[] {
    const {batch} = state;
    if (this.open.has(batch.id)) return [];
    this.cadence.record(batch);
    const jobs = new Map<string, Job>();
    const carriedGroups = new Set<string>();
    const open: OpenBatch = {
      batch,
      terms,
      promisedUntilMs,
      jobs,
      carriedGroups,
      chosenGroups: new Set(),
    };
    for (const item of batch.items) {
      const storedItem = state.items.get(item.id)!;
      const earlier = this.lastJobs.get(item.id);
      if (earlier) carriedGroups.add(item.group);
      const transcript = chooseTranscript(
        storedItem.transcript,
        earlier,
        terms,
      );
      const job = createJob(
        open,
        item,
        copyTranscript(transcript),
        failed?.get(item.id),
      );
      if (transcript === storedItem.transcript)
        job.recordedEvents = transcript.events.length;
      recordEarlierEvents(job, earlier?.transcript.events.length ?? 0);
      job.failedRuns = storedItem.failedRuns;
      job.failedRewardCalls = storedItem.failedRewardCalls;
      if (storedItem.isListed) {
        job.state = 'finished';
        job.result = storedItem.result;
      }
      dropUnusableOutput(job);
      jobs.set(item.id, job);
      if (!state.isEnded) this.reuseExisting(job, earlier);
      this.lastJobs.set(item.id, job);
    }
    if (state.isEnded) this.retainClosed(open);
    else this.open.set(batch.id, open);
    return [...jobs.values()].filter(
      ({unsendableField}) => unsendableField !== undefined,
    );
  }

  private reuseExisting(job: Job, earlier: Job | undefined): void {
    if (earlier) this.outcomes.reuseResult(job, earlier);
    this.outcomes.useStoredOutput(job);
    this.outcomes.giveUpRepeatedlyFailed(job);
  }

  /**
   * Whether the batch is open, or was closed so recently that its output is
   * retained.
   */
  hasBatch({id, model}: BatchHeader): boolean {
    if (this.open.has(id)) return true;
    const closed = this.closed.get(model) ?? [];
    return closed.some(({batch}) => batch.id === id);
  }

  /** Closes a batch that its owner has ended or that is to be dropped. */
  closeBatch(batchId: string): void {
    const open = this.open.get(batchId);
    if (!open) return;
    this.open.delete(batchId);
    this.giveUps.drop(open);
    this.stopBatch(open, 'ended');
    this.retainClosed(open);
  }

  private stopBatch(open: OpenBatch, reason: StopReason): void {
    for (const run of this.runs.values()) {
      if (run.job.batch === open) this.stop(run, reason);
    }
  }

  /**
   * A later batch may request the items of an ended one again, so the output of
   * the last few is retained. Retaining it for as long as batches are indexed
   * would exhaust the memory.
   */
  private retainClosed(open: OpenBatch): void {
    const {model} = open.batch;
    const closed = [...(this.closed.get(model) ?? []), open];
    this.closed.set(model, closed);
    if (closed.length <= RETAINED_BATCHES) return;
    const oldest = closed.shift()!;
    for (const [id, job] of oldest.jobs) {
      if (this.lastJobs.get(id) === job) this.lastJobs.delete(id);
    }
  }

  /** Drops batches submitted before `beforeMs` (Unix ms) and their items. */
  forget(beforeMs: number): void {
    this.cadence.forget(beforeMs);
    for (const [id, {batch}] of this.open) {
      if (batch.submittedAtMs < beforeMs) this.closeBatch(id);
    }
    for (const [id, job] of this.lastJobs) {
      if (job.batch.batch.submittedAtMs < beforeMs) this.lastJobs.delete(id);
    }
  }

  /**
   * Handles a result in the log, from this scheduler or another one. The log
   * decides which of two results counts, so this scheduler's own result is
   * retained for later batches only if it is the one listed.
   */
  onResultListed(batchId: string, {itemId, writer}: ListedResult): void {
    const job = this.open.get(batchId)?.jobs.get(itemId);
    if (!job) return;
    const isOwn = writer === this.cfg.runPrefix;
    this.outcomes.finish(job, isOwn ? job.result : undefined);
    for (const run of this.runs.values()) {
      if (run.job === job) this.stop(run, 'ended');
    }
  }

  /**
   * Counts a failure in the log, from this scheduler or another one. The item is
   * given up at its next failure at the earliest, as a run of it may succeed.
   */
  onFailureRecorded({kind, batchId, itemId, attempt}: FailureRecord): void {
    const job = this.open.get(batchId)?.jobs.get(itemId);
    if (!job) return;
    switch (kind) {
      case 'attempt_failed':
        job.failedRuns = addAttempt(job.failedRuns, attempt);
        return;
      case 'reward_failed':
        job.failedRewardCalls = addAttempt(job.failedRewardCalls, attempt);
        return;
      case 'attempt_impossible':
      // The result of the item follows it.
    }
  }

  /**
   * Applies a new version of the configuration to a batch; `terms` is undefined
   * if it has no route for it. Runs then stop, as nothing is left to judge their
   * output by.
   */
  setTerms(batchId: string, terms: OpenBatchTerms | undefined): void {
    const open = this.open.get(batchId);
    if (!open) return;
    open.terms = terms;
    if (!terms) this.stopBatch(open, 'route_removed');
    for (const job of open.jobs.values()) {
      if (job.state === 'waiting') dropUnusableOutput(job);
      this.outcomes.useStoredOutput(job);
      this.outcomes.giveUpRepeatedlyFailed(job);
    }
  }

  /**
   * Jobs whose output is complete, in the order in which they should be scored.
   */
  listUnscored(): readonly Job[] {
    const unscored = rankUnscored(this.open.values());
    return unscored.filter(
      job => job.unsendableField === undefined && !this.giveUps.has(job),
    );
  }

  /** Handles the score from the reward call of `job`. */
  onScore(job: Job, score: string): void {
    this.outcomes.onScore(job, score);
  }

  /** Handles a failed reward call of `job`. */
  onRewardFailure(job: Job, callId: string): void {
    this.outcomes.countRewardFailure(job, callId);
  }

  setEngines(engines: readonly EngineView[]): void {
    this.engines = new Map(engines.map(engine => [engine.id, engine]));
    this.engineHealth.setEngines(engines);
  }

  /**
   * Waiting items of `model`, and the greatest minimum version of its
   * unfinished batches.
   */
  measureNeed(model: string): {waiting: number; minVersion: number} {
    let waiting = 0;
    let minVersion = 0;
    for (const {batch, jobs} of this.open.values()) {
      if (batch.model !== model) continue;
      let unfinished = 0;
      for (const {state} of jobs.values()) {
        if (state !== 'finished') unfinished += 1;
        if (state === 'waiting') waiting += 1;
      }
      if (unfinished > 0) minVersion = Math.max(minVersion, batch.minVersion);
    }
    return {waiting, minVersion};
  }

  /** Number of runs on an engine, of one model or of all. */
  countRuns(engineId: string, model?: string): number {
    if (model === undefined) return this.runs.countAt(engineId);
    return this.runs.countModelAt(engineId, model);
  }

  /**
   * Handles an event of `run`. Returns whether it is usable and follows the
   * output so far.
   */
  onEvent(run: Run, event: OutputEvent, nowMs: number): boolean {
    if (!this.runs.has(run) || run.isStopping) return true;
    // The engine has older weights than its last report stated; the rest of the
    // output could not be used either.
    const minVersion = run.job.batch.terms?.minVersion ?? 0;
    if (event.version < minVersion) return false;
    if (!run.job.transcript.append(event)) return false;
    if (run.events > 0) this.recordGap(run, nowMs);
    run.events += 1;
    run.lastEventMs = nowMs;
    run.job.earlyBreaks = 0;
    this.engineHealth.recordEvent(run.engineId);
    const {model} = run.job.batch.batch;
    this.engineHealth.readiness.recordEvent(run.engineId, model, event.version);
    return true;
  }

  /** Records the gap between the last event of `run` and the one received now. */
  private recordGap(run: Run, nowMs: number): void {
    const {engineId, lastEventMs} = run;
    const gapMs = nowMs - lastEventMs;
    const {earlyMoves} = this;
    if (earlyMoves && !earlyMoves.isInformative(engineId, gapMs, nowMs)) return;
    const runsOnEngine = this.runs.countAt(engineId);
    this.engineHealth.speeds.record(engineId, gapMs, runsOnEngine, nowMs);
  }

  /** Handles the end of a run. */
  onRunEnd(run: Run, end: RunEnd, nowMs: number): void {
    if (!this.runs.delete(run)) return;
    const {job, engineId} = run;
    if ((end !== 'refused' || run.isStopping) && run.events === 0) {
      const {model} = job.batch.batch;
      this.engineHealth.readiness.recordLoss(engineId, model);
    }
    // Events after the stop were dropped, so even a run that finished has no
    // complete output.
    if (run.isStopping) {
      if (job.state === 'running') job.state = 'waiting';
      return;
    }
    if (job.state === 'finished') return;
    job.state = 'waiting';
    switch (end) {
      case 'finished':
        this.outcomes.onOutputComplete(job, nowMs);
        return;
      case 'failed':
        this.outcomes.countFailure(job, run.id, nowMs);
        return;
      case 'impossible':
        this.outcomes.giveUp(job, 'impossible');
        return;
      case 'refused':
        this.engineHealth.recordRefusal(engineId, job.batch.batch.model, nowMs);
        return;
      case 'misdirected':
      case 'unreachable':
        this.engineHealth.recordUnreachable(engineId, nowMs);
        return;
      case 'broken':
        this.countBreak(run, nowMs);
        return;
      case 'flooded':
        this.engineHealth.recordFlood(engineId, nowMs);
        // What came before may be part of the flood.
        if (run.events > 0) clearTranscript(job);
        return;
      case 'stopped':
        return;
    }
  }

  /**
   * Returns what has to be done now. All versions of the configuration that the
   * log had at `configKnownMs` have been applied.
   */
  decide(nowMs: number, configKnownMs = Infinity): readonly ScheduleAction[] {
    this.giveUpItems(nowMs, configKnownMs);
    this.stopSilent(nowMs);
    const placement = new Placement(
      this.engines,
      this.runs.values(),
      this.engineHealth,
      this.cfg.tokensPerEvent,
      nowMs,
      {
        prefersOldVersions: this.cfg.isCapacityContended ?? false,
        avoidance: this.createAvoidance(nowMs),
      },
    );
    this.critical = this.createCriticalItems(placement, nowMs);
    this.moveEarly(placement, nowMs);
    this.startWaiting(placement, nowMs);
    this.moveRuns(placement);
    this.rebalance(placement, nowMs);
    const actions = this.actions;
    this.actions = [];
    return actions;
  }

  /** Undefined unless capacity is contended. */
  private createAvoidance(nowMs: number): Avoidance | undefined {
    const {earlyMoves} = this;
    if (!earlyMoves) return undefined;
    return {
      isPaused: (engineId, job) =>
        earlyMoves.isPaused(engineId, nowMs) && this.isCritical(job),
      hasLeft: (engineId, job) => earlyMoves.hasLeft(engineId, job, nowMs),
    };
  }

  /** Undefined unless capacity is contended. */
  private createCriticalItems(
    placement: Placement,
    nowMs: number,
  ): CriticalItems | undefined {
    if (!this.cfg.isCapacityContended) return undefined;
    return new CriticalItems({
      openBatches: this.open.values(),
      runs: this.runs.values(),
      placement,
      speeds: this.engineHealth.speeds,
      tokensPerEvent: this.cfg.tokensPerEvent,
      nowMs,
      countRuns: id => this.runs.countAt(id),
    });
  }

  /** Whether the end of the job's step depends on `job`, as of this decision. */
  private isCritical(job: Job): boolean {
    return this.critical?.isCritical(job) ?? false;
  }

  private moveEarly(placement: Placement, nowMs: number): void {
    const {earlyMoves, critical, engines} = this;
    if (!earlyMoves || !critical) return;
    const runs = [...this.runs.values()];
    const view = {runs, engines, placement, critical, nowMs};
    for (const run of earlyMoves.choose(view)) {
      this.stop(run, 'run_stalled_early');
    }
  }

  private giveUpItems(nowMs: number, configKnownMs: number): void {
    const moment = {nowMs, configKnownMs};
    for (const {job, reason} of this.giveUps.take(this.open.values(), moment)) {
      this.outcomes.giveUp(job, reason);
    }
    if (this.giveUps.isWaiting) this.actions.push({kind: 'confirm_config'});
  }

  private stopSilent(nowMs: number): void {
    const byEngine = new Map<string, Run[]>();
    for (const run of this.runs.values()) {
      if (run.isStopping) continue;
      const runs = byEngine.get(run.engineId) ?? [];
      runs.push(run);
      byEngine.set(run.engineId, runs);
    }
    for (const [engineId, runs] of byEngine) {
      const isLoading = (this.engines.get(engineId)?.loading.size ?? 0) > 0;
      const wasLeft = this.earlyMoves?.wasLeft(engineId, nowMs) ?? false;
      if (!isLoading && isAllSilent(runs, nowMs, wasLeft)) {
        this.engineHealth.recordSilence(engineId, nowMs);
        for (const run of runs) this.stop(run, 'engine_silent');
        continue;
      }
      const limitMs = isLoading ? LOADING_STALL_MS : STALL_MS;
      for (const run of runs) {
        if (nowMs - run.lastEventMs > limitMs) this.stop(run, 'stalled');
      }
    }
  }

  private startWaiting(placement: Placement, nowMs: number): void {
    let preemptible: PreemptibleRuns | undefined;
    for (const job of this.listWaiting(placement, nowMs)) {
      const engine = placement.pickEngine(job);
      if (engine) {
        this.start(job, engine, nowMs);
        placement.add(engine.id, job);
        continue;
      }
      if (!placement.isNeeded(job)) continue;
      preemptible ??= this.listPreemptible(placement, nowMs);
      this.preemptFor(job, preemptible, placement);
    }
  }

  /** Waiting jobs in the order in which they should start. */
  private listWaiting(placement: Placement, nowMs: number): readonly Job[] {
    const waiting: Job[] = [];
    for (const open of this.open.values()) {
      if (!open.terms || placement.getChoice(open).isSatisfied) continue;
      for (const job of open.jobs.values()) {
        if (job.state !== 'waiting' || nowMs < job.notBeforeMs) continue;
        if (this.isHeldBack(job)) continue;
        waiting.push(job);
      }
    }
    if (this.cfg.isCapacityContended) {
      return orderJobs(waiting, this.createOrderContext(placement, nowMs));
    }
    return waiting
      .map(job => ({job, rank: this.rankJob(job, placement.isNeeded(job))}))
      .sort((a, b) => compareRanks(a.rank, b.rank))
      .map(({job}) => job);
  }

  /** Whether the item must not be sent, now or at all. */
  private isHeldBack(job: Job): boolean {
    return (
      job.unsendableField !== undefined ||
      this.giveUps.has(job) ||
      (this.cfg.isQuarantined?.(job) ?? false)
    );
  }

  private createOrderContext(
    placement: Placement,
    nowMs: number,
  ): OrderContext {
    const {speeds} = this.engineHealth;
    const running = new Map<string, number>();
    for (const {job} of this.runs.values()) {
      if (!placement.isNeeded(job)) continue;
      const account = findAccount(job);
      running.set(account, (running.get(account) ?? 0) + 1);
    }
    return {
      nowMs,
      tokensPerEvent: this.cfg.tokensPerEvent,
      gapMs: speeds.findTypicalPaceMs(nowMs) ?? ASSUMED_GAP_MS,
      findLagMs: trainer => this.cadence.findLagMs(trainer),
      isNeeded: job => placement.isNeeded(job),
      countRunning: account => running.get(account) ?? 0,
    };
  }

  /**
   * Needed groups first, then by due time, then the longest first, as a long
   * item that starts late delays the end of the step.
   */
  private rankJob(job: Job, isNeeded: boolean): readonly number[] {
    const remaining = estimateRemaining(job, this.cfg.tokensPerEvent);
    const {dueAtMs} = job.batch.terms!;
    return [isNeeded ? 0 : 1, dueAtMs, -remaining];
  }

  private start(job: Job, engine: EngineView, nowMs: number): void {
    const {batch, terms} = job.batch;
    const version = engine.versions.get(batch.model);
    const isStale =
      terms!.singleVersion &&
      job.transcript.listVersions().some(made => made !== version);
    if (isStale || !job.transcript.satisfies(terms!)) {
      recordEarlierEvents(job, job.transcript.events.length);
      clearTranscript(job);
    }
    const run: Run = {
      id: `${this.cfg.runPrefix}-${this.nextRunNumber++}`,
      job,
      engineId: engine.id,
      startedMs: nowMs,
      lastEventMs: nowMs,
      events: 0,
      isStopping: false,
    };
    job.state = 'running';
    this.runs.add(run);
    this.engineHealth.readiness.recordSend(engine.id, batch.model, nowMs);
    const reason = job.transcript.events.length > 0 ? 'resume' : 'first';
    this.actions.push({kind: 'start', run, reason});
  }

  /**
   * Runs of groups that no trainer waits for, on engines that are not slow, the
   * longest first.
   */
  private listSurplus(placement: Placement, nowMs: number): readonly Run[] {
    return [...this.runs.values()]
      .filter(
        run =>
          isSettled(run, nowMs) &&
          !placement.slow.has(run.engineId) &&
          !placement.isNeeded(run.job),
      )
      .sort((a, b) => placement.estimateRun(b) - placement.estimateRun(a));
  }

  private listPreemptible(
    placement: Placement,
    nowMs: number,
  ): PreemptibleRuns {
    const surplus = [...this.listSurplus(placement, nowMs)];
    if (!this.cfg.isCapacityContended) return {surplus};
    const context = this.createOrderContext(placement, nowMs);
    const needed = [...this.runs.values()].filter(
      run =>
        isSettled(run, nowMs) &&
        !placement.slow.has(run.engineId) &&
        placement.isNeeded(run.job),
    );
    const withSlack = this.displacement.listCandidates(needed, context);
    return {surplus, contended: {withSlack, context}};
  }

  /**
   * Stops a run so that a needed item that found no free slot gets one: a surplus
   * run, otherwise a run with much more slack. The stopped run keeps its output
   * and resumes later.
   */
  private preemptFor(
    job: Job,
    {surplus, contended}: PreemptibleRuns,
    placement: Placement,
  ): void {
    const index = surplus.findIndex(run => placement.canReplace(run, job));
    if (index >= 0) {
      const [run] = surplus.splice(index, 1);
      this.stop(run, 'made_room');
      return;
    }
    if (!contended) return;
    const {withSlack, context} = contended;
    const run = this.displacement.pick(
      job,
      withSlack,
      context,
      each =>
        placement.canReplace(each, job) && placement.fitsInPlaceOf(each, job),
    );
    if (run) this.stop(run, 'had_slack');
  }

  /**
   * Moves runs from slow, leaving and loading engines to free slots elsewhere.
   */
  private moveRuns(placement: Placement): void {
    const moves: Array<{run: Run; reason: StopReason}> = [];
    for (const run of this.runs.values()) {
      const reason = run.isStopping
        ? undefined
        : findMoveReason(run, placement);
      if (reason) moves.push({run, reason});
    }
    // The longest first, as they gain most.
    moves.sort(
      (a, b) => placement.estimateRun(b.run) - placement.estimateRun(a.run),
    );
    for (const {run, reason} of moves) {
      const target = placement.pickEngine(run.job);
      if (
        !target ||
        target.id === run.engineId ||
        placement.slow.has(target.id)
      ) {
        continue;
      }
      // Reserves the slot until the run starts there at the next decision.
      placement.add(target.id, run.job);
      this.stop(run, reason);
    }
  }

  /**
   * Moves the needed runs with most output to come to engines on which they end
   * much sooner. Slots on fast engines become free as short items end, and a
   * step takes as long as its longest item.
   */
  private rebalance(placement: Placement, nowMs: number): void {
    if (nowMs - this.rebalancedMs < REBALANCE_MS) return;
    this.rebalancedMs = nowMs;
    const longest = [...this.runs.values()]
      .filter(run => isSettled(run, nowMs) && placement.isNeeded(run.job))
      .sort((a, b) => placement.estimateRun(b) - placement.estimateRun(a))
      .slice(0, MAX_REBALANCED);
    for (const run of longest) {
      const target = placement.findFaster(run);
      if (!target) continue;
      placement.remove(run);
      placement.add(target.id, run.job);
      this.stop(run, 'engine_outrun');
    }
  }

  private stop(run: Run, reason: StopReason): void {
    if (run.isStopping) return;
    run.isStopping = true;
    this.actions.push({kind: 'stop', run, reason});
  }

  /**
   * Pauses an item whose runs repeatedly break before their first event, as they
   * do while engines crash. Sent on at once, it would meet one crash after
   * another.
   */
  private countBreak(run: Run, nowMs: number): void {
    const {job} = run;
    if (run.events > 0) return;
    job.earlyBreaks += 1;
    this.engineHealth.recordUnreachable(run.engineId, nowMs);
    const hasOutput = job.transcript.events.length > 0;
    const limit = hasOutput ? MAX_EARLY_BREAKS_WITH_OUTPUT : MAX_EARLY_BREAKS;
    if (job.earlyBreaks < limit) return;
    job.notBeforeMs = nowMs + findBatchPauseMs(job.earlyBreaks - limit);
  }
}

/** Whether `run` is not stopping and has lasted long enough to be moved. */
function isSettled(run: Run, nowMs: number): boolean {
  return !run.isStopping && nowMs - run.startedMs > MIN_RUN_MS;
}
