/**
 * Delta coding of what a VM has in flight by endpoint. A connection delivers in
 * order, so changes since the last message on it are enough; a new connection
 * and every `FULL_EVERY_MS` start again from the whole.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import type {LoadDelta, LoadEntry} from './gossip_message.js';

/** Endpoints that one VM sends to, by works in flight; without zeroes. */
export type InFlight = ReadonlyMap<EndpointId, number>;

/** Bounds what an error in the delta coding could last. */
const FULL_INTERVAL_MS = 15_000;
/** Most entries a message; the greatest changes go first, the rest next time. */
const MAX_ENTRIES = 8;

/** The sending side of one connection. */
export class LoadDeltaEncoder {
  private sent = new Map<EndpointId, number>();
  private nextFullAtMs = 0;

  /** What to tell now; nothing when nothing changed. */
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

/** The receiving side: the sender's digest after `delta`. */
export function applyLoadDelta(current: InFlight, delta: LoadDelta): InFlight {
  const next = new Map(delta.full ? [] : current);
  for (const {endpoint, inFlight} of delta.entries) {
    if (inFlight === 0) next.delete(endpoint);
    else next.set(endpoint, inFlight);
  }
  return next;
}
