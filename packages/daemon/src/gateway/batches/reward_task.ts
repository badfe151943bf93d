/**
 * Makes the reward calls of the coordinator. They start as soon as a text is
 * complete, without waiting until it is stored in the log.
 */

import type {Job} from '@radishyoke/core/batches/batch_job';
import type {RewardRequest} from '@radishyoke/core/batches/batch_record';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {
  type RewardCall,
  RewardScheduler,
  type RewardEnd,
} from '@radishyoke/core/rewards/reward_scheduler';
import {
  hashToUnitInterval,
  pickService,
  type Route,
} from '@radishyoke/core/routing/route_table';
import type {EventLogger} from '../../logger.js';
import type {CrashWatch} from '../crashes/crash_watch.js';
import {toWatchedEnd} from '../crashes/watched_request.js';
import {
  ENDPOINT_UNREACHABLE,
  EndpointExchange,
  type ExchangeOutcome,
  isSuccess,
} from '../endpoints/endpoint_exchange.js';
import type {EndpointLinks} from '../endpoints/endpoint_links.js';
import type {EndpointProtocol} from '../endpoints/endpoint_protocol.js';
import type {EndpointView} from '../endpoints/endpoint_view.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {fingerprintReward} from '../requests/request_fingerprints.js';
import type {ConfigHolder} from '../store/config_holder.js';

export interface RewardDeps {
  readonly roster: EndpointRoster;
  readonly links: EndpointLinks;
  readonly view: EndpointView;
  readonly protocol: EndpointProtocol;
  readonly config: ConfigHolder;
  readonly dataCentre: string;
  /** Unique for each time that a VM becomes the coordinator. */
  readonly termId: string;
  readonly crashes: CrashWatch;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
}

export interface RewardEvents {
  onScore(job: Job, score: string): void;
  /** An endpoint answered that the call failed. */
  onFailed(call: RewardCall): void;
  /** A call ended without a result for its job, so another call may start. */
  onFree(): void;
}

/** Time limit of one call if its rule has none, ms. */
const DEFAULT_TIMEOUT_MS = 3000;
/** Subtracted from the time limit to get the endpoint's deadline, ms, so that its answer can arrive in time. */
const ANSWER_TRAVEL_MS = 20;
/** The status of an endpoint that ran the call and failed. Other statuses, such as the endpoint's own time-out, may be temporary. */
const FAILED_STATUS = 500;

export class RewardTask {
  private readonly scheduler: RewardScheduler;
  private readonly exchanges = new Map<string, EndpointExchange>();
  private isStopped = false;

  constructor(
    private readonly deps: RewardDeps,
    private readonly events: RewardEvents,
  ) {
    this.scheduler = new RewardScheduler(deps.dataCentre, deps.termId);
  }

  /** Starts and cancels calls for `jobs`, which are ordered by urgency, the most urgent first. */
  decide(jobs: readonly Job[]): void {
    if (this.isStopped) return;
    const nowMs = performance.now();
    const find = (job: Job, reward: RewardRequest) =>
      this.findEndpoints(job, reward, nowMs);
    for (const action of this.scheduler.decide(
      jobs,
      find,
      nowMs,
      Math.random(),
    )) {
      if (action.kind === 'call') void this.run(action.call);
      else this.exchanges.get(action.call.id)?.abort();
    }
  }

  stop(): void {
    this.isStopped = true;
    for (const exchange of this.exchanges.values()) exchange.abort();
  }

  private findRoute({host, path}: RewardRequest): Route | undefined {
    return this.deps.config.table?.match(host, path);
  }

  private findEndpoints(job: Job, reward: RewardRequest, nowMs: number) {
    const {crashes} = this.deps;
    const getFingerprint = () => fingerprintReward(job, reward);
    if (
      crashes.isQuarantined(getFingerprint) ||
      crashes.isBeingChecked(getFingerprint)
    )
      return undefined;
    const route = this.findRoute(reward);
    const service = route && pickService(route, hashToUnitInterval(reward.id));
    if (service === undefined) return undefined;
    const {roster, view} = this.deps;
    const usable = roster.listUsable(service, nowMs);
    return {endpoints: usable.map(entry => view.describe(entry, nowMs))};
  }

