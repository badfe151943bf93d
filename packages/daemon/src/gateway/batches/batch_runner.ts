/**
 * Runs the items of all open batches while this VM is the coordinator. It follows
 * the index of every partition, performs the actions that the scheduler decides
 * on, and writes progress and results to the log.
 */

import {BatchScheduler} from '@radishyoke/core/batches/batch_scheduler';
import type {
  RunEnd,
  ScheduleAction,
} from '@radishyoke/core/batches/schedule_action';
import type {
  Job,
  OpenBatchTerms,
  Run,
} from '@radishyoke/core/batches/batch_job';
import {
  type IndexChange,
  type IndexedBatch,
  isComplete,
} from '@radishyoke/core/batches/batch_index';
import type {
  BatchHeader,
  OutputEvent,
} from '@radishyoke/core/batches/batch_record';
import {setMaxListeners} from 'node:events';
import type {LogEventName} from '@radishyoke/shared/log_event';
import {
  countEarlierFailures,
  listEarlierBatches,
} from '@radishyoke/core/batches/earlier_batches';
import type {BatchState} from '@radishyoke/core/batches/batch_state';
import {
  findPromisedUntilMs,
  isBeforeAcceptance,
} from '@radishyoke/core/batches/config_knowledge';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import type {RewardCall} from '@radishyoke/core/rewards/reward_scheduler';
import {pickService} from '@radishyoke/core/routing/route_table';
import type {EventLogger} from '../../logger.js';
import {AcceptanceWait} from './acceptance_wait.js';
import type {IndexReplicas} from './index_replica.js';
import {BatchLoader} from './batch_loader.js';
import {BATCH_RETENTION_MS} from './batch_topics.js';
import type {ConfigHolder} from '../store/config_holder.js';
import type {EndpointLinks} from '../endpoints/endpoint_links.js';
import {fingerprintItem} from '../requests/request_fingerprints.js';
import type {EndpointProtocol} from '../endpoints/endpoint_protocol.js';
import type {EndpointView} from '../endpoints/endpoint_view.js';
import {EngineFleet} from '../engines/engine_fleet.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {CrashWatch} from '../crashes/crash_watch.js';
import type {WatchedEnd, WatchedRequest} from '../crashes/watched_request.js';
import {Generation} from './generation.js';
import {ItemLog} from './item_log.js';
import type {LeaseTask} from '../engines/lease_task.js';
import type {LogStore} from '../store/log_store.js';
import {RewardTask} from './reward_task.js';
import type {VmClock} from '../vm_clock.js';
import {EngineReports} from '../engines/engine_reports.js';
import {FailoverWatch} from './failover_watch.js';
import {SpeedMonitor} from '../engines/speed_monitor.js';
import {WeightTask} from '../engines/weight_task.js';

export interface RunnerDeps {
  readonly store: LogStore;
  readonly replicas: IndexReplicas;
  readonly lease: LeaseTask;
  readonly roster: EndpointRoster;
  readonly links: EndpointLinks;
  readonly protocol: EndpointProtocol;
  readonly config: ConfigHolder;
  readonly newestVersions: ReadonlyMap<string, number>;
  readonly clock: VmClock;
  readonly metrics: GatewayMetrics;
  readonly incarnationId: string;
  /** Unique for each time that a VM becomes the coordinator. */
  readonly termId: string;
  readonly isCapacityContended: boolean;
  readonly view: EndpointView;
  readonly dataCentre: string;
  readonly crashes: CrashWatch;
  readonly logger: EventLogger;
}

/** Interval of the scheduler's periodic decisions, ms; events trigger further ones. */
const TICK_MS = 60;
/** Events within this time share one decision, ms. A free slot of an engine thus stays empty for at most a tenth of the time between two events of a run. */
const DECIDE_DELAY_MS = 8;
/** Interval at which the output of running items is written to the log, ms. After a failover, at most this much is generated again. */
const PROGRESS_MS = 500;
/**
 * Nothing is started once the log has been unreachable for this long, ms. A VM
 * that is cut off from the log does not learn that a batch has ended, and must
 * not start items of it later than its caller expects.
 */
