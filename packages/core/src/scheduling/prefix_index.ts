/**
 * Tracks which endpoints probably cache a prompt prefix: those that were sent it
 * or reported it, until they report its eviction or lose their cache.
 */

import type {EndpointState} from './endpoint_state.js';

/** Maximum number of endpoints stored per prefix, newest first. */
const MAX_HOLDERS = 2;
/** Maximum number of prefixes stored; the least recently recorded are dropped. */
const MAX_PREFIXES = 20_000;

interface Holder {
  readonly endpoint: EndpointState;
  /** The endpoint's cache epoch when this was recorded. */
  readonly cacheEpoch: number;
}

export class PrefixIndex {
  private readonly holders = new Map<string, readonly Holder[]>();

  record(prefixKey: string, endpoint: EndpointState): void {
    const current = this.holders.get(prefixKey);
    const {cacheEpoch} = endpoint;
    if (
      current?.[0].endpoint === endpoint &&
      current[0].cacheEpoch === cacheEpoch
    )
      return;
    const others = (current ?? []).filter(h => h.endpoint !== endpoint);
    this.holders.delete(prefixKey);
    this.holders.set(prefixKey, [
      {endpoint, cacheEpoch},
      ...others.slice(0, MAX_HOLDERS - 1),
    ]);
    if (this.holders.size > MAX_PREFIXES) {
      this.holders.delete(this.holders.keys().next().value!);
    }
  }

  remove(prefixKey: string, endpoint: EndpointState): void {
    const current = this.holders.get(prefixKey);
    const remaining = current?.filter(h => h.endpoint !== endpoint);
    if (!remaining || remaining.length === 0) this.holders.delete(prefixKey);
    else this.holders.set(prefixKey, remaining);
  }

  find(prefixKey: string): readonly EndpointState[] {
    const current = this.holders.get(prefixKey);
    if (!current) return [];
    return current
      .filter(h => h.cacheEpoch === h.endpoint.cacheEpoch)
      .map(h => h.endpoint);
  }
}
