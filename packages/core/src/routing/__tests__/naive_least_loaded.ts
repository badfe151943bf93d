/** Reference implementation of the choice by load, to compare `LeastLoadedChoice` with. */

import type {EndpointCandidate} from '../endpoint_choice.js';

export function chooseNaively(
  endpoints: readonly EndpointCandidate[],
  tried: ReadonlySet<string>,
  dataCentre: string,
  random: number,
  nowMs: number,
): EndpointCandidate | undefined {
  const start = Math.floor(random * endpoints.length);
  const rotated = [...endpoints.slice(start), ...endpoints.slice(0, start)];
  const costs = rotated
    .filter(({id}) => !tried.has(id))
    .filter(({inFlight, slots}) => inFlight < slots + 2)
    .map(endpoint => {
      const load = Math.max(endpoint.inFlight, endpoint.reportedLoad);
      const avoidMs = Math.min(500 * 2 ** (endpoint.failures - 1), 4000);
      const isAvoided =
        endpoint.failures > 0 && nowMs - endpoint.failedAtMs < avoidMs;
      const remoteCost = endpoint.dataCentre === dataCentre ? 0 : 0.1;
      const cost =
        load / Math.max(endpoint.slots, 1) + remoteCost + (isAvoided ? 100 : 0);
      return {endpoint, cost};
    });
  const least = Math.min(...costs.map(({cost}) => cost));
  return costs.find(({cost}) => cost === least)?.endpoint;
}