const MAX_LOG_SILENCE_MS = 2200;
/** Output tokens per event if the configuration has no value. */
const DEFAULT_TOKENS_PER_EVENT = 1;

const NO_ITEMS: ReadonlySet<string> = new Set();

/** Log events about a run. */
type RunLogEvent = Exclude<
  Extract<LogEventName, `run ${string}`>,
  'run broken' | 'run failed' | 'run impossible'
>;

interface LiveRun {
  readonly run: Run;
  /** Absent until a probe has shown that the engine is reachable. */
  readonly execution?: {
    readonly generation: Generation;
    readonly watched: WatchedRequest;
  };
}

export class BatchRunner {
  private readonly scheduler: BatchScheduler;
  private readonly fleet: EngineFleet;
  private readonly weights: WeightTask;
  private readonly speedMonitor: SpeedMonitor;
  private readonly failover: FailoverWatch;
  private readonly rewards: RewardTask;
  /** Steady ms at which another VM was last seen to run the items. Nothing is started until the log has been reached after that. */
  private supersededMs = -Infinity;
  private readonly liveRuns = new Map<string, LiveRun>();
  private readonly fingerprints = new WeakMap<Job, string>();
  private readonly itemLog: ItemLog;
  private readonly loader: BatchLoader;
  private readonly acceptanceWait: AcceptanceWait;
  /** Ids of the batches that are being read from the log. */
  private readonly loading = new Set<string>();
  private readonly abort = new AbortController();
  private readonly listener = (change: IndexChange) => this.applyChange(change);
  private isConfirming = false;
  private isDecisionScheduled = false;
  private isTickScheduled = false;
  private tickTimer: NodeJS.Timeout | undefined;
  private progressTimer: NodeJS.Timeout | undefined;

  constructor(private readonly deps: RunnerDeps) {
    const {
      roster,
      lease,
      links,
      protocol,
      newestVersions,
      incarnationId,
      termId,
      logger,
    } = deps;
    const engine = deps.config.table?.engines[0]?.engine;
    const tokensPerEvent = engine?.tokensPerEvent ?? DEFAULT_TOKENS_PER_EVENT;
    this.scheduler = new BatchScheduler({
      tokensPerEvent,
      runPrefix: termId,
      isCapacityContended: deps.isCapacityContended,
      isQuarantined: job => this.isBlocked(job),
      findRewardAttempts: job => this.rewards.findMaxAttempts(job),
    });
    this.speedMonitor = new SpeedMonitor(
      this.scheduler.engineHealth.speeds,
      deps,
    );
    this.itemLog = new ItemLog(deps.store, deps.replicas, termId);
    this.loader = new BatchLoader(deps.store, deps.replicas, logger);
    this.acceptanceWait = new AcceptanceWait(deps.config, logger);
    this.fleet = new EngineFleet(roster);
    const reports = new EngineReports(links, protocol, this.fleet, logger);
    this.failover = new FailoverWatch({
      fetchReport: entry => reports.fetch(entry),
      now: () => deps.clock.now(),
      getContactMs: () => lease.lastContactMs,
      listEngines: () => this.listEngines(),
      countOwnRuns: engineId => this.scheduler.countRuns(engineId),
      onSuperseded: foreign => this.onSuperseded(foreign),
    });
    this.rewards = new RewardTask(deps, {
      onScore: (job, score) => {
        this.scheduler.onScore(job, score);
        this.scheduleDecision();
      },
      onFailed: call => this.recordRewardFailure(call),
      onFree: () => this.scheduleDecision(),
    });
    this.weights = new WeightTask({
      lease,
      roster,
      fleet: this.fleet,
      reports,
      links,
      protocol,
      scheduler: this.scheduler,
      newestVersions,
      metrics: deps.metrics,
      incarnationId,
      isCapacityContended: deps.isCapacityContended,
      onEngineReady: () => this.scheduleTick(),
      logger,
    });
  }

  /** Number of batches whose items are being run. */
  get openCount(): number {
    return this.scheduler.openCount;
  }

  /** Number of batches that wait until this VM has read their configuration. */
  get withoutConfigCount(): number {
    return this.acceptanceWait.waitingCount;
  }

