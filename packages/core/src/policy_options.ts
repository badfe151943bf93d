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
}

/** What is in use. */
export const DEFAULT_POLICY: PolicyOptions = {
  hedging: true,
  moving: true,
  resuming: true,
  prefixAffinity: true,
  longestFirst: true,
};
