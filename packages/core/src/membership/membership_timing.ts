/** Times and bounds of the membership protocol, with what each rests on. */

export const MEMBERSHIP_TIMING = {
  /** A neighbour not heard for this long is probed. */
  probePeriodMs: 1000,
  /** The second of two VMs that probe each other waits this much longer. */
  probeDelayMs: 300,
  /** Probe to a new connection: over ten times the slowest link between regions. */
  relinkAfterMs: 600,
  /** Probe to asking others. */
  indirectAfterMs: 1200,
  /** Probe to suspicion. */
  suspectAfterMs: 2200,
  /** Suspicion to failure: time for the VM to hear of it and answer. */
  failAfterMs: 2500,
  /** The same while this VM hears nobody, for then it is likely the one cut off. */
  failAfterIsolatedMs: 15_000,
  /** Hearing nobody for this long counts as cut off. */
  isolatedAfterMs: 2000,
  /** A gap between ticks that only a pause of this VM explains. */
  pausedAfterMs: 1000,
  /** One failed VM in turn is probed this often, so that a healed cut is seen. */
  probeFailedEveryMs: 2000,
  /** Failed VMs that the VM list does not name are kept this long. */
  forgetAfterMs: 600_000,
  /** Seeds are dialled this often while no other VM is known. */
  dialEveryMs: 1000,
  /** A VM that is not a neighbour and was not heard for this long is no contact. */
  contactIdleMs: 10_000,
  /** An unanswered request for config records goes to another VM after this. */
  configRetryMs: 700,
  /** News told this long before a connection was replaced is told again. */
  resendWindowMs: 3000,
  /** At most one announcement of urgent news in this time. */
  announceEveryMs: 300,
} as const;

export const MEMBERSHIP_LIMITS = {
  /** VMs known by name; about 200 bytes each. */
  directory: 1024,
  contacts: 64,
  /** VMs asked to probe a third. */
  helpers: 3,
  /** Pieces of news held for one contact. */
  outbox: 1024,
  rumoursPerMessage: 6,
  /** Rumours remembered so as not to be told twice. */
  seenRumours: 4096,
  membersPerMessage: 256,
  relays: 64,
} as const;
