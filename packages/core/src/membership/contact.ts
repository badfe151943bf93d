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
  lastHeardMs: number;
  /** Last payload received, or sent unasked. */
  private exchangedAtMs: number;
  /** Offset of the first config record that the VM was last known to lack. */
  configNext = 0;
  received: InFlight = new Map();
  encoder = new LoadDeltaEncoder();
  readonly outbox = new Outbox();
  private toldSelf: Member | undefined;
  private stage: ProbeStage = 'none';
  private startedMs = 0;
  private lastPingMs = 0;

  constructor(
    nowMs: number,
    /** Of two VMs that probe each other one waits a little, so that one asks. */
    private readonly patienceMs: number,
  ) {
    // A contact made by the VM list alone is probed at once.
    this.lastHeardMs = nowMs - MEMBERSHIP_TIMING.periodMs;
    this.exchangedAtMs = this.lastHeardMs;
  }

  hear(nowMs: number): void {
    this.lastHeardMs = nowMs;
    this.stage = 'none';
  }

  /** A payload came: the next one is due after a period. */
  exchange(nowMs: number): void {
    this.exchangedAtMs = nowMs;
  }

  /** `self`, unless this connection has carried it as it is. */
  introduce(self: Member): Member | undefined {
    if (this.toldSelf === self) return undefined;
    this.toldSelf = self;
    return self;
  }

  /** Forgets what the last connection was told, for a new one has begun. */
  resetLink(nowMs: number): void {
    this.encoder = new LoadDeltaEncoder();
    this.outbox.repeat(nowMs);
    this.toldSelf = undefined;
  }

  /**
   * Next step of the probe, if one is due. An open connection can go silent for
   * good while new ones work; it shows as a live VM that does not answer. So
   * silence first costs the connection, then others are asked, and only then is
   * the VM itself doubted.
   */
  advance(nowMs: number): ProbeStep | undefined {
    const timing = MEMBERSHIP_TIMING;
    const waitedMs = nowMs - this.startedMs;
    switch (this.stage) {
      case 'none':
        if (nowMs - this.exchangedAtMs < timing.periodMs + this.patienceMs) {
          return undefined;
        }
        this.startedMs = nowMs;
        return this.enter('asked', 'ping', nowMs);
      case 'asked':
        if (waitedMs < timing.relinkAfterMs) return undefined;
        return this.enter('relinked', 'relink', nowMs);
      case 'relinked':
        if (waitedMs < timing.indirectAfterMs) return undefined;
        return this.enter('indirect', 'indirect', nowMs);
      case 'indirect':
        if (waitedMs < timing.suspectAfterMs) return undefined;
        return this.enter('given_up', 'suspect', nowMs);
      case 'given_up':
        if (nowMs - this.lastPingMs < timing.periodMs) return undefined;
        return this.enter('given_up', 'retry', nowMs);
    }
  }

  private enter(stage: ProbeStage, step: ProbeStep, nowMs: number): ProbeStep {
    this.stage = stage;
    this.lastPingMs = nowMs;
    this.exchangedAtMs = nowMs;
    return step;
  }
}