  /** How far the trainer that is furthest behind its cadence is, ms. */
  get longestLagMs(): number {
    return this.scheduler.longestLagMs;
  }

  /** Reads the index of all partitions and starts to run the open batches. */
  async start(): Promise<void> {
    const {replicas} = this.deps;
    const replicaList = replicas.openAll();
    // Each followed partition adds an abort listener; Node.js would warn of a leak.
    setMaxListeners(0, this.abort.signal);
    await Promise.all(replicaList.map(replica => replica.sync()));
    if (this.abort.signal.aborted) return;
    const indexed = replicaList.flatMap(replica => [...replica.index.entries]);
    indexed.sort((a, b) => a.header.submittedAtMs - b.header.submittedAtMs);
    for (const entry of indexed) {
      if (!isComplete(entry)) void this.tryOpen(entry, true);
    }
    for (const replica of replicaList) {
      replica.addListener(this.listener);
      void replica.follow(this.abort.signal);
    }
    this.tickTimer = setInterval(() => this.tick(), TICK_MS);
    this.progressTimer = setInterval(() => {
      this.writeProgress();
      this.scheduler.forget(Date.now() - BATCH_RETENTION_MS);
      void this.failover.check();
    }, PROGRESS_MS);
  }

  /** Stops all runs, after queueing a write of their output so far. */
  stop(): void {
    this.writeProgress();
    this.abort.abort();
    clearInterval(this.tickTimer);
    clearInterval(this.progressTimer);
    this.weights.stop();
    this.speedMonitor.stop();
    this.rewards.stop();
    for (const replica of this.deps.replicas.openAll())
      replica.removeListener(this.listener);
    this.stopRuns();
  }

  /** Updates the weight versions of an endpoint whose entry changed. */
  onEndpointChange(id: string): void {
    const entry = this.deps.roster.get(id);
    if (entry) this.fleet.recordEntry(entry);
  }

  /** Drops the state of an endpoint that was removed or has restarted. */
  forgetEndpoint(id: string): void {
    this.scheduler.engineHealth.forget(id);
    this.fleet.forget(id);
  }

  /** Applies a new version of the configuration to the open batches. */
  applyConfig(): void {
    for (const {batch} of this.scheduler.openBatches) {
      this.scheduler.setTerms(batch.id, this.findTerms(batch));
    }
    this.scheduleDecision();
  }

  private applyChange(change: IndexChange): void {
    const {entry} = change;
    const {id} = entry.header;
    switch (change.kind) {
      case 'opened':
        void this.tryOpen(entry, false);
        return;
      case 'failed':
        this.scheduler.onFailureRecorded(change.failure);
        return;
      case 'ended':
        this.scheduler.closeBatch(id);
        break;
      case 'listed':
        this.scheduler.onResultListed(id, change.listed);
        if (isComplete(entry)) this.scheduler.closeBatch(id);
    }
    this.scheduleDecision();
  }

  /** Opens a batch; one whose stored parts are not what a VM writes is left out. */
  private async tryOpen(
    entry: IndexedBatch,
    mayHaveProgress: boolean,
  ): Promise<void> {
    try {
      await this.open(entry, mayHaveProgress);
    } catch (err) {
      this.deps.logger.log('error', 'batch can not be read', {
        batch: entry.header.id,
        detail: String(err),
      });
    }
  }

  /**
   * Reads the batch from the log and adds it to the scheduler, once the
   * configuration that accepted it is known.
   */
  private async open(
    entry: IndexedBatch,
    mayHaveProgress: boolean,
  ): Promise<void> {
    const {header} = entry;
    if (this.loading.has(header.id)) return;
    if (this.scheduler.hasBatch(header)) return;
    this.loading.add(header.id);
    const {signal} = this.abort;
    const waited = await this.acceptanceWait.wait(entry, signal);
    const state =
      waited === 'obsolete'
        ? undefined
        : await this.load(entry, mayHaveProgress);
    this.loading.delete(header.id);
    if (!state || signal.aborted) return;
    const failed = countEarlierFailures(entry, this.listIndexed());
    const unsendable = this.scheduler.openBatch(state, this.findTerms(header), {
      failed,
      promisedUntilMs: this.deps.clock.toSteady(findPromisedUntilMs(header)),
    });
    for (const job of unsendable) this.logUnsendable(job);
    // The batch may have completed while its payload was read.
    if (isComplete(entry)) this.scheduler.closeBatch(header.id);
    this.scheduleDecision();
  }

