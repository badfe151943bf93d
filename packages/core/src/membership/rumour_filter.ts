/** Filters out rumours that this VM has already received. */

import type {Rumour} from './gossip_message.js';
import {MEMBERSHIP_LIMITS} from './membership_timing.js';
import {toRumourKey} from './outbox.js';

export class RumourFilter {
  private readonly seen = new Set<string>();

  /** Returns whether the rumour is new, and records it. */
  recordIfNew(rumour: Rumour): boolean {
    const occurrence = rumour.kind === 'silent_endpoint' ? rumour.seenAtMs : '';
    const key = `${toRumourKey(rumour)}:${occurrence}`;
    if (this.seen.has(key)) return false;
    this.seen.add(key);
    if (this.seen.size > MEMBERSHIP_LIMITS.seenRumours) {
      const [oldest] = this.seen;
      this.seen.delete(oldest);
    }
    return true;
  }
}
