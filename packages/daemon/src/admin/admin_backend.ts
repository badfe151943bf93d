/** The interface through which the administration API accesses a VM. */

import type {ConfigVersion} from '@radishyoke/core/rules/config_history';
import type {MetricRegistry} from '@radishyoke/core/metrics/metrics';
import type {RecordedRequest} from '@radishyoke/core/audit/recorded_request';
import type {TeamId, TenantId} from '@radishyoke/shared/ids';
import type {Result} from '@radishyoke/shared/result';
import type {
  AdminAnswer,
  EndpointEntry,
  LeaseEntry,
  QueueEntry,
  StepEntry,
  VmEntry,
} from './admin_schema.js';

/** Selects audit records. */
export interface AuditQuery {
  readonly from: number;
  readonly max: number;
  /** Selects only records that concern this request, step or rollout. */
  readonly subject?: string;
}

/**
 * Lists and metrics contain the data of all teams. The API, not the backend,
 * removes the data of other teams from answers, so that no backend can omit it.
 */
export abstract class AdminBackend {
  abstract readStatus(): AdminAnswer<'status'>;
  abstract listVms(): readonly VmEntry[];
  abstract listEndpoints(): readonly EndpointEntry[];
  abstract listSteps(): readonly StepEntry[];
  abstract listQueues(): readonly QueueEntry[];
  abstract listLeases(): readonly LeaseEntry[];
  abstract readonly metrics: MetricRegistry;

  /** Accepted versions of a team's rules, oldest first. */
  abstract listVersions(team: TeamId): readonly ConfigVersion[];

  /** Publishes rules; resolves to their version once the log accepted them. */
  abstract publish(publication: {
    readonly team: TeamId;
    readonly basedOn: number;
    readonly author: string;
    readonly text: string;
  }): Promise<Result<number>>;

  abstract listRecordedRequests(
    tenants: ReadonlySet<TenantId>,
  ): readonly RecordedRequest[];

  /** Takes a VM or endpoint out of use; its work in flight continues. */
  abstract drain(
    kind: 'vm' | 'endpoint',
    id: string,
    author: string,
  ): Promise<Result<void>>;

  /** Reads the audit records of a team and its tenants only. */
  abstract readAudit(
    team: TeamId,
    tenants: ReadonlySet<TenantId>,
    query: AuditQuery,
  ): Promise<Result<AdminAnswer<'audit'>>>;

  /** Reads complete audit blocks with the entries of all teams. */
  abstract readAuditBlocks(
    from: number,
    max: number,
  ): Promise<Result<AdminAnswer<'audit'>>>;
}
