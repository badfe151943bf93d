/** What the fold of a stream made of one record. */

import type {
  CommittedSample,
  LoggedRecord,
} from '@radishyoke/shared/log_record';

/** Why a record changes nothing. */
export type VoidReason =
  /** The same record was appended before; its first copy counts. */
  | 'copy'
  /** Another live session holds the lease. */
  | 'lease_held'
  /** The writer has no live session to hang a lease on. */
  | 'no_session'
  /** The fencing number is not the current owner's. */
  | 'stale_fencing'
  | 'unknown_step'
  | 'step_closed'
  /** The step id is taken by a step with another body. */
  | 'step_conflict'
  /** The request id was claimed before, within the horizon. */
  | 'claimed_before'
  /** No further request id can be remembered now. */
  | 'claims_full'
  /** The record contradicts the step, for example a sample it does not have. */
  | 'out_of_range'
  /** Nothing that was not known already. */
  | 'no_change';

/** What became of one record. */
export type Verdict =
  | {
      readonly kind: 'accepted';
      /** Fencing number that the writer now holds, for claims. */
      readonly fencing?: number;
      /** Samples that this record committed; others had a winner before. */
      readonly committed?: readonly CommittedSample[];
    }
  | {readonly kind: 'void'; readonly reason: VoidReason};

export const ACCEPTED: Verdict = {kind: 'accepted'};

/** Builds the verdict on a record that changes nothing. */
export function voidBecause(reason: VoidReason): Verdict {
  return {kind: 'void', reason};
}

/** A record with what the fold made of it. */
export interface JudgedRecord<T> {
  readonly record: LoggedRecord<T>;
  readonly verdict: Verdict;
}
