/** Whether a VM can know that its configuration is the one in force. */

import type {VmId} from '@radishyoke/shared/ids';

/** What a VM can say of its configuration. */
export type ConfigFreshness =
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

export interface ConfigFreshnessTiming {
  /** Confirmations older than this leave the VM uncertain. */
  readonly maxConfirmationAgeMs: number;
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
export const DEFAULT_CONFIG_FRESHNESS_TIMING: ConfigFreshnessTiming = {
  maxConfirmationAgeMs: 6000,
  logDownMs: 300_000,
  cutOffMs: 30_000,
};

interface PeerReport {
  readonly next: number;
  readonly confirmedAtMs: number;
  readonly receivedAtMs: number;
}

/**
 * Keeps when this VM's configuration was last confirmed: by its own read to the
 * end of the stream, or by a VM that had done so and was no further. All times
 * are this VM's monotonic ms; what others tell is an age, never a time of day.
 */
export class ConfigFreshnessTracker {
  private readonly peers = new Map<VmId, PeerReport>();
  private ownConfirmedAtMs = -Infinity;
  private ownNext = 0;

  constructor(
    private readonly timing: ConfigFreshnessTiming,
    private readonly startedAtMs: number,
  ) {}

  /** This VM folded all records below `next`. */
  recordFolded(next: number): void {
    this.ownNext = Math.max(this.ownNext, next);
  }

  /** This VM read to the end of the stream. */
  recordRead(next: number, nowMs: number): void {
    this.recordFolded(next);
    this.ownConfirmedAtMs = Math.max(this.ownConfirmedAtMs, nowMs);
  }

  /**
   * This VM took its configuration from another one that trusts it. A VM that
   * starts while the log is down serves by what the others serve by.
   */
  recordAdopted(next: number, nowMs: number): void {
    this.recordRead(next, nowMs);
  }

  /** A VM is heard that tells of `next` and not of any confirmation. */
  recordPeerNext(vm: VmId, next: number, nowMs: number): void {
    this.recordPeerConfirmation(vm, next, Infinity, nowMs);
  }

  /** Another VM had its configuration, up to `next`, confirmed `ageMs` ago. */
  recordPeerConfirmation(
    vm: VmId,
    next: number,
    ageMs: number,
    nowMs: number,
  ): void {
    const report = {next, confirmedAtMs: nowMs - ageMs, receivedAtMs: nowMs};
    this.peers.set(vm, report);
  }

  dropPeer(vm: VmId): void {
    this.peers.delete(vm);
  }

  /** Ms since the last confirmation, to be told to other VMs. */
  measureConfirmationAgeMs(nowMs: number): number {
    return nowMs - this.findConfirmedAtMs();
  }

  /** `otherVms` counts the live VMs besides this one. */
  assess(otherVms: number, nowMs: number): ConfigFreshness {
    const confirmedAtMs = this.findConfirmedAtMs();
    const {maxConfirmationAgeMs} = this.timing;
    if (nowMs - confirmedAtMs <= maxConfirmationAgeMs) return {kind: 'current'};
    const reason = this.findReason(otherVms, nowMs);
    const sinceMs = Math.max(confirmedAtMs, this.startedAtMs);
    const isTrusted =
      confirmedAtMs !== -Infinity &&
      nowMs - confirmedAtMs <= this.findMaxAgeMs(reason);
    return {kind: isTrusted ? 'uncertain' : 'not_current', sinceMs, reason};
  }

  private findMaxAgeMs(reason: UncertainReason): number {
    const {logDownMs, cutOffMs} = this.timing;
    return reason === 'log_down' ? logDownMs : cutOffMs;
  }

  private findReason(otherVms: number, nowMs: number): UncertainReason {
    const recentReports = [...this.peers.values()].filter(
      report => nowMs - report.receivedAtMs <= this.timing.maxConfirmationAgeMs,
    );
    if (recentReports.some(report => report.next > this.ownNext))
      return 'behind';
    return recentReports.length * 2 >= otherVms ? 'log_down' : 'cut_off';
  }

  /**
   * A VM that is ahead confirms nothing: what it knows and this one does not may
   * be a newer configuration.
   */
  private findConfirmedAtMs(): number {
    let confirmedAtMs = this.ownConfirmedAtMs;
    for (const {
      next,
      confirmedAtMs: peerConfirmedAtMs,
    } of this.peers.values()) {
      if (next === this.ownNext)
        confirmedAtMs = Math.max(confirmedAtMs, peerConfirmedAtMs);
    }
    return confirmedAtMs;
  }
}
