/**
 * Decides when reward calls start and on which endpoints. Plain endpoints also
 * serve apps, so some of their slots are kept free of reward calls.
 *
 * At the end of a step a burst of reward calls arrives, and each occupies a
 * slot for several times the total time allowed for an app's request.
 */

import type {Job} from '../batches/batch_job.js';
import type {RewardRequest} from '../batches/batch_record.js';
import {findBatchPauseMs} from '../crashes/batch_work.js';
import {
  chooseEndpoint,
  type EndpointCandidate,
} from '../routing/endpoint_choice.js';

/** Endpoints that a reward call may use under the current route. */
export interface RewardRoute {
  readonly endpoints: readonly EndpointCandidate[];
}

/**
 * Finds the route of the reward call of `job`; undefined if no route allows it
 * now.
 */
export type FindRewardRoute = (
  job: Job,
  reward: RewardRequest,
) => RewardRoute | undefined;

/** One reward call on one endpoint. */
export interface RewardCall {
  /** Unique across all VMs and their terms as coordinator. */
  readonly id: string;
  readonly job: Job;
  readonly reward: RewardRequest;
  readonly endpointId: string;
  readonly startedMs: number;
}

/** How a reward call ended. */
export type RewardEnd =
  | {readonly kind: 'scored'; readonly score: string}
  /** The endpoint answered that it failed. */
  | {readonly kind: 'failed'}
  /** The endpoint did not run it, or could not be reached. */
  | {readonly kind: 'not_run'}
  /** The connection broke, or the response was not valid. */
  | {readonly kind: 'broken'}
  /** Stopped by the scheduler. */
  | {readonly kind: 'cancelled'};

export type RewardAction =
  | {readonly kind: 'call'; readonly call: RewardCall}
  | {readonly kind: 'cancel'; readonly call: RewardCall};

/**
 * Slots of an endpoint that reward calls leave free; otherwise other requests
 * find none while most endpoints are down.
 */
const RESERVED_SLOTS = 2;
/** Assumed duration of a call before the first one ended, ms. */
const INITIAL_CALL_MS = 250;
/** Weight of a new sample in the typical duration. */
const SMOOTHING = 0.1;
/**
 * A second call starts when the first one takes this many times the typical
 * duration. One call in twenty takes that long anyway; the others are on a slow
 * or silent endpoint, which would delay a score by 3 s.
 */
const HEDGE_FACTOR = 2.2;
/** Concurrent calls for one item. */
const MAX_CALLS = 2;
/**
 * Pause after an endpoint did not run a call, ms; a slot becomes free after a
 * few of its requests.
 */
const REFUSED_PAUSE_MS = 60;
/** Consecutive broken calls after which the item's reward call pauses. */
const MAX_BREAKS = 3;

interface RewardState {
  readonly calls: Set<RewardCall>;
  /** Endpoints on which a call ended without a score. */
  readonly tried: Set<string>;
  breaks: number;
  /** Steady ms before which no further call starts. */
  notBeforeMs: number;
}

export class RewardScheduler {
  private readonly states = new Map<Job, RewardState>();
  private readonly callsByEndpoint = new Map<string, number>();
  private typicalMs = INITIAL_CALL_MS;
  private nextNumber = 1;

  /**
   * @param callPrefix Prefix of call ids that makes them unique across all
   *     schedulers, past ones included.
   */
  constructor(
    private readonly dataCentre: string,
    private readonly callPrefix: string,
  ) {}

  /**
   * Returns what to do now for `jobs`, ordered by urgency. Calls for any other
   * job are cancelled, as its batch has ended or it has a result.
   *
   * @param randomValue In [0, 1): spreads calls over equally good endpoints.
   */
  decide(
    jobs: readonly Job[],
    findRoute: FindRewardRoute,
    nowMs: number,
    randomValue: number,
  ): readonly RewardAction[] {
    const actions: RewardAction[] = this.cancelObsolete(new Set(jobs));
    const start = (job: Job) => {
      const call = this.startCall(job, findRoute, nowMs, randomValue);
      if (call) actions.push({kind: 'call', call});
    };
    for (const job of jobs) if (this.isDue(job, nowMs)) start(job);
    for (const job of jobs) if (this.isLate(job, nowMs)) start(job);
    return actions;
  }

