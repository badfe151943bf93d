/** An in-memory backend with fixed data of two teams. */

import {
  type ConfigVersion,
  NO_VERSION,
} from '@radishyoke/core/rules/config_history';
import {MetricRegistry} from '@radishyoke/core/metrics/metrics';
import type {RecordedRequest} from '@radishyoke/core/audit/recorded_request';
import {createError} from '@radishyoke/shared/error_kind';
import {
  TeamId,
  TenantId,
  toDataCentreId,
  toTeamId,
  toTenantId,
} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {AdminBackend, AuditQuery} from '../admin_backend.js';
import type {AdminAnswer} from '../admin_schema.js';

export const TENANTS = ['lesson-app', 'crop-trainer'] as const;

export function createRules(team: string, group: string): string {
  return `[config]\nteam = ${team}\n[rule.all]\nthen.group = ${group}\n`;
}

export class FakeAdminBackend extends AdminBackend {
  readonly metrics = new MetricRegistry();
  readonly drained: string[] = [];
  private readonly versions: ConfigVersion[] = [];

  constructor() {
    super();
    for (const tenant of TENANTS) {
      this.metrics.recordValue('duration', tenant, 'interactive', 5);
    }
  }

  readStatus(): AdminAnswer<'status'> {
    return {
      vm: 'entry-1',
      incarnation: 'i1',
      dataCentre: 'gebze-a',
      ready: true,
      draining: false,
      startedAtMs: 1,
      works: 0,
      log: {
        lastReadAtMs: 1,
        outageSinceMs: null,
        caughtUp: true,
        stateNext: 0,
        configNext: this.versions.length,
        pending: 0,
      },
    };
  }

  listVms() {
    return [];
  }

  listEndpoints() {
    return [];
  }

  listSteps() {
    return TENANTS.map(tenant => ({
      tenant,
      step: `step-of-${tenant}`,
      model: 'm',
      state: 'open' as const,
      owner: null,
      fencing: null,
      samples: 1,
      committed: 0,
      acknowledged: 0,
      weightVersion: 1,
      rule: 'all',
      configVersion: 0,
      openedAtMs: 1,
    }));
  }

  listQueues() {
    return TENANTS.map(tenant => ({
      tenant,
      workClass: 'interactive' as const,
      waiting: 0,
      running: 0,
    }));
  }

  listLeases() {
    return [...TENANTS, null].map(tenant => ({
      name: `lease-of-${tenant}`,
      tenant,
      vm: 'entry-1',
      fencing: 1,
      held: true,
    }));
  }

  listVersions(team: TeamId): readonly ConfigVersion[] {
    return this.versions.filter(version => version.team === team);
  }

  async publish(publication: {
    readonly team: TeamId;
    readonly basedOn: number;
    readonly author: string;
    readonly text: string;
  }): Promise<Result<number>> {
    const {team, basedOn} = publication;
    const current = this.listVersions(team).at(-1)?.version ?? NO_VERSION;
    if (basedOn !== current) return fail(createError('config_conflict'));
    const version = this.versions.length;
    this.versions.push({...publication, version, publishedAtMs: 1});
    return succeed(version);
  }

  listRecordedRequests(
    tenants: ReadonlySet<TenantId>,
  ): readonly RecordedRequest[] {
    return [...tenants].map(tenant => ({
      atMs: 1,
      facts: {
        tenant,
        method: 'GET',
        path: '/orders',
        headers: {},
        dataCentre: toDataCentreId('gebze-a'),
      },
    }));
  }

  async drain(kind: 'vm' | 'endpoint', id: string): Promise<Result<void>> {
    this.drained.push(`${kind}/${id}`);
    return succeed(undefined);
  }

  async readAudit(
    team: TeamId,
    tenants: ReadonlySet<TenantId>,
    {from}: AuditQuery,
  ): Promise<Result<AdminAnswer<'audit'>>> {
    const records = TENANTS.filter(tenant => tenants.has(toTenantId(tenant)));
    return succeed({
      records: records.map((tenant, offset) => ({
        offset,
        timeMs: 1,
        record: {tenant, team},
      })),
      next: from + records.length,
    });
  }

  async readAuditBlocks(from: number): Promise<Result<AdminAnswer<'audit'>>> {
    const record = {tenants: [...TENANTS]};
    return succeed({records: [{offset: 0, timeMs: 1, record}], next: from});
  }
}

export const KODKUTU = toTeamId('kodkutu');
export const CASTELLANOS = toTeamId('castellanos');
