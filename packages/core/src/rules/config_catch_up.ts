/**
 * Decides from whom a VM whose own log connection brings nothing takes the
 * config records it lacks. It asks one VM at a time, so that records do not
 * come many times over, and turns to another when no answer comes.
 */

import type {VmId} from '@radishyoke/shared/ids';
import {MEMBERSHIP_TIMING} from '../membership/membership_timing.js';

export class ConfigCatchUp {
  private next = 0;
  private highestSeen = 0;
  private requestedAtMs = -Infinity;
  private lastSource: VmId | undefined;

  /** Offset of the first record that this VM lacks. */
  ownNext(): number {
    return this.next;
  }

  /** Greatest offset that any VM told of, own included. */
  highestSeenNext(): number {
    return this.highestSeen;
  }

  /** This VM folded records up to `next`; says whether that is news. */
  advance(next: number): boolean {
    if (next <= this.next) return false;
    this.next = next;
    this.highestSeen = Math.max(this.highestSeen, next);
    this.requestedAtMs = -Infinity;
    return true;
  }

  /** A VM told of `next`; says whether that is the greatest so far. */
  recordPeerNext(next: number): boolean {
    if (next <= this.highestSeen) return false;
    this.highestSeen = next;
    return true;
  }

  /** The VM to ask now, out of those that are ahead. */
  chooseSource(ahead: readonly VmId[], nowMs: number): VmId | undefined {
    if (this.highestSeen <= this.next || ahead.length === 0) return undefined;
    if (nowMs - this.requestedAtMs < MEMBERSHIP_TIMING.configRetryMs) {
      return undefined;
    }
    const others = ahead.filter(vm => vm !== this.lastSource);
    this.lastSource = others[0] ?? ahead[0];
    this.requestedAtMs = nowMs;
    return this.lastSource;
  }
}
