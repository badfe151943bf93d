/** What the audit keeps of a request, a rollout and a configuration. */

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

/** How an attempt ended, as far as the writer knows. */
export type AuditAttemptEnd =
  | 'finished'
  | 'stopped'
  /** Another attempt won; this one failed, was stopped or lost with its VM. */
  | 'superseded'
  /** It failed in a way that the writer does not know more of. */
  | 'failed'
  | FailureKind;

/** One attempt and its end. */
export interface AuditAttempt {
  readonly attempt: number;
  readonly endpoint: EndpointId;
  /** Unix ms at the VM, where it is known. */
  readonly startedAtMs?: number;
  readonly endedAtMs?: number;
  readonly end: AuditAttemptEnd;
  /** Weight versions that made its output, in order; empty for plain services. */
  readonly spans: readonly TokenSpan[];
}

/** The rule in force for a piece of work, and what it caused. */
interface AuditedWork {
  /** Unix ms at the VM when the work ended. */
  readonly atMs: number;
  readonly team: TeamId;
  readonly tenant: TenantId;
  readonly rule: string;
  /** Version (offset) of the team's configuration. */
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
      /** Fencing number of the owner that handed it over. */
      readonly fencing: number;
      readonly outcome: 'committed' | ErrorKind;
      /** SHA-256 of the text, hex; empty for a shortfall. */
      readonly digest: string;
    })
  | {
      /** This VM put a version into force. */
      readonly kind: 'config';
      readonly atMs: number;
      readonly team: TeamId;
      readonly version: number;
      readonly basedOn: number;
      readonly author: string;
      /** SHA-256 of the text, hex. */
      readonly digest: string;
    }
  | {
      /** Entries were dropped because the log took none and the buffer was full. */
      readonly kind: 'gap';
      readonly fromMs: number;
      readonly toMs: number;
      readonly dropped: number;
    }
  | {
      /** The last entry of a VM that shut down in order. */
      readonly kind: 'closed';
      readonly atMs: number;
    };

/** What an audit entry names; each kind of entry has some of these. */
export interface AuditSubjectFields {
  readonly kind?: string;
  readonly request?: string;
  readonly step?: string;
  readonly group?: number;
  readonly sample?: number;
}

/** Whether an entry tells of a request, a step or a rollout by this name. */
export function concernsSubject(
  fields: AuditSubjectFields,
  subject: string,
): boolean {
  const {request, step, group, sample} = fields;
  if (request === subject || step === subject) return true;
  return group !== undefined && `${step}/${group}/${sample}` === subject;
}