  private logUnsendable({item, batch, unsendableField}: Job): void {
    this.deps.metrics.count('items_unsendable');
    this.deps.logger.log('warn', 'item can not be sent', {
      requestId: item.id,
      batch: batch.batch.id,
      field: unsendableField,
    });
  }

  private async load(
    entry: IndexedBatch,
    mayHaveProgress: boolean,
  ): Promise<BatchState | undefined> {
    await this.loadEarlier(entry);
    const options = {mayHaveProgress, textsOf: NO_ITEMS};
    return this.loader.load(entry, options, this.abort.signal);
  }

  /**
   * Reads the earlier batches that share items with `entry`: a trainer submits
   * incomplete groups again in a later batch. Without their output so far, the
   * items would be generated again from the start.
   */
  private async loadEarlier(entry: IndexedBatch): Promise<void> {
    const indexed = this.listIndexed();
    const textsOf = new Set(entry.items.keys());
    for (const earlier of listEarlierBatches(entry, indexed)) {
      if (this.scheduler.hasBatch(earlier.header)) continue;
      const options = {mayHaveProgress: true, textsOf};
      const {signal} = this.abort;
      const state = await this.loader.load(earlier, options, signal);
      if (state) this.scheduler.openBatch(state, undefined);
      this.scheduler.closeBatch(earlier.header.id);
    }
  }

  /** Lists the indexed batches of all partitions. */
  private listIndexed(): readonly IndexedBatch[] {
    const replicaList = this.deps.replicas.openAll();
    return replicaList.flatMap(replica => [...replica.index.entries]);
  }

  /** Returns undefined if the configuration has no route for the batch, or is older than the one that accepted it. */
  private findTerms(batch: BatchHeader): OpenBatchTerms | undefined {
    const {table, version} = this.deps.config;
    if (!table || isBeforeAcceptance(version, batch)) return undefined;
    const route = table.match(batch.host, batch.path);
    if (!route?.batch) return undefined;
    const service = pickService(route, 0);
    if (service === undefined) return undefined;
    const submittedMs = this.deps.clock.toSteady(batch.submittedAtMs);
    return {
      service,
      attempts: route.attempts,
      minVersion: batch.minVersion,
      singleVersion: route.batch.singleVersion,
      dueAtMs: submittedMs + route.batch.dueMs,
      giveUpAtMs: submittedMs + route.batch.retentionMs,
      priority: table.accounts.findPriority(batch.account) ?? route.priority,
    };
  }

  private tick(): void {
    const {config, clock} = this.deps;
    const {table} = config;
    if (!table) return;
    const engines = this.fleet.describe(table.engines, clock.now());
    this.scheduler.setEngines(engines);
    this.weights.tick(table, engines);
    this.speedMonitor.check(clock.now());
    this.decide();
  }

  /** Schedules a tick before the next periodic one, as engines have changed. */
  private scheduleTick(): void {
    if (this.isTickScheduled) return;
    this.isTickScheduled = true;
    setTimeout(() => {
      this.isTickScheduled = false;
      if (!this.abort.signal.aborted) this.tick();
    }, DECIDE_DELAY_MS);
  }

  /** Schedules one decision for all events within the next few ms. */
  private scheduleDecision(): void {
    if (this.isDecisionScheduled) return;
    this.isDecisionScheduled = true;
    setTimeout(() => {
      this.isDecisionScheduled = false;
      if (!this.abort.signal.aborted) this.decide();
    }, DECIDE_DELAY_MS);
  }

  private decide(): void {
    const nowMs = this.deps.clock.now();
    const {lastContactMs} = this.deps.lease;
    if (lastContactMs < this.supersededMs) return;
    if (nowMs - lastContactMs > MAX_LOG_SILENCE_MS) return;
    const {completeAtMs} = this.deps.config.knowledge;
    const actions = this.scheduler.decide(nowMs, completeAtMs);
    for (const action of actions) this.perform(action);
    this.rewards.decide(this.scheduler.listUnscored());
  }

