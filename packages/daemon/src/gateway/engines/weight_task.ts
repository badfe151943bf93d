/**
 * Orders engines to load new weights. Only the coordinator sends orders, with the
 * fencing token of its term. The effect of an order is read from the engine's
 * report, since its answer may be lost and an order may be carried out late.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {BatchScheduler} from '@radishyoke/core/batches/batch_scheduler';
import type {EngineView} from '@radishyoke/core/batches/engine_health';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {type EndedLoad, LoadLimiter} from '@radishyoke/core/fleet/load_limiter';
import {
  computeShare,
  type LoadCandidate,
  type ModelPlan,
  pickLoads,
  planLoads,
  rankModels,
} from '@radishyoke/core/fleet/weight_plan';
import type {
  RouteTable,
  ServiceSpec,
} from '@radishyoke/core/routing/route_table';
import type {EventLogger} from '../../logger.js';
import type {EndpointLinks} from '../endpoints/endpoint_links.js';
import type {
  EndpointProtocol,
  OrderAnswer,
} from '../endpoints/endpoint_protocol.js';
import type {EngineFleet} from './engine_fleet.js';
import {type EngineReports, findVersion, hasVersion} from './engine_reports.js';
import {
  type LoadStep,
  type LoadTarget,
  MAX_POLLS,
  POLL_PAUSE_MS,
  SETTLED_POLLS,
} from './load_target.js';
import {LoadWatch} from './load_watch.js';
import {callOnce, MAX_CONTROL_ANSWER_BYTES} from '../endpoints/http_call.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {LeaseTask} from './lease_task.js';

export interface WeightDeps {
  readonly lease: LeaseTask;
  readonly roster: EndpointRoster;
  readonly fleet: EngineFleet;
  readonly reports: EngineReports;
  readonly links: EndpointLinks;
  readonly protocol: EndpointProtocol;
  readonly scheduler: BatchScheduler;
  /** Newest weight version that a trainer has published, by model. */
  readonly newestVersions: ReadonlyMap<string, number>;
  readonly metrics: GatewayMetrics;
  readonly incarnationId: string;
  /**
   * Whether engines that serve the open steps may load together, and get items
   * as soon as one shows that they are ready.
   */
  readonly isCapacityContended: boolean;
  /** Called when an engine may get items after a load or more of them, or when another one may load. */
  readonly onEngineReady: () => void;
  readonly logger: EventLogger;
}

/** State that all candidates of one planning round share. */
interface FleetSnapshot {
  /** Steady ms. */
  readonly nowMs: number;
  /** Engines that are much slower than the others. */
  readonly slow: ReadonlySet<string>;
  readonly mayOrder: (engineId: string) => boolean;
}

/** Minimum number of engines per model. With a single one, its trainer would stall whenever the engine loads or fails. */
const MIN_ENGINES = 2;
/** Expected runs of a model on an engine that has the model's newest version. */
const RUNS_PER_MODEL = 8;
/** Time limit for the answer to an order, ms. Engines answer in a few ms. Without an answer the same order is sent again, and it is void if the first one was accepted. */
const ORDER_TIMEOUT_MS = 150;
/** Approximate delay until reports show the end of a load, ms. */
const REPORT_DELAY_MS = 250;
/** A poll that takes longer than this, including its pause, is not used to measure the time of a load, ms. */
const MAX_POLL_MS = 2 * POLL_PAUSE_MS;
/** Pause while an engine is occupied by another order, ms. Reports lag by a few hundred ms, so an earlier report would not show a change. */
const REPORT_LAG_MS = 450;
/** Attempts to load on one engine, after which no orders are sent to it for a while. */
const MAX_TRIES = 6;
/** Pause after `MAX_TRIES` failed attempts at an engine, ms. */
const FAILED_ENGINE_PAUSE_MS = 1500;

