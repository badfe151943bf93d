/** Implements the backend of the administration API on a running VM. */

import {z} from 'zod';
import {concernsSubject} from '@radishyoke/core/audit/audit_entry';
import type {ConfigVersion} from '@radishyoke/core/rules/config_history';
import type {MetricRegistry} from '@radishyoke/core/metrics/metrics';
import type {RecordedRequest} from '@radishyoke/core/audit/recorded_request';
import {buildStepLeaseName} from '@radishyoke/core/ledger/lease_table';
import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import type {LogClient} from '@radishyoke/stores/log_client';
import {createError} from '@radishyoke/shared/error_kind';
import {
  IncarnationId,
  TeamId,
  TenantId,
  toEndpointId,
} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {AdminBackend, AuditQuery} from './admin_backend.js';
import type {
  AdminAnswer,
  AuditEntry,
  EndpointEntry,
  LeaseEntry,
  QueueEntry,
  StepEntry,
  VmEntry,
} from './admin_schema.js';
import type {Dispatcher} from '../scheduling/dispatcher.js';
import type {EndpointTask} from '../scheduling/endpoint_task.js';
import type {LogTask} from '../log/log_task.js';
import type {PeerTask} from '../peers/peer_task.js';
import type {Settings} from '../settings/settings.js';
import type {VmMetrics} from '../vm_metrics.js';

export interface VmAdminBackendOptions {
  readonly settings: Settings;
  readonly incarnation: IncarnationId;
  readonly log: LogTask;
  readonly logClient: LogClient;
  readonly dispatcher: Dispatcher;
  readonly endpoints: EndpointTask;
  readonly peers: PeerTask;
  readonly metrics: VmMetrics;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  /** Requests that the process drains and exits. */
  readonly requestDrain: () => void;
}

const AUDIT_READ_TIMEOUT_MS = 5000;
/** Maximum number of blocks per answer; the client continues from `next`. */
const MAX_AUDIT_BLOCKS = 200;
const STEP_LEASE_PATTERN = /^step:([^/]+)\//;

const VM_STATES = {
  alive: 'live',
  leaving: 'leaving',
  suspect: 'suspect',
  failed: 'suspect',
} as const;

/** The part of a block of the stream `audit` that is read here. */
const auditBlockSchema = z.object({entries: z.array(z.json())});
const auditNamesSchema = z.looseObject({
  team: z.string().optional(),
  request: z.string().optional(),
  step: z.string().optional(),
  group: z.number().optional(),
  sample: z.number().optional(),
});

export class VmAdminBackend extends AdminBackend {
  private readonly startedAtMs = Date.now();

  constructor(private readonly options: VmAdminBackendOptions) {
    super();
  }

  get metrics(): MetricRegistry {
    return this.options.metrics.registry;
  }

  readStatus(): AdminAnswer<'status'> {
    const {settings, log, dispatcher, incarnation} = this.options;
    const {outageSinceMs, ...health} = log.health();
    const {lastReadAtMs, caughtUp, stateNext, configNext, pending} = health;
    return {
      vm: settings.vm.id,
      incarnation,
      dataCentre: settings.vm.dataCentre,
      ready: this.options.isReady(),
      draining: this.options.isDraining(),
      startedAtMs: this.startedAtMs,
      works: dispatcher.scheduler.countWorkItems(),
      log: {
        lastReadAtMs,
        outageSinceMs: outageSinceMs ?? null,
        caughtUp,
        stateNext,
        configNext,
        pending,
      },
    };
  }

  listVms(): readonly VmEntry[] {
    return this.options.peers.listMembers().map(member => ({
      id: member.id,
      dataCentre: member.dataCentre,
      state: VM_STATES[member.state],
      peerAddress: member.peerAddress,
      configNext: null,
    }));
  }

  listEndpoints(): readonly EndpointEntry[] {
    const {endpoints, dispatcher} = this.options;
    const statuses = new Map(
      dispatcher.scheduler.listEndpoints().map(status => [status.id, status]),
    );
    return endpoints.listEndpoints().map(endpoint => {
      const status = statuses.get(endpoint.id);
      const limit = status?.limit ?? 0;
      return {
        id: endpoint.id,
        kind: endpoint.kind,
        group: endpoint.group,
        dataCentre: endpoint.dataCentre,
        model: endpoint.model ?? null,
        state: endpoint.state,
        usable: status?.usable ?? false,
        inFlight: status?.inFlight ?? 0,
        limit: Number.isSafeInteger(Math.floor(limit))
          ? Math.floor(limit)
          : null,
        weightVersion: status?.weightVersion ?? 0,
      };
    });
  }

  listSteps(): readonly StepEntry[] {
    return this.options.log.state.listSteps().map(step => this.readStep(step));
  }