  private listEngines(): readonly EndpointEntry[] {
    const {roster, clock, config} = this.deps;
    const services = config.table?.engines ?? [];
    return services.flatMap(({name}) => roster.listUsable(name, clock.now()));
  }

  /** Stops all runs because another VM has taken over the items. */
  private onSuperseded(foreign: number): void {
    this.supersededMs = this.deps.clock.now();
    if (this.liveRuns.size === 0) return;
    this.deps.logger.log('warn', 'items are run by another VM', {
      runs: foreign,
    });
    this.stopRuns();
    this.rewards.decide([]);
  }

  private perform(action: ScheduleAction): void {
    switch (action.kind) {
      case 'start':
        this.startRun(action.run, action.reason);
        return;
      case 'stop':
        this.logRun(action.run, 'run stopped', action.reason);
        this.stopRun(action.run);
        return;
      case 'list':
        this.deps.logger.log('info', 'item has a result', {
          requestId: action.result.itemId,
          batch: action.batchId,
          configVersion: this.deps.config.version,
          outcome: action.result.state,
          reason: action.reason,
          versions: action.result.versions.join(','),
          failedAttempts: action.failedAttempts.join(',') || undefined,
        });
        this.itemLog.writeResult(action.batchId, action.result);
        return;
      case 'confirm_config':
        void this.confirmConfig();
    }
  }

  /** Reads the configuration up to its end; each further decision may ask for another try. */
  private async confirmConfig(): Promise<void> {
    if (this.isConfirming) return;
    this.isConfirming = true;
    await this.deps.config.confirmCurrent();
    this.isConfirming = false;
    this.scheduleDecision();
  }

  private startRun(run: Run, reason: string): void {
    const {roster, clock, crashes} = this.deps;
    const entry = roster.get(run.engineId);
    if (!entry) {
      this.scheduler.onRunEnd(run, 'unreachable', clock.now());
      return;
    }
    this.logRun(run, 'run started', reason);
    const getFingerprint = () => this.fingerprint(run.job);
    if (!crashes.isSuspected(getFingerprint)) return this.generate(run, entry);
    this.liveRuns.set(run.id, {run});
    void crashes.maySendTo(entry, getFingerprint).then(maySend => {
      if (!this.liveRuns.has(run.id)) return;
      if (maySend) this.generate(run, entry);
      else
        this.endRun(run, 'unreachable', 'the engine did not answer the probe');
    });
  }

  private generate(run: Run, entry: EndpointEntry): void {
    const {links, protocol, clock} = this.deps;
    const {job} = run;
    const terms = job.batch.terms!;
    const {lastEventId} = job.transcript;
    const deadlineMs = Math.max(Math.floor(terms.giveUpAtMs - clock.now()), 1);
    const expectVersion = terms.singleVersion
      ? this.fleet.getVersion(entry.id, job.batch.batch.model)
      : undefined;
    const watched = this.deps.crashes.recordStart(entry, () =>
      this.fingerprint(job),
    );
    const generation = new Generation(
      links.getAgent(entry),
      protocol,
      entry,
      job.item,
      {
        endpointId: entry.id,
        host: job.batch.batch.host,
        deadlineMs,
        caller: this.deps.config.describeOwner(job.batch.batch.account),
        ...(lastEventId === undefined ? {} : {lastEventId}),
        ...(expectVersion === undefined ? {} : {expectVersion}),
      },
      {
        onEvent: event => {
          watched.recordEvent();
          this.handleEvent(run, {...event, run: run.id});
        },
        onSlowdown: slowdown => this.recordSlowdown(entry, slowdown),
        onEnd: (end, detail) => this.endRun(run, end, detail),
      },
    );
    this.liveRuns.set(run.id, {run, execution: {generation, watched}});
  }

  private recordSlowdown({id}: EndpointEntry, slowdown: number): void {
    const {speeds} = this.scheduler.engineHealth;
    speeds.reportSlowdown(id, slowdown, this.deps.clock.now());
  }