export class WeightTask {
  /** Running loads, by engine. */
  private readonly activeLoads = new Map<string, LoadTarget>();
  private readonly pausedUntilMs = new Map<string, number>();
  private isStopped = false;
  private readonly loadLimiter = new LoadLimiter();
  /** Number of engines that may load at the same time, by service. */
  private readonly limits = new Map<string, number>();

  private readonly watch: LoadWatch;

  constructor(private readonly deps: WeightDeps) {
    this.watch = new LoadWatch({
      fleet: deps.fleet,
      reports: deps.reports,
      readiness: deps.scheduler.engineHealth.readiness,
      metrics: deps.metrics,
      isOutOfDate: ({entry}) => this.isOutOfDate(entry),
      onReady: deps.onEngineReady,
    });
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Starts the loads that are due. Called periodically. */
  tick(table: RouteTable, engines: readonly EngineView[]): void {
    if (this.isStopped) return;
    for (const service of table.engines) {
      const views = engines.filter(view => view.service === service.name);
      const limit = this.limitLoads(service.name, views.length);
      if (this.activeLoads.size >= limit) continue;
      const plans = this.planModels(service, views);
      if (this.deps.isCapacityContended) {
        const maxMore = limit - this.activeLoads.size;
        for (const {engineId, plan} of planLoads(plans, maxMore)) {
          this.startLoad(engineId, plan, table);
        }
        continue;
      }
      for (const plan of rankModels(plans)) {
        this.startLoads(plan, table, limit);
      }
    }
  }

  private limitLoads(service: string, engines: number): number {
    const limit = this.loadLimiter.computeLimit(engines);
    if (limit !== this.limits.get(service)) {
      this.limits.set(service, limit);
      const {expectedMs: predictedMs} = this.deps.isCapacityContended
        ? this.watch
        : this.loadLimiter;
      const expectedMs = Math.round(predictedMs);
      const fields = {service, engines, limit, expectedMs};
      this.deps.logger.log('info', 'loads at once', fields);
    }
    return limit;
  }

  private planModels(
    service: ServiceSpec,
    views: readonly EngineView[],
  ): readonly ModelPlan[] {
    const {models} = service.engine!;
    const share = computeShare(views.length, models.length, MIN_ENGINES);
    const snapshot = this.takeSnapshot();
    return models.flatMap(model => {
      const newest = this.deps.newestVersions.get(model);
      if (newest === undefined) return [];
      const need = {
        newest,
        share,
        isCapacityContended: this.deps.isCapacityContended,
        ...this.deps.scheduler.measureNeed(model),
      };
      const candidates = this.listCandidates(model, service, views, snapshot);
      return [{model, candidates, need}];
    });
  }

  private takeSnapshot(): FleetSnapshot {
    const {scheduler, lease} = this.deps;
    const nowMs = performance.now();
    return {
      nowMs,
      slow: scheduler.engineHealth.speeds.listSlow(nowMs),
      mayOrder: lease.createOrderCheck(),
    };
  }

  private startLoads(plan: ModelPlan, table: RouteTable, limit: number): void {
    const {candidates, need} = plan;
    const maxMore = limit - this.activeLoads.size;
    // Engines that have just started a load for another model are busy.
    const open = candidates.map(candidate =>
      !candidate.isBusy && this.activeLoads.has(candidate.id)
        ? {...candidate, isBusy: true}
        : candidate,
    );
    for (const id of pickLoads(open, need, maxMore)) {
      this.startLoad(id, plan, table);
    }
  }

  private startLoad(
    engineId: string,
    {model, need}: ModelPlan,
    table: RouteTable,
  ): void {
    const entry = this.deps.roster.get(engineId);
    if (!entry) return;
    const mode = isSingleVersion(model, table) ? 'wait' : 'keep';
    void this.load({
      entry,
      model,
      version: need.newest,
      mode,
      isUnanswered: false,
    });
  }

  private listCandidates(
    model: string,
    service: ServiceSpec,
    views: readonly EngineView[],
    {nowMs, slow, mayOrder}: FleetSnapshot,
  ): readonly LoadCandidate[] {
    const {scheduler} = this.deps;
    const {speeds} = scheduler.engineHealth;
    return views
      .filter(({id}) => nowMs >= (this.pausedUntilMs.get(id) ?? 0))
      .map(({id, slots, versions}) => {
        const target = this.activeLoads.get(id);
        const running = scheduler.countRuns(id);
        const expected = this.countOtherModels(model, service, versions);
        return {
          id,
          version: versions.get(model) ?? 0,
          loadingVersion: target?.model === model ? target.version : undefined,
          isBusy: target !== undefined || !mayOrder(id),
          isHealthy: !slow.has(id) && !scheduler.engineHealth.isFailing(id),
          running: scheduler.countRuns(id, model),
          free: Math.max(slots - running, 0),
          gapMs: speeds.predictGapMs(
            id,
            running + 1 + expected * RUNS_PER_MODEL,
            nowMs,
          ),
        };
      });
  }

  /** Counts the other models whose newest version an engine has, since their runs will be sent to it. */
  private countOtherModels(
    model: string,
    service: ServiceSpec,
    versions: ReadonlyMap<string, number>,
  ): number {
    const {newestVersions} = this.deps;
    return service.engine!.models.filter(other => {
      if (other === model) return false;
      return (
        (versions.get(other) ?? 0) >= (newestVersions.get(other) ?? Infinity)
      );
    }).length;
  }

  private async load(target: LoadTarget): Promise<void> {
    const {entry, model} = target;
    this.activeLoads.set(entry.id, target);
    // Recorded before the order, so that runs on the engine are moved away first.
    this.deps.fleet.recordLoadStart(entry, model, performance.now());
    try {
      await this.loadUntilDone(target);
    } finally {
      this.activeLoads.delete(entry.id);
      this.deps.fleet.recordLoadEnd(entry.id, model);
    }
  }

  private async loadUntilDone(target: LoadTarget): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const step = await this.tryLoad(target);
      if (step === 'over') return;
      if (step === 'hopeless') break;
    }
    this.pausedUntilMs.set(
      target.entry.id,
      performance.now() + FAILED_ENGINE_PAUSE_MS,
    );
  }

  /** Reads the engine's report, and sends an order if one is due. */
  private async tryLoad(target: LoadTarget): Promise<LoadStep> {
    const {entry, model, version} = target;
    const report = await this.deps.reports.fetch(entry);
    if (this.isOutOfDate(entry)) return 'over';
    if (!report) {
      await sleep(POLL_PAUSE_MS);
      return 'again';
    }
    if (hasVersion(report, model, version)) return 'over';
    if (report.isBusy) {
      // The engine carries out an order of this load that got no answer, or an
      // order for another model.
      if (target.isUnanswered) return this.watchLoad(target);
      await sleep(REPORT_LAG_MS);
      return 'again';
    }
    if (!(await this.deps.lease.announceOrder(entry.id))) return 'over';
    return this.handleAnswer(target, await this.order(target));
  }

  private async handleAnswer(
    target: LoadTarget,
    answer: OrderAnswer | 'none',
  ): Promise<LoadStep> {
    const {lease, fleet} = this.deps;
    const {entry, model, version} = target;
    switch (answer) {
      case 'accepted':
        fleet.countOrder(entry);
        return this.watchLoad(target);
      case 'holds_already':
        fleet.recordVersion(entry.id, model, version);
        return 'over';
      case 'fenced':
        lease.lease.invalidate();
        return 'over';
      case 'refused':
      case 'misdirected':
        return 'hopeless';
      case 'conflict':
        await sleep(REPORT_LAG_MS);
        return 'again';
      case 'none':
        target.isUnanswered = true;
        return 'again';
    }
  }

  /**
   * Waits for the end of a load. Items are sent to the engine once the expected
   * time is over: waiting for its report would leave it idle for a third of the
   * time of the load.
   */
  private async watchLoad(target: LoadTarget): Promise<LoadStep> {
    if (this.deps.isCapacityContended) {
      const {step, load} = await this.watch.watch(target);
      if (load) this.recordLoad(target, load);
      return step;
    }
    const {fleet} = this.deps;
    const {entry, model, version} = target;
    const startedMs = performance.now();
    await sleep(this.loadLimiter.expectedMs);
    if (this.isOutOfDate(entry)) return 'over';
    fleet.assumeLoaded(entry, model, version);
    let pollStartedMs = 0;
    for (let polls = 0; polls < MAX_POLLS; polls++) {
      pollStartedMs = performance.now();
      await sleep(POLL_PAUSE_MS);
      if (this.isOutOfDate(entry)) return 'over';
      const report = await this.deps.reports.fetch(entry);
      if (!report) continue;
      if (hasVersion(report, model, version)) {
        this.recordLoadTime(target, startedMs, pollStartedMs);
        return 'over';
      }
      if (!report.isBusy && polls >= SETTLED_POLLS) {
        fleet.recordVersion(entry.id, model, findVersion(report, model));
        return 'again';
      }
    }
    this.recordLoadTime(target, startedMs, pollStartedMs);
    return 'again';
  }

  /**
   * Records the measured time of a load. It is not known when the load ended if
   * the last poll took long, as on a busy VM, or when it began if an order got no
   * answer; such loads are not recorded.
   */
  private recordLoadTime(
    {entry, isUnanswered}: LoadTarget,
    startedMs: number,
    pollStartedMs: number,
  ): void {
    const nowMs = performance.now();
    if (isUnanswered || nowMs - pollStartedMs > MAX_POLL_MS) return;
    const endedMs = nowMs - REPORT_DELAY_MS;
    this.recordLoad({entry}, {startedMs, endedMs});
  }

  private recordLoad(
    {entry}: Pick<LoadTarget, 'entry'>,
    load: EndedLoad,
  ): void {
    const limit = this.limits.get(entry.service) ?? 0;
    const isFull = this.activeLoads.size >= limit;
    this.loadLimiter.recordLoad(load, limit, isFull);
  }

  private isOutOfDate(entry: EndpointEntry): boolean {
    const current = this.deps.roster.get(entry.id);
    return (
      this.isStopped || !current || current.startedAtMs !== entry.startedAtMs
    );
  }

  private async order(target: LoadTarget): Promise<OrderAnswer | 'none'> {
    const {entry, model, version, mode} = target;
    const {protocol, links, lease, fleet, incarnationId, logger} = this.deps;
    const {fencingToken} = lease.lease;
    const expectedOrders = fleet.getOrders(entry);
    const call = protocol.orderCall({
      endpointId: entry.id,
      model,
      version,
      mode,
      owner: incarnationId,
      fencingToken,
      expectedOrders,
    });
    const outcome = await callOnce(links.getAgent(entry), {
      ...call,
      host: entry.host,
      port: entry.port,
      timeoutMs: ORDER_TIMEOUT_MS,
      maxBytes: MAX_CONTROL_ANSWER_BYTES,
    });
    const answer =
      outcome.kind === 'answered'
        ? protocol.decodeOrderAnswer(outcome.status)
        : 'none';
    this.deps.metrics.count(`order_${answer}`);
    logger.log('info', 'order to an engine', {
      endpoint: entry.id,
      model,
      version,
      mode,
      fencingToken,
      expectedOrders,
      outcome: answer,
    });
    return answer;
  }
}

function isSingleVersion(model: string, table: RouteTable): boolean {
  return table.cfg.routes.some(({batch, services}) => {
    if (!batch?.singleVersion) return false;
    return services.some(({service}) =>
      table.getService(service)?.engine?.models.includes(model),
    );
  });
}
