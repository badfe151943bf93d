/** Picks an endpoint of a plain service for one attempt. */

/** An endpoint as the choice sees it. */
export interface EndpointCandidate {
  readonly id: string;
  readonly slots: number;
  readonly dataCentre: string;
  /** Requests of this VM that are in flight there. */
  readonly inFlight: number;
  /** Requests that it said run and wait there, all VMs together. */
  readonly reportedLoad: number;
  /** Attempts in a row that failed for the endpoint's own reasons. */
  readonly failures: number;
  /** Steady ms of the last such failure. */
  readonly failedAtMs: number;
}

/** An endpoint that failed is avoided for this long a failure, ms, up to the next figure. */
const AVOID_MS = 500;
const MAX_AVOID_MS = 4000;
/** What another data centre costs against a free slot of ten: near ones first while they are about as free. */
const REMOTE_COST = 0.1;
/** An avoided endpoint is worse than any full one, but better than none. */
const AVOID_COST = 100;

/** Requests that one VM keeps at an endpoint beyond its slots. More would only wait there, and all VMs together must stay below the connections it takes. */
const MAX_QUEUED_PER_ENDPOINT = 2;

/**
 * The least loaded endpoint that `tried` does not hold; undefined where none is
 * left. `draw` in [0, 1) breaks ties, so that VMs with the same view spread.
 */
export function chooseEndpoint(
  endpoints: readonly EndpointCandidate[],
  tried: ReadonlySet<string>,
  dataCentre: string,
  random: number,
  nowMs: number,
): EndpointCandidate | undefined {
  let best: EndpointCandidate | undefined;
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

function isFull({inFlight, slots}: EndpointCandidate): boolean {
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

function isAvoided(endpoint: EndpointCandidate, nowMs: number): boolean {
  if (endpoint.failures === 0) return false;
  const avoidMs = Math.min(
    AVOID_MS * 2 ** (endpoint.failures - 1),
    MAX_AVOID_MS,
  );
  return nowMs - endpoint.failedAtMs < avoidMs;
}
