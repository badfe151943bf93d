/** Whether a VM can know that its configuration is the one in force. */

import type {VmId} from '@radishyoke/shared/ids';

/** What a VM can say of its configuration. */
export type Currency =
  /** Confirmed a short while ago: nothing newer was accepted by then. */
  | {readonly kind: 'current'}
  /** Not confirmed of late, but still trusted; VMs go on serving and say so. */
  | {
      readonly kind: 'uncertain';
      readonly sinceMs: number;
      readonly reason: UncertainReason;
    }
  /** No longer trusted, or never confirmed: the VM must not be ready. */
  | {
      readonly kind: 'not_current';
      readonly sinceMs: number;
      readonly reason: UncertainReason;
    };

export type UncertainReason =
  /** Nobody heard of can read the log: an outage, in which nothing is accepted. */
  | 'log_down'
  /** Neither the log nor most of the other VMs are heard: a cut network. */
  | 'cut_off'
  /** Another VM has records that this one lacks. */
  | 'behind';

export interface CurrencyTiming {
  /** Confirmations older than this leave the VM uncertain. */
  readonly confirmEveryMs: number;
  /** How long a VM that hears most others goes on without the log. */
  readonly logDownMs: number;
  /** How long a VM goes on that hears neither the log nor most others. */
  readonly cutOffMs: number;
}

/**
 * In an outage of the log nothing newer can be accepted, so staying up is right
 * for long. Cut off, a VM may miss what the others have accepted, so it stays up
 * for the time of a passing fault only.
 */
export const DEFAULT_CURRENCY_TIMING: CurrencyTiming = {
  confirmEveryMs: 6000,
  logDownMs: 300_000,
  cutOffMs: 30_000,
};

interface PeerWord {
  readonly next: number;
  readonly confirmedAtMs: number;
  readonly heardAtMs: number;
}

/**
 * Keeps when this VM's configuration was last confirmed: by its own read to the
 * end of the stream, or by a VM that had done so and was no further. All times
 * are this VM's monotonic ms; what others tell is an age, never a time of day.
 */
export class CurrencyTracker {
  private readonly peers = new Map<VmId, PeerWord>();
  private ownConfirmedAtMs = -Infinity;
  private ownNext = 0;

  constructor(
    private readonly timing: CurrencyTiming,
    private readonly startedAtMs: number,
  ) {}

  /** This VM folded all records below `next`. */
  noteFolded(next: number): void {
    this.ownNext = Math.max(this.ownNext, next);
  }

  /** This VM read to the end of the stream. */
  noteRead(next: number, nowMs: number): void {
    this.noteFolded(next);
    this.ownConfirmedAtMs = Math.max(this.ownConfirmedAtMs, nowMs);
  }

  /**
   * This VM took its configuration from another one that trusts it. A VM that
   * starts while the log is down serves by what the others serve by.
   */
  noteTaken(next: number, nowMs: number): void {
    this.noteRead(next, nowMs);
  }

  /** A VM is heard that tells of `next` and not of any confirmation. */
  noteHeard(vm: VmId, next: number, nowMs: number): void {
    this.notePeer(vm, next, Infinity, nowMs);
  }

  /** Another VM had its configuration, up to `next`, confirmed `ageMs` ago. */
  notePeer(vm: VmId, next: number, ageMs: number, nowMs: number): void {
    const word = {next, confirmedAtMs: nowMs - ageMs, heardAtMs: nowMs};
    this.peers.set(vm, word);
  }

  dropPeer(vm: VmId): void {
    this.peers.delete(vm);
  }

  /** Ms since the last confirmation, to be told to other VMs. */
  measureAgeMs(nowMs: number): number {
    return nowMs - this.findConfirmedAtMs();
  }

  /** `otherVms` counts the live VMs besides this one. */
  assess(otherVms: number, nowMs: number): Currency {
    const confirmedAtMs = this.findConfirmedAtMs();
    const {confirmEveryMs} = this.timing;
    if (nowMs - confirmedAtMs <= confirmEveryMs) return {kind: 'current'};
    const reason = this.findReason(otherVms, nowMs);
    const sinceMs = Math.max(confirmedAtMs, this.startedAtMs);
    const isTrusted =
      confirmedAtMs !== -Infinity &&
      nowMs - confirmedAtMs <= this.findTrustMs(reason);
    return {kind: isTrusted ? 'uncertain' : 'not_current', sinceMs, reason};
  }

  private findTrustMs(reason: UncertainReason): number {
    const {logDownMs, cutOffMs} = this.timing;
    return reason === 'log_down' ? logDownMs : cutOffMs;
  }

  private findReason(otherVms: number, nowMs: number): UncertainReason {
    const heard = [...this.peers.values()].filter(
      word => nowMs - word.heardAtMs <= this.timing.confirmEveryMs,
    );
    if (heard.some(word => word.next > this.ownNext)) return 'behind';
    return heard.length * 2 >= otherVms ? 'log_down' : 'cut_off';
  }

  /**
   * A VM that is ahead confirms nothing: what it knows and this one does not may
   * be a newer configuration.
   */
  private findConfirmedAtMs(): number {
    let confirmedAtMs = this.ownConfirmedAtMs;
    for (const {next, confirmedAtMs: atMs} of this.peers.values()) {
      if (next === this.ownNext) confirmedAtMs = Math.max(confirmedAtMs, atMs);
    }
    return confirmedAtMs;
  }
}
