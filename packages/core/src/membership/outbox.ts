/**
 * News that one contact is still to be told. Each piece goes to each contact
 * once, the newest first and a bounded number a message, so that a storm of
 * news slows old news down but neither fresh news nor the VM.
 */

import type {Rumour} from './gossip_message.js';
import {MEMBERSHIP_LIMITS, MEMBERSHIP_TIMING} from './membership_timing.js';

interface SentRumour {
  readonly rumour: Rumour;
  readonly sentAtMs: number;
}

export class Outbox {
  private readonly pending = new Map<string, Rumour>();
  private sent: SentRumour[] = [];

  /** Newer news about the same subject replaces the older. */
  add(rumour: Rumour): void {
    const key = toRumourKey(rumour);
    this.pending.delete(key);
    this.pending.set(key, rumour);
    if (this.pending.size <= MEMBERSHIP_LIMITS.outbox) return;
    const [oldest] = this.pending.keys();
    this.pending.delete(oldest);
  }

  /** The share of one message. */
  takeBatch(nowMs: number): readonly Rumour[] {
    if (this.pending.size === 0) return [];
    const chosen = [...this.pending.values()]
      .slice(-MEMBERSHIP_LIMITS.rumoursPerMessage)
      .reverse();
    for (const rumour of chosen) {
      this.pending.delete(toRumourKey(rumour));
      this.sent.push({rumour, sentAtMs: nowMs});
    }
    if (this.sent.length > MEMBERSHIP_LIMITS.outbox) this.sent.shift();
    return chosen;
  }

  /**
   * The connection was replaced. What was told on a connection that had gone
   * silent never arrived; it shows as a VM that misses a failure or a crash.
   * So all that was told since it can have gone silent is told again.
   */
  requeueRecent(nowMs: number): void {
    const sinceMs = nowMs - MEMBERSHIP_TIMING.resendWindowMs;
    const recent = this.sent.filter(entry => entry.sentAtMs >= sinceMs);
    this.sent = [];
    for (const {rumour} of recent) {
      if (!this.pending.has(toRumourKey(rumour))) this.add(rumour);
    }
  }
}

/** Names what a rumour is about. */
export function toRumourKey(rumour: Rumour): string {
  switch (rumour.kind) {
    case 'member':
      return `member:${rumour.member.id}`;
    case 'suspect_request':
      return `request:${rumour.fingerprint}`;
    case 'silent_endpoint':
      return `endpoint:${rumour.endpoint}`;
  }
}
