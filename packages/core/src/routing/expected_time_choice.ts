/**
 * Chooses an endpoint by the expected time of the answer. Only two endpoints that are
 * drawn at random are compared, since VMs that see the same reports would otherwise all
 * choose the same endpoint.
 */

import {
  type ChoiceTerms,
  EndpointChoice,
  isAvoided,
  isFull,
} from './endpoint_choice.js';
import {
  SLOW_FROM,
  type SlowdownCause,
  type TimedCandidate,
} from './endpoint_record.js';

/** Why an endpoint was drawn but not chosen. */
export type PassOverReason =
  | SlowdownCause
  | 'busy'
  /** Requests usually take longer there than at the service's other endpoints. */
  | 'slow_usually';

/** Receives each endpoint that was drawn but not chosen. */
export type PassOverListener = (
  endpoint: TimedCandidate,
  reason: PassOverReason,
) => void;

/** Duration of a request that is assumed until one was measured, ms. */
const DEFAULT_REQUEST_MS = 50;
/** Added to the duration of a request at an endpoint in another data centre, ms, until it was measured. */
const REMOTE_TRIP_MS = 3;
/** Expected wait at an endpoint whose slots are just taken, in durations of a request; other VMs may choose it as well. */
const WAIT_WHEN_FULL = 0.25;

/** Chooses the better of two random endpoints by expected time. */
export class ExpectedTimeChoice extends EndpointChoice {
  /** @param onPassOver Called for an endpoint that was drawn but not chosen, if there is a reason to state. */
  constructor(private readonly onPassOver: PassOverListener = () => undefined) {
    super();
  }

  override choose(
    endpoints: readonly TimedCandidate[],
    terms: ChoiceTerms,
  ): TimedCandidate | undefined {
    const {tried, nowMs} = terms;
    const open = endpoints.filter(
      endpoint => !tried.has(endpoint.id) && !isFull(endpoint),
    );
    const sound = open.filter(endpoint => !isAvoided(endpoint, nowMs));
    const [first, second] = drawTwo(sound.length > 0 ? sound : open, terms);
    if (!first || !second) return first;
    const meanMs = measureMeanMs(endpoints);
    const firstMs = measureCompletionMs(first, terms.dataCentre, meanMs);
    const secondMs = measureCompletionMs(second, terms.dataCentre, meanMs);
    const isFirst = firstMs <= secondMs;
    const [chosen, other] = isFirst ? [first, second] : [second, first];
    const reason = findPassOverReason(other, meanMs);
    if (reason) this.onPassOver(other, reason);
    return chosen;
  }
}

/** Returns the ms within which `endpoint` is expected to answer a request that is sent now. */
export function expectCompletionMs(
  endpoint: TimedCandidate,
  endpoints: readonly TimedCandidate[],
  dataCentre: string,
): number {
  return measureCompletionMs(endpoint, dataCentre, measureMeanMs(endpoints));
}

/** Draws an endpoint of this data centre, if there is one, and another one of all. */
function drawTwo(
  endpoints: readonly TimedCandidate[],
  {dataCentre, random}: ChoiceTerms,
): readonly TimedCandidate[] {
  const near = endpoints.filter(endpoint => endpoint.dataCentre === dataCentre);
  const pool = near.length > 0 ? near : endpoints;
  const scaled = random * pool.length;
  const first = pool[Math.floor(scaled)];
  const others = endpoints.filter(endpoint => endpoint !== first);
  const second = others[Math.floor((scaled % 1) * others.length)];
  return [first, second].filter(endpoint => endpoint !== undefined);
}

/** Mean usual duration over the endpoints at which it is known, ms. */
function measureMeanMs(endpoints: readonly TimedCandidate[]): number {
  let sumMs = 0;
  let weight = 0;
  for (const {usualMs, confidence} of endpoints) {
    if (usualMs === undefined) continue;
    sumMs += usualMs * confidence;
    weight += confidence;
  }
  return weight > 0 ? sumMs / weight : DEFAULT_REQUEST_MS;
}

function measureCompletionMs(
  endpoint: TimedCandidate,
  dataCentre: string,
  meanMs: number,
): number {
  const {usualMs, confidence, slowdown} = endpoint;
  const tripMs = endpoint.dataCentre === dataCentre ? 0 : REMOTE_TRIP_MS;
  const unknownMs = meanMs + tripMs;
  const requestMs =
    usualMs === undefined
      ? unknownMs
      : unknownMs + (usualMs - unknownMs) * confidence;
  return requestMs * slowdown * (1 + measureWait(endpoint));
}

/** Returns the expected wait for a slot, in durations of a request. */
function measureWait({inFlight, othersLoad, slots}: TimedCandidate): number {
  const load = (inFlight + othersLoad) / Math.max(slots, 1);
  const queued = Math.max(load + 1 / Math.max(slots, 1) - 1, 0);
  return queued + Math.min(load, 1) * WAIT_WHEN_FULL;
}

/** Returns undefined for an endpoint that is about as good as others. */
function findPassOverReason(
  endpoint: TimedCandidate,
  meanMs: number,
): PassOverReason | undefined {
  if (endpoint.slowdownCause) return endpoint.slowdownCause;
  const isBusy = endpoint.inFlight + endpoint.othersLoad >= endpoint.slots;
  if (isBusy) return 'busy';
  const isSlow = (endpoint.usualMs ?? 0) > meanMs * SLOW_FROM;
  return isSlow ? 'slow_usually' : undefined;
}