  listQueues(): readonly QueueEntry[] {
    return this.options.dispatcher.listWorkCounts();
  }

  listLeases(): readonly LeaseEntry[] {
    const {log} = this.options;
    const nowMs = log.estimateLogNowMs();
    return log.state.leases.list().map(lease => ({
      name: lease.name,
      tenant: STEP_LEASE_PATTERN.exec(lease.name)?.[1] ?? null,
      vm: lease.vm,
      fencing: lease.fencing,
      held: log.state.leases.isHeld(lease, nowMs),
    }));
  }

  listVersions(team: TeamId): readonly ConfigVersion[] {
    return this.options.log.config.history(team);
  }

  async publish(publication: {
    readonly team: TeamId;
    readonly basedOn: number;
    readonly author: string;
    readonly text: string;
  }): Promise<Result<number>> {
    const decided = await this.options.log.publish(publication);
    if (!decided.ok) return decided;
    const outcome = decided.value;
    switch (outcome.kind) {
      case 'accepted':
        return succeed(outcome.version);
      case 'lost_race': {
        const {basedOn, current, author = 'nobody'} = outcome;
        const detail = `based on ${basedOn}, but ${author} published ${current}`;
        return fail(createError('config_conflict', detail));
      }
      case 'invalid':
        return fail(createError('config_invalid', outcome.problem));
      default:
        return fail(createError('internal', `outcome ${outcome.kind}`));
    }
  }

  listRecordedRequests(
    tenants: ReadonlySet<TenantId>,
  ): readonly RecordedRequest[] {
    return this.options.metrics.recorder.list(tenants);
  }

  async drain(kind: 'vm' | 'endpoint', id: string): Promise<Result<void>> {
    if (kind === 'endpoint') {
      return this.options.endpoints.drain(toEndpointId(id))
        ? succeed(undefined)
        : fail(createError('not_found', `no endpoint ${id}`));
    }
    if (id !== this.options.settings.vm.id) {
      const detail =
        'a VM must be drained through its own administration address';
      return fail(createError('not_found', detail));
    }
    this.options.requestDrain();
    return succeed(undefined);
  }

  async readAudit(
    team: TeamId,
    _tenants: ReadonlySet<TenantId>,
    {from, max, subject}: AuditQuery,
  ): Promise<Result<AdminAnswer<'audit'>>> {
    const page = await this.readAuditBlocks(from, max);
    if (!page.ok) return page;
    const records = page.value.records.flatMap(({offset, timeMs, record}) =>
      listEntries(record)
        .filter(entry => matchesQuery(entry, team, subject))
        .map(entry => ({offset, timeMs, record: entry})),
    );
    return succeed({records, next: page.value.next});
  }

  async readAuditBlocks(
    from: number,
    max: number,
  ): Promise<Result<AdminAnswer<'audit'>>> {
    const read = await this.options.logClient.read(
      'audit',
      {from, max: Math.min(max, MAX_AUDIT_BLOCKS), waitMs: 0},
      {timeoutMs: AUDIT_READ_TIMEOUT_MS},
    );
    if (!read.ok) return read;
    if (read.value.kind === 'expired') {
      const detail = `the log retains the audit from ${read.value.oldest}`;
      return fail(createError('not_found', detail));
    }
    const records = read.value.records.map(({offset, timeMs, value}) => ({
      offset,
      timeMs,
      record: value as AuditEntry['record'],
    }));
    return succeed({records, next: read.value.next});
  }

  private readStep(step: StepLedger): StepEntry {
    const {opening} = step;
    const {leases} = this.options.log.state;
    const lease = leases.find(buildStepLeaseName(step.key));
    const isHeld =
      lease !== undefined &&
      leases.isHeld(lease, this.options.log.estimateLogNowMs());
    return {
      tenant: opening.tenant,
      step: opening.step,
      model: opening.req.model,
      state: step.closed ?? 'open',
      owner: isHeld ? lease.vm : null,
      fencing: isHeld ? lease.fencing : null,
      samples: step.sampleCount,
      committed: step.committedCount,
      acknowledged: step.acknowledged,
      weightVersion: step.trainerVersion,
      rule: opening.rule,
      configVersion: opening.configVersion,
      openedAtMs: opening.openedAtMs,
    };
  }
}

function listEntries(block: unknown): ReadonlyArray<z.output<z.ZodJSONSchema>> {
  const parsed = auditBlockSchema.safeParse(block);
  return parsed.success ? parsed.data.entries : [];
}

/** Whether an entry belongs to `team` and concerns `subject`, if given. */
function matchesQuery(
  entry: unknown,
  team: TeamId,
  subject: string | undefined,
): boolean {
  const parsed = auditNamesSchema.safeParse(entry);
  if (!parsed.success || parsed.data.team !== team) return false;
  return subject === undefined || concernsSubject(parsed.data, subject);
}
