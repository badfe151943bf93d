/** What a VM offers to its administration API. */

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

/** Which audit records are wanted. */
export interface AuditQuery {
  readonly from: number;
  readonly max: number;
  /** Only records that name this request, step or rollout. */
  readonly subject?: string;
}

/**
 * Answers are those of the whole VM. The API keeps what belongs to other teams
 * from the asker, so that no backend can forget to.
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

  /** Publishes rules; resolves to their version once the log has decided. */
  abstract publish(publication: {
    readonly team: TeamId;
    readonly basedOn: number;
    readonly author: string;
    readonly text: string;
  }): Promise<Result<number>>;

  abstract listRecordedRequests(
    tenants: ReadonlySet<TenantId>,
  ): readonly RecordedRequest[];

  /** Takes a VM or an endpoint out of use; its work in flight goes on. */
  abstract drain(
    kind: 'vm' | 'endpoint',
    id: string,
    author: string,
  ): Promise<Result<void>>;

  /** Reads audit records of a team and its tenants. */
  abstract readAudit(
    team: TeamId,
    tenants: ReadonlySet<TenantId>,
    query: AuditQuery,
  ): Promise<Result<AdminAnswer<'audit'>>>;

  /** Reads whole blocks, of all teams. */
  abstract readAuditBlocks(
    from: number,
    max: number,
  ): Promise<Result<AdminAnswer<'audit'>>>;
}
