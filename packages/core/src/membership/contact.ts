/** What a VM keeps for each VM that it exchanges messages with. */

import type {InFlight} from './load_digest.js';
import {LoadDeltaEncoder} from './load_digest.js';
import type {Member} from './member.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {Outbox} from './outbox.js';

/** How far the probing of a VM that does not answer has gone. */
export type ProbeStage =
  'none' | 'asked' | 'relinked' | 'indirect' | 'given_up';

/** What is to be done next for a VM that does not answer. */
export type ProbeStep = 'ping' | 'relink' | 'indirect' | 'suspect' | 'retry';

export class Contact {
  lastReceivedMs: number;
  /** Last payload received, or sent unasked. */
  private lastPayloadMs: number;
  /** Offset of the first config record that the VM was last known to lack. */
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
    /** Of two VMs that probe each other one waits a little, so that one asks. */
    private readonly probeDelayMs: number,
  ) {
    // A contact made by the VM list alone is probed at once.
    this.lastReceivedMs = nowMs - MEMBERSHIP_TIMING.probePeriodMs;
    this.lastPayloadMs = this.lastReceivedMs;
  }

  recordMessage(nowMs: number): void {
    this.lastReceivedMs = nowMs;
    this.probeStage = 'none';
  }

  /** A payload came: the next one is due after a period. */
  recordPayload(nowMs: number): void {
    this.lastPayloadMs = nowMs;
  }

  /** `self`, unless this connection has carried it as it is. */
  takeUnsentSelf(self: Member): Member | undefined {
    if (this.sentSelf === self) return undefined;
    this.sentSelf = self;
    return self;
  }

  /** Forgets what the last connection was told, for a new one has begun. */
  resetConnection(nowMs: number): void {
    this.encoder = new LoadDeltaEncoder();
    this.outbox.requeueRecent(nowMs);
    this.sentSelf = undefined;
  }

  /**
   * Next step of the probe, if one is due. An open connection can go silent for
   * good while new ones work; it shows as a live VM that does not answer. So
   * silence first costs the connection, then others are asked, and only then is
   * the VM itself doubted.
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