  private async run(call: RewardCall): Promise<void> {
    const {roster, links, view, protocol} = this.deps;
    const entry = roster.get(call.endpointId);
    if (!entry) return this.scheduler.onCallEnd(call, {kind: 'not_run'}, now());
    this.logStart(call);
    const exchange = new EndpointExchange(
      links.getAgent(entry),
      protocol,
      entry,
      links.bodies,
    );
    this.exchanges.set(call.id, exchange);
    view.recordStart(entry);
    const outcome = await this.exchange(call, entry, exchange);
    view.recordEnd(entry);
    const isCancelled = !this.exchanges.delete(call.id) || exchange.isAborted;
    const end = isCancelled
      ? {kind: 'cancelled' as const}
      : classifyOutcome(outcome);
    // Some texts can not be scored by any endpoint, so a failed call does not
    // count against this one.
    const reflectsEndpoint = end.kind !== 'cancelled' && end.kind !== 'failed';
    if (reflectsEndpoint) view.recordOutcome(entry, outcome, now());
    if (outcome.kind === 'unknown') links.closeIdle(entry.id);
    this.finish(call, end, describeOutcome(outcome));
  }

  private async exchange(
    {job, reward}: RewardCall,
    entry: EndpointEntry,
    exchange: EndpointExchange,
  ): Promise<ExchangeOutcome> {
    const {crashes} = this.deps;
    const getFingerprint = () => fingerprintReward(job, reward);
    const maySend = await crashes.maySendTo(entry, getFingerprint);
    if (!maySend || exchange.isAborted) return ENDPOINT_UNREACHABLE;
    const watched = crashes.recordStart(entry, getFingerprint);
    const timeoutMs = this.computeTimeoutMs(job, reward);
    const timer = setTimeout(() => exchange.giveUp(), timeoutMs);
    const headers = this.deps.protocol.rewardHeaders(reward, {
      endpointId: entry.id,
      deadlineMs: Math.max(Math.floor(timeoutMs - ANSWER_TRAVEL_MS), 1),
      caller: this.deps.config.describeOwner(job.batch.batch.account),
    });
    const outcome = await exchange.run({
      method: 'POST',
      path: reward.path,
      headers,
      body: reward.body,
      attemptId: reward.id,
    });
    clearTimeout(timer);
    watched.end(toWatchedEnd(outcome.kind, exchange.isEndedLocally));
    return outcome;
  }

  private computeTimeoutMs(job: Job, reward: RewardRequest): number {
    const routeMs = this.findRoute(reward)?.timeoutMs || DEFAULT_TIMEOUT_MS;
    const remainingMs = (job.batch.terms?.giveUpAtMs ?? Infinity) - now();
    return Math.max(Math.min(routeMs, remainingMs), ANSWER_TRAVEL_MS);
  }

  private finish(call: RewardCall, end: RewardEnd, detail: string): void {
    this.scheduler.onCallEnd(call, end, now());
    this.deps.metrics.count(`reward_${end.kind}`);
    this.logEnd(call, end, detail);
    if (this.isStopped) return;
    const {job} = call;
    switch (end.kind) {
      case 'scored':
        this.events.onScore(job, end.score);
        return;
      case 'failed':
        this.events.onFailed(call);
        return;
      default:
        this.events.onFree();
    }
  }

  /** Returns the number of failures after which the job is given up: the larger limit of the item's rule and the call's rule. */
  findMaxAttempts({item, batch}: Job): number {
    const own = item.reward && this.findRoute(item.reward)?.attempts;
    return Math.max(own ?? 1, batch.terms?.attempts ?? 1);
  }

  private logStart({job, reward, endpointId}: RewardCall): void {
    this.deps.logger.log('info', 'reward call started', {
      requestId: job.item.id,
      batch: job.batch.batch.id,
      call: reward.id,
      endpoint: endpointId,
      rule: this.findRoute(reward)?.name,
      configVersion: this.deps.config.version,
    });
  }

  private logEnd(call: RewardCall, end: RewardEnd, detail: string): void {
    const {id, job, reward, endpointId, startedMs} = call;
    this.deps.logger.log('info', 'reward call ended', {
      requestId: job.item.id,
      batch: job.batch.batch.id,
      call: reward.id,
      attempt: id,
      endpoint: endpointId,
      outcome: end.kind,
      detail,
      tookMs: Math.round(now() - startedMs),
      fingerprint:
        end.kind === 'broken' ? fingerprintReward(job, reward) : undefined,
    });
  }
}

function now(): number {
  return performance.now();
}

function classifyOutcome(outcome: ExchangeOutcome): RewardEnd {
  switch (outcome.kind) {
    case 'answered': {
      const {status, metadata} = outcome.answer;
      const {stamp} = metadata;
      if (isSuccess(status) && stamp !== undefined) {
        return {kind: 'scored', score: stamp};
      }
      return {kind: status === FAILED_STATUS ? 'failed' : 'not_run'};
    }
    case 'not_executed':
    case 'unsent':
      return {kind: 'not_run'};
    case 'unknown':
      return {kind: 'broken'};
  }
}

function describeOutcome(outcome: ExchangeOutcome): string {
  if (outcome.kind !== 'answered') return outcome.detail;
  return `status ${outcome.answer.status}`;
}
