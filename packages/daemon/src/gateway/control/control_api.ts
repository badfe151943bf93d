/**
 * The calls that the platform takes from one VM at a time, in the gateway's own
 * terms. What the platform did with a call that got no answer is not known, and
 * it may still do it seconds later.
 */

import type {UsageReport} from '@radishyoke/core/usage/usage_record';

/** As whom a call is made. */
export interface CallCredentials {
  readonly vmName: string;
  readonly fencingToken: number;
}

export type ControlAnswer =
  | 'accepted'
  /** The platform has seen a higher token. */
  | 'fenced'
  /** Nothing was done; it may be asked again. */
  | 'busy'
  /** Nothing was done, and asking again changes nothing. */
  | 'refused'
  /** It may have been done, or may be yet. */
  | 'unknown';

export abstract class ControlApi {
  abstract reportUsage(
    report: UsageReport,
    credentials: CallCredentials,
  ): Promise<ControlAnswer>;

  abstract close(): void;
}
