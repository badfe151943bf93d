/**
 * The platform calls that only one VM at a time may make, as an interface that
 * platform adapters implement. If a call gets no answer, its outcome is unknown:
 * the platform may still carry it out seconds later.
 */

import type {UsageReport} from '@radishyoke/core/usage/usage_record';

/** Identifies the VM that makes a call and its term as the coordinator. */
export interface CallCredentials {
  readonly vmName: string;
  readonly fencingToken: number;
}

export type ControlAnswer =
  | 'accepted'
  /** The platform refused the call because it has seen a higher fencing token. */
  | 'fenced'
  /** The call was not carried out and may be retried. */
  | 'busy'
  /** The call was not carried out, and a retry would be refused as well. */
  | 'refused'
  /** The call may have been carried out, or may still be. */
  | 'unknown';

export abstract class ControlApi {
  abstract reportUsage(
    report: UsageReport,
    credentials: CallCredentials,
  ): Promise<ControlAnswer>;

  abstract close(): void;
}
