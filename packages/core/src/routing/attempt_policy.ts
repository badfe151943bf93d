/**
 * Decides what follows the end of an attempt on an endpoint, and when a slow
 * attempt is hedged by a second one.
 */

/** How one attempt on an endpoint ended. */
export type AttemptEnd =
  | {readonly kind: 'answered'; readonly status: number}
  /** The endpoint certainly did not run the request. */
  | {readonly kind: 'not_run'}
  /** The request may have run. */
  | {readonly kind: 'unknown'};

export interface RequestTerms {
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Maximum number of endpoints that may run it. */
  readonly attempts: number;
  readonly objectiveMs: number;
}

export type NextStep =
  /** Pass the endpoint's answer on to the caller. */
  | {readonly kind: 'pass_on'}
  | {readonly kind: 'try_again'}
  /** Respond that the request did not run, which is certain. */
  | {readonly kind: 'refuse'}
  /**
   * Report a failure: the request may have run, and it may not be repeated or
   * no attempt is left.
   */
  | {readonly kind: 'fail'};

/**
 * Share of the objective after which a request is hedged: 95% of answers have
 * arrived by then, and the second attempt can still meet the objective.
 */
const HEDGE_SHARE = 0.6;
/** Minimum delay before a hedge, ms. */
const MIN_HEDGE_MS = 60;
/** Refusals after which a request is not retried; each costs a round trip. */
const MAX_REFUSALS = 4;

/** Counts of a request's attempts so far. */
export interface AttemptTally {
  /** Attempts that ran or may have run. */
  readonly ran: number;
  /** Attempts that an endpoint refused or for which there was no endpoint. */
  readonly notRun: number;
}

/** Decides what follows an attempt that ended; `tally` includes it. */
export function decideNextStep(
  terms: RequestTerms,
  end: AttemptEnd,
  tally: AttemptTally,
): NextStep {
  if (end.kind === 'answered') {
    const isFailure = end.status >= 500;
    if (!isFailure || !terms.isRepeatable) return {kind: 'pass_on'};
    return tally.ran < terms.attempts ? {kind: 'try_again'} : {kind: 'pass_on'};
  }
  if (end.kind === 'not_run') {
    if (tally.notRun < MAX_REFUSALS) return {kind: 'try_again'};
    return {kind: tally.ran === 0 ? 'refuse' : 'fail'};
  }
  if (!terms.isRepeatable || tally.ran >= terms.attempts) return {kind: 'fail'};
  return {kind: 'try_again'};
}

/**
 * Returns the ms after the first attempt's start at which a hedge starts;
 * undefined for none.
 */
export function measureHedgeMs(terms: RequestTerms): number | undefined {
  if (!terms.isRepeatable || terms.attempts < 2) return undefined;
  return Math.max(terms.objectiveMs * HEDGE_SHARE, MIN_HEDGE_MS);
}
