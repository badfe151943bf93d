/**
 * Rumours still to be sent to one contact. Each rumour is sent to each contact
 * once, newest first and a bounded number per message, so that a burst of
 * rumours delays old rumours but neither new ones nor the VM.
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

  /** Queues a rumour, replacing an older one about the same subject. */
  add(rumour: Rumour): void {
    const key = toRumourKey(rumour);
    this.pending.delete(key);
    this.pending.set(key, rumour);
    if (this.pending.size <= MEMBERSHIP_LIMITS.outbox) return;
    const [oldest] = this.pending.keys();
    this.pending.delete(oldest);
  }

  /** Removes and returns the rumours for one message. */
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
   * Queues recently sent rumours again after the connection was replaced.
   * Rumours sent on a connection that had gone silent never arrived, and the VM
   * would miss a failure or a crash. All rumours that may have been lost this
   * way are resent.
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

/** Returns a key for the subject of a rumour. */
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
