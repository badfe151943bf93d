/** The routes of the administration API and the role that each requires. */

import {createTwoFilesPatch} from 'diff';
import type {z} from 'zod';
import {
  type ConfigVersion,
  NO_VERSION,
} from '@radishyoke/core/rules/config_history';
import type {SeriesKey} from '@radishyoke/core/metrics/metrics';
import {OVERFLOW_SERIES} from '@radishyoke/core/metrics/metrics';
import {compareRuleSets} from '@radishyoke/core/rules/rule_comparison';
import {checkRuleText, parseRuleText} from '@radishyoke/core/rules/rule_text';
import {createError} from '@radishyoke/shared/error_kind';
import type {TenantId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import type {Principal} from './admin_auth.js';
import type {AdminBackend} from './admin_backend.js';
import {
  ADMIN_ANSWERS,
  AdminAnswer,
  AdminAnswerName,
  drainBodySchema,
  dryRunBodySchema,
  publishBodySchema,
} from './admin_schema.js';
import type {Role} from '../settings/settings.js';

/** One authenticated request. */
export interface AdminCall {
  readonly principal: Principal;
  readonly isPlatformTeam: boolean;
  /** Tenants of the principal's team, the only ones whose data it may see. */
  readonly tenants: ReadonlySet<TenantId>;
  readonly query: URLSearchParams;
  readonly body: unknown;
}

export interface AdminRoute {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly role: Role;
  /** Whether only the platform team may make the call. */
  readonly platformOnly: boolean;
  readonly answer: AdminAnswerName;
  readonly run: (
    backend: AdminBackend,
    call: AdminCall,
  ) => Promise<Result<unknown>> | Result<unknown>;
}

type RouteHandler<Name extends AdminAnswerName> = (
  backend: AdminBackend,
  call: AdminCall,
) => Promise<Result<AdminAnswer<Name>>> | Result<AdminAnswer<Name>>;

const DEFAULT_AUDIT_RECORDS = 100;
const MAX_AUDIT_RECORDS = 1000;

function get<Name extends AdminAnswerName>(
  path: string,
  role: Role,
  answer: Name,
  run: RouteHandler<Name>,
): AdminRoute {
  return {method: 'GET', path, role, platformOnly: false, answer, run};
}

function post<Name extends AdminAnswerName>(
  path: string,
  role: Role,
  answer: Name,
  run: RouteHandler<Name>,
  platformOnly = false,
): AdminRoute {
  return {method: 'POST', path, role, platformOnly, answer, run};
}

export const ADMIN_ROUTES: readonly AdminRoute[] = [
  get('/admin/v1/status', 'read', 'status', backend =>
    succeed(backend.readStatus()),
  ),
  get('/admin/v1/vms', 'read', 'vms', backend =>
    succeed({vms: backend.listVms()}),
  ),
  get('/admin/v1/endpoints', 'read', 'endpoints', backend =>
    succeed({endpoints: backend.listEndpoints()}),
  ),
  get('/admin/v1/steps', 'read', 'steps', (backend, call) =>
    succeed({steps: filterOwn(backend.listSteps(), call)}),
  ),
  get('/admin/v1/queues', 'read', 'queues', (backend, call) =>
    succeed({queues: filterOwn(backend.listQueues(), call)}),
  ),
  get('/admin/v1/leases', 'read', 'leases', (backend, call) =>
    succeed({leases: filterOwn(backend.listLeases(), call)}),
  ),
  get('/admin/v1/histograms', 'read', 'histograms', encodeOwnMetrics),
  get('/admin/v1/rules', 'read', 'rules', showRules),
  get('/admin/v1/rules/history', 'read', 'history', listHistory),
  get('/admin/v1/rules/diff', 'read', 'diff', diffRules),
  post('/admin/v1/rules/dry-run', 'read', 'dry_run', dryRunRules),
  post('/admin/v1/rules', 'publish', 'published', publishRules),
  post('/admin/v1/drain', 'publish', 'drained', drain, true),
  get('/admin/v1/audit', 'audit', 'audit', readAudit),
  // Complete blocks contain the entries of all teams: an audit chain can only
  // be verified with all of its entries.
  {
    ...get('/admin/v1/audit/blocks', 'audit', 'audit', readBlocks),
    platformOnly: true,
  },
];

/** Whether the principal of `call` may see a metric series. */
export function mayShowSeries(call: AdminCall, {tenant}: SeriesKey): boolean {
  if (tenant === OVERFLOW_SERIES) return call.isPlatformTeam;
  return call.tenants.has(tenant as TenantId);
}

/** Removes items of other teams' tenants; keeps items that no tenant owns. */
function filterOwn<T extends {readonly tenant: string | null}>(
  items: readonly T[],
  {tenants}: AdminCall,
): readonly T[] {
  return items.filter(
    ({tenant}) => tenant === null || tenants.has(tenant as TenantId),
  );
}

function encodeOwnMetrics(
  {metrics}: AdminBackend,
  call: AdminCall,
): Result<AdminAnswer<'histograms'>> {
  const {series, counters} = metrics.encode();
  const mayShow = (key: SeriesKey) => mayShowSeries(call, key);
  return succeed({
    series: series.filter(mayShow),
    counters: counters.filter(mayShow),
  });
}

function showRules(
  backend: AdminBackend,
  call: AdminCall,
): Result<AdminAnswer<'rules'>> {
  const version = readVersion(call.query, 'version');
  const found = findVersion(backend, call, version);
  if (!found) return fail(createError('not_found', 'no such version'));
  return succeed({...summarizeVersion(found), text: found.text});
}

function listHistory(
  backend: AdminBackend,
  {principal}: AdminCall,
): Result<AdminAnswer<'history'>> {
  const versions = backend.listVersions(principal.team).map(summarizeVersion);
  return succeed({versions});
}

function diffRules(
  backend: AdminBackend,
  call: AdminCall,
): Result<AdminAnswer<'diff'>> {
  const to = findVersion(backend, call, readVersion(call.query, 'to'));
  if (!to) return fail(createError('not_found', 'no such version'));
  const from = readVersion(call.query, 'from') ?? to.basedOn;
  const old = findVersion(backend, call, from);
  if (!old && from !== NO_VERSION) {
    return fail(createError('not_found', `version ${from} is not retained`));
  }
  const patch = createTwoFilesPatch(
    `version ${from}`,
    `version ${to.version}`,
    old?.text ?? '',
    to.text,
  );
  return succeed({from, to: to.version, patch});
}

function dryRunRules(
  backend: AdminBackend,
  call: AdminCall,
): Result<AdminAnswer<'dry_run'>> {
  const body = readBodyAs(dryRunBodySchema, call);
  if (!body.ok) return body;
  const problem = checkRuleText(body.value.text, call.principal.team);
  if (problem) return fail(createError('config_invalid', problem));
  const after = parseRuleText(body.value.text, 'rules');
  if (!after.ok) return fail(createError('config_invalid'));
  const inForce = findVersion(backend, call, undefined);
  const before = inForce && parseRuleText(inForce.text, 'rules');
  return succeed(
    compareRuleSets(
      before?.ok ? before.value : undefined,
      after.value,
      backend.listRecordedRequests(call.tenants),
    ),
  );
}

async function publishRules(
  backend: AdminBackend,
  call: AdminCall,
): Promise<Result<AdminAnswer<'published'>>> {
  const body = readBodyAs(publishBodySchema, call);
  if (!body.ok) return body;
  const {team, tokenName} = call.principal;
  const problem =
    checkRuleText(body.value.text, team) ?? checkGroups(body.value.text, call);
  if (problem) return fail(createError('config_invalid', problem));
  const published = await backend.publish({
    team,
    author: tokenName,
    ...body.value,
  });
  return published.ok ? succeed({version: published.value}) : published;
}

/** Rejects groups of all but the platform team, as teams share endpoints. */
function checkGroups(text: string, call: AdminCall): string | undefined {
  const parsed = parseRuleText(text, 'rules');
  if (call.isPlatformTeam || !parsed.ok) return undefined;
  const [group] = parsed.value.groups;
  return (
    group &&
    `rules: [group.${group.name}]: expected no groups: only the platform team may define them`
  );
}

async function drain(
  backend: AdminBackend,
  call: AdminCall,
): Promise<Result<AdminAnswer<'drained'>>> {
  const body = readBodyAs(drainBodySchema, call);
  if (!body.ok) return body;
  const {kind, id} = body.value;
  const drained = await backend.drain(kind, id, call.principal.tokenName);
  return drained.ok ? succeed({kind, id}) : drained;
}

function readAudit(
  backend: AdminBackend,
  {principal, tenants, query}: AdminCall,
): Promise<Result<AdminAnswer<'audit'>>> {
  const max = readCount(query, 'max') ?? DEFAULT_AUDIT_RECORDS;
  return backend.readAudit(principal.team, tenants, {
    from: readCount(query, 'from') ?? 0,
    max: Math.min(max, MAX_AUDIT_RECORDS),
    subject: query.get('subject') ?? undefined,
  });
}

function readBlocks(
  backend: AdminBackend,
  {query}: AdminCall,
): Promise<Result<AdminAnswer<'audit'>>> {
  const max = readCount(query, 'max') ?? DEFAULT_AUDIT_RECORDS;
  return backend.readAuditBlocks(
    readCount(query, 'from') ?? 0,
    Math.min(max, MAX_AUDIT_RECORDS),
  );
}

/** Finds a version of the principal's team; the one in force if undefined. */
function findVersion(
  backend: AdminBackend,
  {principal}: AdminCall,
  version: number | undefined,
): ConfigVersion | undefined {
  const versions = backend.listVersions(principal.team);
  if (version === undefined) return versions.at(-1);
  return versions.find(candidate => candidate.version === version);
}

function summarizeVersion({
  version,
  basedOn,
  author,
  publishedAtMs,
}: ConfigVersion) {
  return {version, basedOn, author, publishedAtMs};
}

function readVersion(query: URLSearchParams, name: string): number | undefined {
  const text = query.get(name);
  return text !== null && /^(-1|\d{1,15})$/.test(text)
    ? Number(text)
    : undefined;
}

function readCount(query: URLSearchParams, name: string): number | undefined {
  const value = readVersion(query, name);
  return value !== undefined && value >= 0 ? value : undefined;
}

function readBodyAs<T>(schema: z.ZodType<T>, {body}: AdminCall): Result<T> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return succeed(parsed.data);
  const [issue] = parsed.error.issues;
  const detail = `${issue.path.join('.') || 'body'}: ${issue.message}`;
  return fail(createError('bad_request', detail));
}

/** Whether `value` matches the schema of the answer `name`. */
export function matchesAnswer(name: AdminAnswerName, value: unknown): boolean {
  return ADMIN_ANSWERS[name].safeParse(value).success;
}
