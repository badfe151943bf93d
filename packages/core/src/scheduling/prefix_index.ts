/**
 * Which endpoints are believed to hold a prompt's prefix: those that got it
 * from us or told of it, until they tell otherwise or lose their cache.
 */

import type {EndpointState} from './endpoint_state.js';

/** Endpoints remembered of one prefix, newest first. */
const MAX_HOLDERS = 2;
/** Prefixes remembered; the least recently used go first. */
const MAX_PREFIXES = 20_000;

interface Holder {
  readonly endpoint: EndpointState;
  /** The endpoint's cache epoch when this was learned. */
  readonly cacheEpoch: number;
}

export class PrefixIndex {
  private readonly holders = new Map<string, readonly Holder[]>();

  note(prefixKey: string, endpoint: EndpointState): void {
    const known = this.holders.get(prefixKey);
    const {cacheEpoch} = endpoint;
    if (known?.[0].endpoint === endpoint && known[0].cacheEpoch === cacheEpoch)
      return;
    const others = (known ?? []).filter(h => h.endpoint !== endpoint);
    this.holders.delete(prefixKey);
    this.holders.set(prefixKey, [
      {endpoint, cacheEpoch},
      ...others.slice(0, MAX_HOLDERS - 1),
    ]);
    if (this.holders.size > MAX_PREFIXES) {
      this.holders.delete(this.holders.keys().next().value!);
    }
  }

  drop(prefixKey: string, endpoint: EndpointState): void {
    const known = this.holders.get(prefixKey);
    const left = known?.filter(h => h.endpoint !== endpoint);
    if (!left || left.length === 0) this.holders.delete(prefixKey);
    else this.holders.set(prefixKey, left);
  }

  find(prefixKey: string): readonly EndpointState[] {
    const known = this.holders.get(prefixKey);
    if (!known) return [];
    return known
      .filter(h => h.cacheEpoch === h.endpoint.cacheEpoch)
      .map(h => h.endpoint);
  }
}
