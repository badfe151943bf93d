/** The audit entries of requests, rollouts and configurations. */

import type {ErrorKind} from '@radishyoke/shared/error_kind';
import type {
  EndpointId,
  RequestId,
  StepId,
  TeamId,
  TenantId,
} from '@radishyoke/shared/ids';
import type {TokenSpan} from '@radishyoke/shared/rollout';
import type {FailureKind} from '../scheduling/failure.js';

/** How an attempt ended, as far as the writer of the entry knows. */
export type AuditAttemptEnd =
  | 'finished'
  | 'stopped'
  /**
   * Another attempt won; this one failed, was stopped, or was lost with its VM.
   */
  | 'superseded'
  /** The attempt failed for a reason that the writer does not know. */
  | 'failed'
  | FailureKind;

/** One attempt and its end. */
export interface AuditAttempt {
  readonly attempt: number;
  readonly endpoint: EndpointId;
  /** Unix ms by the VM's clock; absent if unknown. */
  readonly startedAtMs?: number;
  readonly endedAtMs?: number;
  readonly end: AuditAttemptEnd;
  /**
   * Weight versions that produced the output, in order; empty for plain
   * services.
   */
  readonly spans: readonly TokenSpan[];
}

/**
 * Fields shared by requests and rollouts: the rule in force and the attempts
 * made.
 */
interface AuditedWork {
  /** End of the work item, Unix ms by the VM's clock. */
  readonly atMs: number;
  readonly team: TeamId;
  readonly tenant: TenantId;
  readonly rule: string;
  /**
   * Version of the team's configuration, which is its offset in the stream
   * `config`.
   */
  readonly configVersion: number;
  readonly attempts: readonly AuditAttempt[];
}

export type AuditEntry =
  | (AuditedWork & {
      readonly kind: 'request';
      readonly request: RequestId;
      readonly outcome: 'answered' | ErrorKind;
    })
  | (AuditedWork & {
      readonly kind: 'rollout';
      readonly step: StepId;
      readonly group: number;
      readonly sample: number;
      readonly cursor: number;
      /** Fencing number of the owner that delivered the rollout. */
      readonly fencing: number;
      readonly outcome: 'committed' | ErrorKind;
      /** SHA-256 of the output text, hex; empty for a shortfall. */
      readonly digest: string;
    })
  | {
      /** The VM put a configuration version into force. */
      readonly kind: 'config';
      readonly atMs: number;
      readonly team: TeamId;
      readonly version: number;
      readonly basedOn: number;
      readonly author: string;
      /** SHA-256 of the configuration text, hex. */
      readonly digest: string;
    }
  | {
      /**
       * Entries were dropped because the log was unavailable and the buffer was
       * full.
       */
      readonly kind: 'gap';
      readonly fromMs: number;
      readonly toMs: number;
      readonly dropped: number;
    }
  | {
      /** The last entry of a VM that shut down in an orderly way. */
      readonly kind: 'closed';
      readonly atMs: number;
    };

/** Fields by which an entry is found; each kind of entry has some of them. */
export interface AuditSubjectFields {
  readonly kind?: string;
  readonly request?: string;
  readonly step?: string;
  readonly group?: number;
  readonly sample?: number;
}

/**
 * Whether an entry is about the request, step or rollout that `subject`
 * identifies.
 */
export function concernsSubject(
  fields: AuditSubjectFields,
  subject: string,
): boolean {
  const {request, step, group, sample} = fields;
  if (request === subject || step === subject) return true;
  return group !== undefined && `${step}/${group}/${sample}` === subject;
}
