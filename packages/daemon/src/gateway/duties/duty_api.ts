/**
 * Calls to the platform that one VM at a time may make, in the gateway's own
 * terms. What the platform did with a call that got no answer is not known, and
 * it may still do it seconds later.
 */

import type {UsageReport} from '@radishyoke/core/usage/usage_record';

/** As whom a call is made. */
export interface DutyHolder {
  readonly vmName: string;
  readonly fencingToken: number;
}

export type DutyAnswer =
  | 'accepted'
  /** The platform has seen a higher token. */
  | 'fenced'
  /** Nothing was done; it may be asked again. */
  | 'busy'
  /** Nothing was done, and asking again changes nothing. */
  | 'refused'
  /** It may have been done, or may be yet. */
  | 'unknown';

export abstract class DutyApi {
  abstract reportUsage(
    report: UsageReport,
    holder: DutyHolder,
  ): Promise<DutyAnswer>;

  abstract close(): void;
}
