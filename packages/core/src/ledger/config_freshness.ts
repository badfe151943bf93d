/**
 * Tracks whether a VM has recent confirmation that its configuration is the one
 * in force.
 */

import type {VmId} from '@radishyoke/shared/ids';

/** How sure a VM is that its configuration is current. */
export type ConfigFreshness =
  /** Recently confirmed: nothing newer had been accepted at that time. */
  | {readonly kind: 'current'}
  /** Not confirmed recently but still used; the VM serves and reports it. */
  | {
      readonly kind: 'uncertain';
      readonly sinceMs: number;
      readonly reason: UncertainReason;
    }
  /** Confirmed too long ago, or never: the VM must not be ready. */
  | {
      readonly kind: 'not_current';
      readonly sinceMs: number;
      readonly reason: UncertainReason;
    };

export type UncertainReason =
  /** No reachable VM can read the log: an outage, so nothing is accepted. */
  | 'log_down'
  /** Neither the log nor most other VMs can be reached: a network partition. */
  | 'cut_off'
  /** Another VM has records that this VM does not have. */
  | 'behind';

export interface ConfigFreshnessTiming {
  /** With an older confirmation the VM is no longer `current`. */
  readonly maxConfirmationAgeMs: number;
  /** How long a VM that reaches most others keeps serving without the log. */
  readonly logDownMs: number;
  /**
   * How long a VM that reaches neither the log nor most others keeps serving.
   */
  readonly cutOffMs: number;
}

/**
 * During a log outage no newer configuration can be accepted, so a VM may keep
 * serving for a long time. A VM that is cut off may miss configurations that
 * others accept, so it keeps serving only for the length of a transient fault.
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
 * Tracks when this VM's configuration was last confirmed, either by its own
 * read to the end of the stream or by another VM that made such a read and
 * holds the same offset. All times are this VM's monotonic ms; other VMs report
 * ages, never times of day.
 */
export class ConfigFreshnessTracker {
  private readonly peers = new Map<VmId, PeerReport>();
  private ownConfirmedAtMs = -Infinity;
  private ownNext = 0;

  constructor(
    private readonly timing: ConfigFreshnessTiming,
    private readonly startedAtMs: number,
  ) {}

  /** Records that this VM folded all records below `next`. */
  recordFolded(next: number): void {
    this.ownNext = Math.max(this.ownNext, next);
  }

  /** Records that this VM read to the end of the stream. */
  recordRead(next: number, nowMs: number): void {
    this.recordFolded(next);
    this.ownConfirmedAtMs = Math.max(this.ownConfirmedAtMs, nowMs);
  }

  /**
   * Records that this VM adopted the configuration of another VM. A VM that
   * starts during a log outage serves with the configuration of the others.
   */
  recordAdopted(next: number, nowMs: number): void {
    this.recordRead(next, nowMs);
  }

  /** Records a VM that reports its `next` offset but no confirmation. */
  recordPeerNext(vm: VmId, next: number, nowMs: number): void {
    this.recordPeerConfirmation(vm, next, Infinity, nowMs);
  }

  /**
   * Records that `vm` had its configuration up to `next` confirmed `ageMs` ago.
   */
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

  /** Returns the ms since the last confirmation, for reports to other VMs. */
  measureConfirmationAgeMs(nowMs: number): number {
    return nowMs - this.findConfirmedAtMs();
  }

  /**
   * Returns how current the configuration is; `otherVms` counts the live VMs
   * except this one.
   */
  assess(otherVms: number, nowMs: number): ConfigFreshness {
    const confirmedAtMs = this.findConfirmedAtMs();
    const {maxConfirmationAgeMs} = this.timing;
    if (nowMs - confirmedAtMs <= maxConfirmationAgeMs) return {kind: 'current'};
    const reason = this.findReason(otherVms, nowMs);
    const sinceMs = Math.max(confirmedAtMs, this.startedAtMs);
    const isWithinMaxAge =
      confirmedAtMs !== -Infinity &&
      nowMs - confirmedAtMs <= this.findMaxAgeMs(reason);
    return {
      kind: isWithinMaxAge ? 'uncertain' : 'not_current',
      sinceMs,
      reason,
    };
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
   * Time of the last confirmation. A VM that is ahead confirms nothing, because
   * the records that only it has may contain a newer configuration.
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
