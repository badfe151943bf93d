/**
 * Delta coding of the work items that a VM has in flight on each endpoint. A
 * connection delivers in order, so each message carries only the changes since
 * the last one. The complete state is sent on a new connection and every
 * `FULL_INTERVAL_MS`.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import type {LoadDelta, LoadEntry} from './gossip_message.js';

/** Work items in flight of one VM, by endpoint; zeroes are omitted. */
export type InFlight = ReadonlyMap<EndpointId, number>;

/** Limits how long an error in the delta coding can last. */
const FULL_INTERVAL_MS = 15_000;
/** Maximum entries per message; the largest changes are sent first. */
const MAX_ENTRIES = 8;

/** Encoder for the sending side of one connection. */
export class LoadDeltaEncoder {
  private sent = new Map<EndpointId, number>();
  private nextFullAtMs = 0;

  /** Returns the delta to send now; undefined if nothing changed. */
  encode(current: InFlight, nowMs: number): LoadDelta | undefined {
    const full = nowMs >= this.nextFullAtMs;
    if (full) {
      this.sent = new Map();
      this.nextFullAtMs = nowMs + FULL_INTERVAL_MS;
    }
    const entries = this.listChanges(current);
    for (const entry of entries) this.recordSent(entry);
    return full || entries.length > 0 ? {full, entries} : undefined;
  }

  private listChanges(current: InFlight): readonly LoadEntry[] {
    const changes: LoadEntry[] = [];
    for (const [endpoint, inFlight] of current) {
      if (this.sent.get(endpoint) !== inFlight) {
        changes.push({endpoint, inFlight});
      }
    }
    for (const endpoint of this.sent.keys()) {
      if (!current.has(endpoint)) changes.push({endpoint, inFlight: 0});
    }
    if (changes.length <= MAX_ENTRIES) return changes;
    return changes
      .sort((a, b) => this.measureChange(b) - this.measureChange(a))
      .slice(0, MAX_ENTRIES);
  }

  private measureChange(entry: LoadEntry): number {
    return Math.abs(entry.inFlight - (this.sent.get(entry.endpoint) ?? 0));
  }

  private recordSent(entry: LoadEntry): void {
    if (entry.inFlight === 0) this.sent.delete(entry.endpoint);
    else this.sent.set(entry.endpoint, entry.inFlight);
  }
}

/** Receiving side: returns the sender's load after `delta`. */
export function applyLoadDelta(current: InFlight, delta: LoadDelta): InFlight {
  const next = new Map(delta.full ? [] : current);
  for (const {endpoint, inFlight} of delta.entries) {
    if (inFlight === 0) next.delete(endpoint);
    else next.set(endpoint, inFlight);
  }
  return next;
}