  private handleEvent(run: Run, event: OutputEvent): void {
    const nowMs = this.deps.clock.now();
    const {model} = run.job.batch.batch;
    this.fleet.recordVersion(run.engineId, model, event.version);
    if (this.scheduler.onEvent(run, event, nowMs)) return;
    // The event is a repeat or comes after a gap, so it can not extend the text.
    this.logRun(run, 'run out of order', `event ${event.id}`);
    this.stopRun(run);
  }

  private stopRuns(): void {
    for (const {run} of [...this.liveRuns.values()]) this.stopRun(run);
  }

  private stopRun(run: Run): void {
    const live = this.liveRuns.get(run.id);
    if (!live) return;
    if (live.execution) live.execution.generation.stop();
    else this.endRun(run, 'stopped', 'stopped');
  }

  private endRun(run: Run, end: RunEnd, detail: string): void {
    const live = this.liveRuns.get(run.id);
    this.liveRuns.delete(run.id);
    live?.execution?.watched.end(classifyEnd(end));
    this.logEnd(run, end, detail);
    this.deps.metrics.count(`run_${end}`);
    if (end === 'broken' || end === 'unreachable') {
      this.deps.links.closeIdle(run.engineId);
    }
    const hasProgress = end !== 'finished' && end !== 'flooded';
    if (live && hasProgress) this.itemLog.writeProgress(run.job);
    if (end === 'failed') {
      this.itemLog.writeFailure('attempt_failed', run.job, run.id);
    }
    if (end === 'impossible') {
      this.itemLog.writeFailure('attempt_impossible', run.job, run.id);
    }
    this.scheduler.onRunEnd(run, end, this.deps.clock.now());
    if (run.job.state === 'unscored') this.itemLog.writeCompleteText(run.job);
    this.scheduleDecision();
  }

  private recordRewardFailure({job, id}: RewardCall): void {
    this.itemLog.writeFailure('reward_failed', job, id);
    this.scheduler.onRewardFailure(job, id);
    this.scheduleDecision();
  }

  /** Whether the item must not run now, because it is quarantined or a check in progress may add another crash to it. */
  private isBlocked(job: Job): boolean {
    const {crashes} = this.deps;
    const getFingerprint = () => this.fingerprint(job);
    return (
      crashes.isQuarantined(getFingerprint) ||
      crashes.isBeingChecked(getFingerprint)
    );
  }

  private fingerprint(job: Job): string {
    const cached = this.fingerprints.get(job);
    if (cached !== undefined) return cached;
    const fingerprint = fingerprintItem(job);
    this.fingerprints.set(job, fingerprint);
    return fingerprint;
  }

  private writeProgress(): void {
    for (const {run} of this.liveRuns.values())
      this.itemLog.writeProgress(run.job);
  }

  private logEnd(run: Run, end: RunEnd, reason: string): void {
    const {logger} = this.deps;
    switch (end) {
      case 'stopped':
        return;
      case 'broken': {
        const fingerprint = this.fingerprint(run.job);
        const fields = {...this.describeRun(run, reason), fingerprint};
        return logger.log('info', 'run broken', fields);
      }
      case 'failed':
      case 'impossible': {
        const fields = {...this.describeRun(run, reason), attempt: run.id};
        return logger.log('info', `run ${end}`, fields);
      }
      default:
        this.logRun(run, `run ${end}`, reason);
    }
  }

  private logRun(run: Run, message: RunLogEvent, reason: string): void {
    this.deps.logger.log('info', message, this.describeRun(run, reason));
  }

  private describeRun({job, engineId}: Run, reason: string) {
    return {
      requestId: job.item.id,
      batch: job.batch.batch.id,
      endpoint: engineId,
      reason,
      from: job.transcript.lastEventId ?? -1,
      configVersion: this.deps.config.version,
    };
  }
}

function classifyEnd(end: RunEnd): WatchedEnd {
  switch (end) {
    case 'finished':
    case 'failed':
    case 'impossible':
      return 'answered';
    case 'broken':
      return 'broken';
    case 'refused':
    case 'flooded':
    case 'misdirected':
    case 'unreachable':
    case 'stopped':
      return 'left';
  }
}
