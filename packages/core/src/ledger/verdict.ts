/** Verdicts of a fold on the records of its stream. */

import type {
  CommittedSample,
  LoggedRecord,
} from '@radishyoke/shared/log_record';

/** Why a record changes nothing. */
export type VoidReason =
  /** The same record was appended before; only its first copy counts. */
  | 'copy'
  /** Another live session holds the lease. */
  | 'lease_held'
  /** The writer has no live session, so it can not hold a lease. */
  | 'no_session'
  /** The fencing number is not the current owner's. */
  | 'stale_fencing'
  | 'unknown_step'
  | 'step_closed'
  /** The step id is already used by a step with a different body. */
  | 'step_conflict'
  /** The request id was already claimed within the horizon. */
  | 'claimed_before'
  /** No more request claims can be stored now. */
  | 'claims_full'
  /** The record contradicts the step, for example a sample it does not have. */
  | 'out_of_range'
  /** The record adds nothing new. */
  | 'no_change';

/** Whether one record took effect, and with what result. */
export type Verdict =
  | {
      readonly kind: 'accepted';
      /** For lease claims: the fencing number that the writer now holds. */
      readonly fencing?: number;
      /**
       * Samples that this record committed; the others already had a winner.
       */
      readonly committed?: readonly CommittedSample[];
    }
  | {readonly kind: 'void'; readonly reason: VoidReason};

export const ACCEPTED: Verdict = {kind: 'accepted'};

/** Creates the verdict for a record that changes nothing. */
export function voidBecause(reason: VoidReason): Verdict {
  return {kind: 'void', reason};
}

/** A record with its verdict. */
export interface JudgedRecord<T> {
  readonly record: LoggedRecord<T>;
  readonly verdict: Verdict;
}
