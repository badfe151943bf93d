/** Probes that this VM sends for VMs that could not reach the target. */

import type {VmId} from '@radishyoke/shared/ids';
import {MEMBERSHIP_LIMITS, MEMBERSHIP_TIMING} from './membership_timing.js';

interface Relay {
  readonly requester: VmId;
  readonly expiresAtMs: number;
}

export class RelayTable {
  private readonly relays = new Map<VmId, Relay>();

  add(requester: VmId, target: VmId, nowMs: number): void {
    if (this.relays.size >= MEMBERSHIP_LIMITS.relays) this.relays.clear();
    const expiresAtMs = nowMs + MEMBERSHIP_TIMING.suspectAfterMs;
    this.relays.set(target, {requester, expiresAtMs});
  }

  /**
   * Removes the relay for `target`, which has sent a message; returns the VM to
   * inform unless the relay has expired.
   */
  takeRequester(target: VmId, nowMs: number): VmId | undefined {
    const relay = this.relays.get(target);
    this.relays.delete(target);
    return relay && nowMs <= relay.expiresAtMs ? relay.requester : undefined;
  }
}
