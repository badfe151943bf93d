/**
 * Moves engines to new weights. One instance on the coordinator: it alone gives
 * orders, with the fencing token of its term. What an engine did is judged by
 * its own report, since an answer may be lost and an order carried out late.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {BatchScheduler} from '@radishyoke/core/batches/batch_scheduler';
import type {EngineView} from '@radishyoke/core/batches/engine_health';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {LoadLimiter} from '@radishyoke/core/fleet/load_limiter';
import {
  computeShare,
  type LoadCandidate,
  type ModelPlan,
  pickLoads,
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
  EngineReport,
  LoadMode,
  OrderAnswer,
} from '../endpoints/endpoint_protocol.js';
import type {EngineFleet} from './engine_fleet.js';
import type {EngineReports} from './engine_reports.js';
import {callOnce} from '../endpoints/http_call.js';
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
  /** Newest versions that trainers named. */
  readonly newestVersions: ReadonlyMap<string, number>;
  readonly metrics: GatewayMetrics;
  readonly vmName: string;
  readonly logger: EventLogger;
}

/** One engine that is to have one version. */
interface LoadTarget {
  readonly entry: EndpointEntry;
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
  /** Whether an order got no answer, and so may be carried out any time. */
  isUnanswered: boolean;
}

/** What all engines are judged by at one moment. */
interface FleetSnapshot {
  /** Steady ms. */
  readonly nowMs: number;
  /** Engines that are much slower than the others. */
  readonly slow: ReadonlySet<string>;
  readonly mayOrder: (engineId: string) => boolean;
}

/** What follows one try to load. */
type LoadStep = 'again' | 'over' | 'hopeless';

/** Engines that serve one model at least: one alone would stop its trainer when it loads or fails. */
const MIN_ENGINES = 2;
/** Runs that a model brings to an engine with its newest version. */
const RUNS_PER_MODEL = 8;
/** An engine answers an order in a few ms; without an answer the same order is sent again, which is void if the first was accepted. */
const ORDER_TIMEOUT_MS = 150;
/** Reports tell of the end of a load about this much late, ms. */
const REPORT_DELAY_MS = 250;
/** Pause between looks at the end of a load, ms. */
const POLL_PAUSE_MS = 150;
/** A look that takes longer than this, its pause included, says nothing of the length of a load, ms. */
const MAX_POLL_MS = 2 * POLL_PAUSE_MS;
/** After this many looks a report that shows no load and no new version is believed: it has caught up. */
const SETTLED_POLLS = 4;
/** Looks until a load is given up and begun anew. */
const MAX_POLLS = 24;
/** Reports lag by some hundred ms, so an order in conflict with another is judged this long after it, ms. */
const REPORT_LAG_MS = 450;
/** Orders to one engine that may go wrong in a row before it is left alone for a while. */
const MAX_TRIES = 6;
/** Pause after that, ms. */
const FAILED_ENGINE_PAUSE_MS = 1500;

export class WeightTask {
  /** Loads that go on, by engine. */
  private readonly activeLoads = new Map<string, LoadTarget>();
  private readonly pausedUntilMs = new Map<string, number>();
  private isStopped = false;
  private readonly pace = new LoadLimiter();
  /** Engines that may load at once, by service. */
  private readonly limits = new Map<string, number>();

  constructor(private readonly deps: WeightDeps) {}

  stop(): void {
    this.isStopped = true;
  }

  /** Starts whatever loads are due; called often. */
  tick(table: RouteTable, engines: readonly EngineView[]): void {
    if (this.isStopped) return;
    for (const service of table.engines) {
      const views = engines.filter(view => view.service === service.name);
      const limit = this.limitLoads(service.name, views.length);
      if (this.activeLoads.size >= limit) continue;
      for (const plan of rankModels(this.planModels(service, views))) {
        this.startLoads(plan, table, limit);
      }
    }
  }

  private limitLoads(service: string, engines: number): number {
    const limit = this.pace.computeLimit(engines);
    if (limit !== this.limits.get(service)) {
      this.limits.set(service, limit);
      const expectedMs = Math.round(this.pace.expectedMs);
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

  private startLoads(
    {model, candidates, need}: ModelPlan,
    table: RouteTable,
    limit: number,
  ): void {
    const {roster} = this.deps;
    const maxMore = limit - this.activeLoads.size;
    // What was just started for another model is out of reach.
    const open = candidates.map(candidate =>
      !candidate.isBusy && this.activeLoads.has(candidate.id)
        ? {...candidate, isBusy: true}
        : candidate,
    );
    for (const id of pickLoads(open, need, maxMore)) {
      const entry = roster.get(id);
      if (!entry) continue;
      const mode = isSingleVersion(model, table) ? 'wait' : 'keep';
      void this.load({
        entry,
        model,
        version: need.newest,
        mode,
        isUnanswered: false,
      });
    }
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
          isSound: !slow.has(id) && !scheduler.engineHealth.isFailing(id),
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

  /** Other models whose newest version an engine has: their runs will come there. */
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
    // Before the order: what runs there moves away first.
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

  /** One look at the engine, and one order if it is due. */
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
      // An order of ours that got no answer, or one for another model.
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
   * Waits for the end of a load. Items go to the engine as soon as it should be done: to wait for its report would leave it
   * idle for a third of the time that the load took.
   */
  private async watchLoad(target: LoadTarget): Promise<LoadStep> {
    const {fleet} = this.deps;
    const {entry, model, version} = target;
    const startedMs = performance.now();
    await sleep(this.pace.expectedMs);
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
   * A look that itself took long, as on a busy VM, does not tell when the load
   * ended, and an order that got no answer not when it began.
   */
  private recordLoadTime(
    {entry, isUnanswered}: LoadTarget,
    startedMs: number,
    pollStartedMs: number,
  ): void {
    const nowMs = performance.now();
    if (isUnanswered || nowMs - pollStartedMs > MAX_POLL_MS) return;
    const endedMs = nowMs - REPORT_DELAY_MS;
    const limit = this.limits.get(entry.service) ?? 0;
    const isFull = this.activeLoads.size >= limit;
    this.pace.recordLoad({startedMs, endedMs}, limit, isFull);
  }

  private isOutOfDate(entry: EndpointEntry): boolean {
    const current = this.deps.roster.get(entry.id);
    return (
      this.isStopped || !current || current.startedAtMs !== entry.startedAtMs
    );
  }

  private async order(target: LoadTarget): Promise<OrderAnswer | 'none'> {
    const {entry, model, version, mode} = target;
    const {protocol, links, lease, fleet, vmName, logger} = this.deps;
    const {fencingToken} = lease.lease;
    const expectedOrders = fleet.getOrders(entry);
    const call = protocol.orderCall({
      endpointId: entry.id,
      model,
      version,
      mode,
      owner: vmName,
      fencingToken,
      expectedOrders,
    });
    const outcome = await callOnce(links.open(entry), {
      ...call,
      host: entry.host,
      port: entry.port,
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    const answer =
      outcome.kind === 'answered'
        ? protocol.judgeOrder(outcome.status)
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

function findVersion(report: EngineReport, model: string): number {
  return report.models.find(each => each.model === model)?.version ?? 0;
}

function hasVersion(
  report: EngineReport,
  model: string,
  version: number,
): boolean {
  return findVersion(report, model) >= version;
}

function isSingleVersion(model: string, table: RouteTable): boolean {
  return table.cfg.routes.some(({batch, services}) => {
    if (!batch?.singleVersion) return false;
    return services.some(({service}) =>
      table.getService(service)?.engine?.models.includes(model),
    );
  });
}
