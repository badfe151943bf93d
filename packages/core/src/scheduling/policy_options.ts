/** Defines the options with which experiments compare scheduling policies. */

export interface PolicyOptions {
  /** Starts a second attempt when one shows no progress. */
  readonly hedging: boolean;
  /** Moves stragglers to faster endpoints, resuming from their partial output. */
  readonly moving: boolean;
  /** Resumes from partial output after a failure. */
  readonly resuming: boolean;
  /** Counts a cached prompt prefix in the expected completion time. */
  readonly prefixAffinity: boolean;
  /** Starts the samples with the longest expected output first. */
  readonly longestFirst: boolean;
  /** Limits a step's running samples so that its longest are not slowed down. */
  readonly pacing: boolean;
  /**
   * Delays rollouts of a group to the next tick when a step's samples arrive,
   * so that they are ordered first.
   */
  readonly gathering: boolean;
  /** Allows one running suspect per endpoint instead of one per group. */
  readonly parallelQuarantine: boolean;
  /** Doesn't count a rollout's attempts that never reached an endpoint. */
  readonly forgiveUnsent: boolean;
  /** Predicts token times from a group-wide model of speed by number of streams. */
  readonly speedModel: boolean;
}

/** The default policy. */
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

/** The baseline with which experiments compare the default policy. */
export const BASELINE_POLICY: PolicyOptions = {
  ...DEFAULT_POLICY,
  hedging: true,
  pacing: false,
  gathering: false,
  parallelQuarantine: false,
  forgiveUnsent: false,
  speedModel: false,
};