  /** Handles the end of a call. */
  onCallEnd(call: RewardCall, end: RewardEnd, nowMs: number): void {
    const {job, endpointId, startedMs} = call;
    this.updateCallCount(endpointId, -1);
    const state = this.states.get(job);
    if (!state) return;
    state.calls.delete(call);
    if (end.kind === 'cancelled') return;
    if (end.kind === 'scored') {
      this.typicalMs += (nowMs - startedMs - this.typicalMs) * SMOOTHING;
      this.states.delete(job);
      return;
    }
    state.tried.add(endpointId);
    if (end.kind === 'not_run') {
      state.notBeforeMs = nowMs + REFUSED_PAUSE_MS;
      return;
    }
    state.breaks = end.kind === 'broken' ? state.breaks + 1 : 0;
    if (state.breaks >= MAX_BREAKS) {
      const further = state.breaks - MAX_BREAKS;
      state.notBeforeMs = nowMs + findBatchPauseMs(further);
    }
  }

  private cancelObsolete(jobs: ReadonlySet<Job>): RewardAction[] {
    const actions: RewardAction[] = [];
    for (const [job, {calls}] of this.states) {
      if (jobs.has(job)) continue;
      for (const call of calls) actions.push({kind: 'cancel', call});
      this.states.delete(job);
    }
    return actions;
  }

  private isDue(job: Job, nowMs: number): boolean {
    const state = this.getOrCreateState(job);
    return state.calls.size === 0 && nowMs >= state.notBeforeMs;
  }

  private isLate(job: Job, nowMs: number): boolean {
    const {calls, notBeforeMs} = this.getOrCreateState(job);
    if (calls.size === 0 || calls.size >= MAX_CALLS) return false;
    const [first] = calls;
    const hedgeAfterMs = this.typicalMs * HEDGE_FACTOR;
    return nowMs >= notBeforeMs && nowMs - first.startedMs > hedgeAfterMs;
  }

  private startCall(
    job: Job,
    findRoute: FindRewardRoute,
    nowMs: number,
    randomValue: number,
  ): RewardCall | undefined {
    const reward = job.item.reward;
    const endpoints = reward && findRoute(job, reward)?.endpoints;
    if (!reward || !endpoints) return undefined;
    const state = this.getOrCreateState(job);
    const busy = new Set([...state.calls].map(({endpointId}) => endpointId));
    const free = endpoints
      .filter(endpoint => this.hasRoom(endpoint) && !busy.has(endpoint.id))
      .map(endpoint => this.includeOwnCalls(endpoint));
    const pick = (tried: ReadonlySet<string>) =>
      chooseEndpoint(free, tried, this.dataCentre, randomValue, nowMs);
    // If all endpoints have been tried, the best of them is tried again.
    const endpoint = pick(state.tried) ?? pick(new Set());
    if (!endpoint) return undefined;
    const call: RewardCall = {
      id: `${this.callPrefix}-${this.nextNumber++}`,
      job,
      reward,
      endpointId: endpoint.id,
      startedMs: nowMs,
    };
    state.calls.add(call);
    this.updateCallCount(endpoint.id, 1);
    return call;
  }

  /** Includes calls that were decided on but have not been sent yet. */
  private includeOwnCalls(endpoint: EndpointCandidate): EndpointCandidate {
    const own = this.callsByEndpoint.get(endpoint.id) ?? 0;
    return {...endpoint, inFlight: Math.max(endpoint.inFlight, own)};
  }

  private hasRoom({id, slots}: EndpointCandidate): boolean {
    const room = Math.max(slots - RESERVED_SLOTS, 1);
    return (this.callsByEndpoint.get(id) ?? 0) < room;
  }

  private updateCallCount(endpointId: string, change: number): void {
    const count = (this.callsByEndpoint.get(endpointId) ?? 0) + change;
    if (count > 0) this.callsByEndpoint.set(endpointId, count);
    else this.callsByEndpoint.delete(endpointId);
  }

  private getOrCreateState(job: Job): RewardState {
    let state = this.states.get(job);
    if (!state) {
      state = {
        calls: new Set(),
        tried: new Set(),
        breaks: 0,
        notBeforeMs: -Infinity,
      };
      this.states.set(job, state);
    }
    return state;
  }
}
