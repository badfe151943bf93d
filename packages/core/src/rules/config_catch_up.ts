/**
 * Chooses the VM from which this VM requests missing config records while its
 * own log connection delivers none. A request goes to only one VM at a time, so
 * that records are not transferred repeatedly; if it does not answer, the next
 * request goes to another one.
 */

import type {VmId} from '@radishyoke/shared/ids';
import {MEMBERSHIP_TIMING} from '../membership/membership_timing.js';

export class ConfigCatchUp {
  private next = 0;
  private highestSeen = 0;
  private requestedAtMs = -Infinity;
  private lastSource: VmId | undefined;

  /** Returns the offset of the first record that this VM is missing. */
  ownNext(): number {
    return this.next;
  }

  /** Returns the highest such offset reported by any VM, including this one. */
  highestSeenNext(): number {
    return this.highestSeen;
  }

  /**
   * Records that this VM applied all records before `next`; returns whether
   * that is progress.
   */
  advance(next: number): boolean {
    if (next <= this.next) return false;
    this.next = next;
    this.highestSeen = Math.max(this.highestSeen, next);
    this.requestedAtMs = -Infinity;
    return true;
  }

  /**
   * Records the offset that another VM reported; returns whether it is the
   * highest so far.
   */
  recordPeerNext(next: number): boolean {
    if (next <= this.highestSeen) return false;
    this.highestSeen = next;
    return true;
  }

  /**
   * Returns the VM of `ahead` to send a request to now, or undefined to wait.
   */
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
