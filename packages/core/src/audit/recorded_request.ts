/**
 * Keeps what rules look at of recent requests, so that an operator sees what a
 * new rule set would have decided before publishing it.
 */

import type {TenantId} from '@radishyoke/shared/ids';
import type {RuleFacts} from '../rules/rule.js';

/** One request as the rules saw it. */
export interface RecordedRequest {
  readonly facts: RuleFacts;
  readonly atMs: number;
}

/** Most requests kept for one tenant; newer ones push out older ones. */
export const MAX_REQUESTS_PER_TENANT = 256;
/** Most tenants that requests are kept for. */
const MAX_TENANTS = 64;
const MAX_PATH_CHARS = 512;
const MAX_HEADER_CHARS = 256;
const MAX_HEADERS = 24;

// Headers that commonly carry credentials: a record of requests must not become
// a second place to steal them from.
const SECRET_HEADER = /auth|cookie|token|secret|key|session|password/;

/** Requests by tenant, a bounded number of each. */
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

  /** Requests of `tenants`, in no order. */
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
