/** Switches by which experiments compare ways of deciding. */

export interface PolicyOptions {
  /** Second attempts for attempts that have gone quiet. */
  readonly hedging: boolean;
  /** Moving stragglers to faster endpoints by their partial output. */
  readonly moving: boolean;
  /** Going on from partial output after a failure. */
  readonly resuming: boolean;
  /** Counting a cached prefix in the expected time. */
  readonly prefixAffinity: boolean;
  /** Longest expected first within a step. */
  readonly longestFirst: boolean;
  /** Holding back samples so that a step's longest aren't slowed for nothing. */
  readonly pacing: boolean;
  /** Waiting for a tick before rollouts start, so that a step's best go first. */
  readonly gathering: boolean;
  /** One suspect per endpoint at a time, rather than one per group. */
  readonly parallelQuarantine: boolean;
  /** Attempts that never reached an endpoint don't count. */
  readonly forgiveUnsent: boolean;
  /** Speeds by the number of streams, learned for the group. */
  readonly speedModel: boolean;
}

/** What is in use. */
export const DEFAULT_POLICY: PolicyOptions = {
  hedging: false,
  moving: true,
  resuming: true,
  prefixAffinity: true,
  longestFirst: true,
  pacing: false,
  gathering: true,
  parallelQuarantine: true,
  forgiveUnsent: true,
  speedModel: true,
};

/** What was in use when this round of measuring began. */
export const BASELINE_POLICY: PolicyOptions = {
  ...DEFAULT_POLICY,
  hedging: true,
  pacing: false,
  gathering: false,
  parallelQuarantine: false,
  forgiveUnsent: false,
  speedModel: false,
};
