/** Times and limits of the membership protocol, with their reasons. */

export const MEMBERSHIP_TIMING = {
  /** A neighbour is probed after this time without a payload from it. */
  probePeriodMs: 1000,
  /** Of two VMs that probe each other, one waits this much longer. */
  probeDelayMs: 300,
  /**
   * Time from a probe to a new connection: over ten times the latency of the
   * slowest link between regions.
   */
  relinkAfterMs: 600,
  /** Time from a probe to requesting probes by other VMs. */
  indirectAfterMs: 1200,
  /** Time from a probe to suspicion. */
  suspectAfterMs: 2200,
  /**
   * Time from suspicion to failure, in which the VM can receive and refute it.
   */
  failAfterMs: 2500,
  /**
   * The same time while this VM receives nothing, as it is then probably cut
   * off itself.
   */
  failAfterIsolatedMs: 15_000,
  /** A VM that receives nothing for this long counts as cut off. */
  isolatedAfterMs: 2000,
  /** A longer gap between ticks means that this VM was paused. */
  pausedAfterMs: 1000,
  /**
   * One random failed VM is probed this often, to detect a healed partition.
   */
  probeFailedEveryMs: 2000,
  /** Failed VMs that are not on the VM list are dropped after this time. */
  dropFailedAfterMs: 600_000,
  /** Interval at which one seed is dialled while no other VM is confirmed. */
  dialEveryMs: 1000,
  /**
   * A contact that is not a neighbour is dropped after this time of silence.
   */
  contactIdleMs: 10_000,
  /**
   * An unanswered request for config records is retried at another VM after
   * this.
   */
  configRetryMs: 700,
  /**
   * Rumours sent within this time before a connection was replaced are resent.
   */
  resendWindowMs: 3000,
  /** Minimum interval between announcements of urgent updates. */
  announceEveryMs: 300,
} as const;

export const MEMBERSHIP_LIMITS = {
  /** VMs in the directory; about 200 bytes each. */
  directory: 1024,
  contacts: 64,
  /** Number of VMs that are requested to probe a VM indirectly. */
  helpers: 3,
  /** Rumours queued for one contact. */
  outbox: 1024,
  rumoursPerMessage: 6,
  /** Rumours tracked so that none is spread twice. */
  seenRumours: 4096,
  membersPerMessage: 256,
  relays: 64,
} as const;
