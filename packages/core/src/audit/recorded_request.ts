/**
 * Stores the rule-relevant properties of recent requests, so that an operator can
 * see what a new rule set would have decided before publishing it.
 */

import type {TenantId} from '@radishyoke/shared/ids';
import type {RuleFacts} from '../rules/rule.js';

/** The properties of one request that rules are matched against. */
export interface RecordedRequest {
  readonly facts: RuleFacts;
  readonly atMs: number;
}

/**
 * Maximum number of requests stored per tenant; newer ones replace the oldest.
 */
export const MAX_REQUESTS_PER_TENANT = 256;
/** Maximum number of tenants; requests of further tenants are not stored. */
const MAX_TENANTS = 64;
const MAX_PATH_CHARS = 512;
const MAX_HEADER_CHARS = 256;
const MAX_HEADERS = 24;

// Headers whose names suggest credentials. They are not stored, so that recorded
// requests do not leak them.
const SECRET_HEADER = /auth|cookie|token|secret|key|session|password/;

/** Stores a bounded number of recent requests per tenant. */
export class RequestRecorder {
  private readonly byTenant = new Map<TenantId, RecordedRequest[]>();
  private readonly recordedCounts = new Map<TenantId, number>();

  record(facts: RuleFacts, nowMs: number): void {
    const ring = this.byTenant.get(facts.tenant);
    if (!ring) {
      if (this.byTenant.size >= MAX_TENANTS) return;
      this.byTenant.set(facts.tenant, [sanitizeRequest(facts, nowMs)]);
      return;
    }
    const count = this.recordedCounts.get(facts.tenant) ?? 1;
    ring[count % MAX_REQUESTS_PER_TENANT] = sanitizeRequest(facts, nowMs);
    this.recordedCounts.set(facts.tenant, count + 1);
  }

  /** Returns the stored requests of `tenants`, in no particular order. */
  list(tenants: ReadonlySet<TenantId>): readonly RecordedRequest[] {
    return [...this.byTenant]
      .filter(([tenant]) => tenants.has(tenant))
      .flatMap(([, requests]) => requests);
  }
}

function sanitizeRequest(facts: RuleFacts, atMs: number): RecordedRequest {
  const headers = Object.entries(facts.headers)
    .filter(([name, value]) => isSafeHeader(name, value))
    .slice(0, MAX_HEADERS);
  const path = facts.path.split('?', 1)[0].slice(0, MAX_PATH_CHARS);
  return {
    facts: {...facts, path, headers: Object.fromEntries(headers)},
    atMs,
  };
}

function isSafeHeader(
  name: string,
  value: RuleFacts['headers'][string],
): boolean {
  if (SECRET_HEADER.test(name)) return false;
  return typeof value === 'string' && value.length <= MAX_HEADER_CHARS;
}
