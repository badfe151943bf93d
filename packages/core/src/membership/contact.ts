/** State that a VM stores for each VM that it exchanges messages with. */

import type {InFlight} from './load_delta.js';
import {LoadDeltaEncoder} from './load_delta.js';
import type {Member} from './member.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {Outbox} from './outbox.js';

/** Progress of probing a VM that does not answer. */
export type ProbeStage =
  'none' | 'asked' | 'relinked' | 'indirect' | 'given_up';

/** Next action for a VM that does not answer. */
export type ProbeStep = 'ping' | 'relink' | 'indirect' | 'suspect' | 'retry';

export class Contact {
  lastReceivedMs: number;
  /** Time of the last payload received or probe sent. */
  private lastPayloadMs: number;
  /**
   * Offset of the first config record that the VM did not have, as last
   * reported.
   */
  configNext = 0;
  peerInFlight: InFlight = new Map();
  encoder = new LoadDeltaEncoder();
  readonly outbox = new Outbox();
  private sentSelf: Member | undefined;
  private probeStage: ProbeStage = 'none';
  private probeStartedMs = 0;
  private lastPingMs = 0;

  constructor(
    nowMs: number,
    /**
     * Extra wait of one of two VMs that probe each other, so only one probes.
     */
    private readonly probeDelayMs: number,
  ) {
    // A new contact counts as silent for one period, so it is probed at once.
    this.lastReceivedMs = nowMs - MEMBERSHIP_TIMING.probePeriodMs;
    this.lastPayloadMs = this.lastReceivedMs;
  }

  recordMessage(nowMs: number): void {
    this.lastReceivedMs = nowMs;
    this.probeStage = 'none';
  }

  /** Records a received payload, which postpones the next probe by a period. */
  recordPayload(nowMs: number): void {
    this.lastPayloadMs = nowMs;
  }

  /** Returns `self` unless it was already sent unchanged on this connection. */
  takeUnsentSelf(self: Member): Member | undefined {
    if (this.sentSelf === self) return undefined;
    this.sentSelf = self;
    return self;
  }

  /**
   * Resets what was sent on the last connection, because a new one has opened.
   */
  resetConnection(nowMs: number): void {
    this.encoder = new LoadDeltaEncoder();
    this.outbox.requeueRecent(nowMs);
    this.sentSelf = undefined;
  }

  /**
   * Returns the next step of the probe if one is due. An open connection can go
   * silent for good while new ones work, so that a live VM seems unresponsive.
   * Silence therefore first replaces the connection, then triggers probes by
   * other VMs, and only then makes the VM suspected.
   */
  advanceProbe(nowMs: number): ProbeStep | undefined {
    const timing = MEMBERSHIP_TIMING;
    const waitedMs = nowMs - this.probeStartedMs;
    switch (this.probeStage) {
      case 'none':
        if (
          nowMs - this.lastPayloadMs <
          timing.probePeriodMs + this.probeDelayMs
        ) {
          return undefined;
        }
        this.probeStartedMs = nowMs;
        return this.enterStage('asked', 'ping', nowMs);
      case 'asked':
        if (waitedMs < timing.relinkAfterMs) return undefined;
        return this.enterStage('relinked', 'relink', nowMs);
      case 'relinked':
        if (waitedMs < timing.indirectAfterMs) return undefined;
        return this.enterStage('indirect', 'indirect', nowMs);
      case 'indirect':
        if (waitedMs < timing.suspectAfterMs) return undefined;
        return this.enterStage('given_up', 'suspect', nowMs);
      case 'given_up':
        if (nowMs - this.lastPingMs < timing.probePeriodMs) return undefined;
        return this.enterStage('given_up', 'retry', nowMs);
    }
  }

  private enterStage(
    stage: ProbeStage,
    step: ProbeStep,
    nowMs: number,
  ): ProbeStep {
    this.probeStage = stage;
    this.lastPingMs = nowMs;
    this.lastPayloadMs = nowMs;
    return step;
  }
}
