/** Chooses the endpoint of a plain service for one attempt. */

import type {TimedCandidate} from './endpoint_record.js';

/** The properties of an endpoint that affect the choice. */
export interface EndpointCandidate {
  readonly id: string;
  readonly slots: number;
  readonly dataCentre: string;
  /** This VM's requests in flight on the endpoint. */
  readonly inFlight: number;
  /** Requests of all VMs that the endpoint reported as running or waiting. */
  readonly reportedLoad: number;
  /** Consecutive attempts that failed for a fault of the endpoint. */
  readonly failures: number;
  /** Time of the last such failure on the monotonic clock, ms. */
  readonly failedAtMs: number;
}

/** The circumstances of one choice. */
export interface ChoiceTerms {
  /** Endpoints that may not be chosen. */
  readonly tried: ReadonlySet<string>;
  /** This VM's data centre. */
  readonly dataCentre: string;
  /** Uniform in [0, 1). */
  readonly random: number;
  readonly nowMs: number;
}

/** A way to choose among the usable endpoints of a service. */
export abstract class EndpointChoice {
  /** Returns undefined if no endpoint may be chosen. */
  abstract choose(
    endpoints: readonly TimedCandidate[],
    terms: ChoiceTerms,
  ): TimedCandidate | undefined;
}

/**
 * Time for which an endpoint is avoided after a failure, ms; doubles with each
 * further failure up to the maximum.
 */
const AVOID_MS = 500;
const MAX_AVOID_MS = 4000;
/**
 * Cost of another data centre, equal to a load of one slot in ten, so that near
 * endpoints are preferred at similar load.
 */
const REMOTE_COST = 0.1;
/**
 * Cost of an avoided endpoint, higher than that of any load; it is still chosen
 * if there is no other.
 */
const AVOID_COST = 100;

/**
 * Requests that one VM sends to an endpoint beyond its slots. More would only
 * wait there, and all VMs together must stay below the endpoint's connection
 * limit.
 */
const MAX_QUEUED_PER_ENDPOINT = 2;

/** Chooses the least loaded endpoint, however long requests take there. */
export class LeastLoadedChoice extends EndpointChoice {
  override choose(
    endpoints: readonly TimedCandidate[],
    {tried, dataCentre, random, nowMs}: ChoiceTerms,
  ): TimedCandidate | undefined {
    return chooseEndpoint(endpoints, tried, dataCentre, random, nowMs);
  }
}

/**
 * Returns the least loaded endpoint that is not in `tried`; undefined if none is
 * left. `random` in [0, 1) breaks ties, so that VMs with the same view choose
 * different endpoints.
 */
export function chooseEndpoint<Candidate extends EndpointCandidate>(
  endpoints: readonly Candidate[],
  tried: ReadonlySet<string>,
  dataCentre: string,
  random: number,
  nowMs: number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCost = Infinity;
  const start = Math.floor(random * endpoints.length);
  for (let i = 0; i < endpoints.length; i++) {
    const endpoint = endpoints[(start + i) % endpoints.length];
    if (tried.has(endpoint.id) || isFull(endpoint)) continue;
    const cost = measureCost(endpoint, dataCentre, nowMs);
    if (cost < bestCost) {
      best = endpoint;
      bestCost = cost;
    }
  }
  return best;
}

/** Whether this VM may send no further request to the endpoint. */
export function isFull({inFlight, slots}: EndpointCandidate): boolean {
  return inFlight >= slots + MAX_QUEUED_PER_ENDPOINT;
}

function measureCost(
  endpoint: EndpointCandidate,
  dataCentre: string,
  nowMs: number,
): number {
  const load = Math.max(endpoint.inFlight, endpoint.reportedLoad);
  const remoteCost = endpoint.dataCentre === dataCentre ? 0 : REMOTE_COST;
  const avoidCost = isAvoided(endpoint, nowMs) ? AVOID_COST : 0;
  return load / Math.max(endpoint.slots, 1) + remoteCost + avoidCost;
}

/** Whether the endpoint failed so recently that others go first. */
export function isAvoided(endpoint: EndpointCandidate, nowMs: number): boolean {
  if (endpoint.failures === 0) return false;
  const avoidMs = Math.min(
    AVOID_MS * 2 ** (endpoint.failures - 1),
    MAX_AVOID_MS,
  );
  return nowMs - endpoint.failedAtMs < avoidMs;
}
