/**
 * What follows the end of an attempt at an endpoint, and when a second attempt
 * starts beside a slow one.
 */

/** How one attempt at an endpoint ended. */
export type AttemptEnd =
  | {readonly kind: 'answered'; readonly status: number}
  /** Certain: the endpoint did not run the request. */
  | {readonly kind: 'not_run'}
  /** It may have run. */
  | {readonly kind: 'unknown'};

export interface RequestTerms {
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Most endpoints that may run it. */
  readonly attempts: number;
  readonly objectiveMs: number;
}

export type NextStep =
  /** Pass the endpoint's answer on. */
  | {readonly kind: 'pass_on'}
  | {readonly kind: 'try_again'}
  /** Nothing ran and nothing will: a refusal is true. */
  | {readonly kind: 'refuse'}
  /** It may have run and may not be repeated, or no attempt is left. */
  | {readonly kind: 'fail'};

/** Share of the objective after which a second attempt starts beside the first: past nineteen in twenty answers, with time left for the second to be in time. */
const HEDGE_SHARE = 0.6;
/** A second attempt never starts sooner, ms. */
const MIN_HEDGE_MS = 60;
/** Refusals by endpoints that one request takes before it is refused itself; each costs a round trip. */
const MAX_REFUSALS = 4;

/** Tells what was done so far. */
export interface AttemptTally {
  /** Attempts that ran or may have run. */
  readonly ran: number;
  /** Attempts that an endpoint refused or that found none. */
  readonly notRun: number;
}

/** Decides after an attempt ended; `tally` counts it already. */
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

/** When a second attempt starts beside the first, ms after it; undefined for never. */
export function measureHedgeMs(terms: RequestTerms): number | undefined {
  if (!terms.isRepeatable || terms.attempts < 2) return undefined;
  return Math.max(terms.objectiveMs * HEDGE_SHARE, MIN_HEDGE_MS);
}
