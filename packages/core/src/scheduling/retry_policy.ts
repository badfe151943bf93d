/**
 * Decides what follows a failed attempt, by a fixed table over the failure,
 * idempotence, whether the request was sent and whether output was received.
 * The table guarantees that a non-idempotent request runs at most once: after
 * it was sent, no entry allows a second attempt.
 */

import type {ErrorKind} from '@radishyoke/shared/error_kind';
import type {TenantId, EndpointId} from '@radishyoke/shared/ids';
import type {FailureKind} from './failure.js';
import {TokenBucket} from './token_bucket.js';

export type RetryAction =
  /** Start again from the beginning, preferably on another endpoint. */
  | 'restart'
  /** Resume from the partial output, preferably on another endpoint. */
  | 'resume'
  | 'give_up';

export interface RetryRule {
  readonly action: RetryAction;
  /** The error returned when giving up, now or when attempts run out. */
  readonly error: ErrorKind;
}

/** The rules for one kind of failure, by what was sent and received. */
interface RetryRow {
  readonly notSent: RetryRule;
  readonly nonIdempotent: RetryRule;
  readonly noOutput: RetryRule;
  readonly partialOutput: RetryRule;
}

function createRule(action: RetryAction, error: ErrorKind): RetryRule {
  return {action, error};
}

const UNREACHABLE_RULE = createRule('restart', 'endpoint_unreachable');
const UNKNOWN_OUTCOME_RULE = createRule('give_up', 'outcome_unknown');

/** Rules for failures in which the connection could not be made or broke. */
const CONNECTION_BROKEN_ROW: RetryRow = {
  notSent: UNREACHABLE_RULE,
  nonIdempotent: UNKNOWN_OUTCOME_RULE,
  noOutput: createRule('restart', 'endpoint_failed'),
  partialOutput: createRule('resume', 'endpoint_failed'),
};

export const RETRY_TABLE: Readonly<Record<FailureKind, RetryRow>> = {
  connect_failed: CONNECTION_BROKEN_ROW,
  connection_lost: CONNECTION_BROKEN_ROW,
  crashed: CONNECTION_BROKEN_ROW,
  silent: {
    notSent: UNREACHABLE_RULE,
    nonIdempotent: UNKNOWN_OUTCOME_RULE,
    noOutput: createRule('restart', 'endpoint_silent'),
    partialOutput: createRule('resume', 'endpoint_silent'),
  },
  // An endpoint may return 503 after it has started to process the request, so a
  // non-idempotent request is not sent again.
  rejected: {
    notSent: createRule('restart', 'overloaded'),
    nonIdempotent: UNKNOWN_OUTCOME_RULE,
    noOutput: createRule('restart', 'endpoint_failed'),
    partialOutput: createRule('resume', 'endpoint_failed'),
  },
  server_error: {
    notSent: UNREACHABLE_RULE,
    nonIdempotent: UNKNOWN_OUTCOME_RULE,
    noOutput: createRule('restart', 'endpoint_failed'),
    partialOutput: createRule('resume', 'endpoint_failed'),
  },
  client_error: {
    notSent: createRule('give_up', 'bad_request'),
    nonIdempotent: createRule('give_up', 'endpoint_failed'),
    noOutput: createRule('give_up', 'endpoint_failed'),
    partialOutput: createRule('give_up', 'endpoint_failed'),
  },
  // Output older than the staleness bound can't be used or resumed from.
  stale: {
    notSent: createRule('restart', 'not_fresh_in_time'),
    nonIdempotent: UNKNOWN_OUTCOME_RULE,
    noOutput: createRule('restart', 'not_fresh_in_time'),
    partialOutput: createRule('restart', 'not_fresh_in_time'),
  },
};

export function findRetryRule(
  failure: FailureKind,
  idempotent: boolean,
  sent: boolean,
  tokensReceived: number,
): RetryRule {
  const row = RETRY_TABLE[failure];
  if (!sent) return row.notSent;
  if (!idempotent) return row.nonIdempotent;
  return tokensReceived > 0 ? row.partialOutput : row.noOutput;
}

/** Retries allowed in a burst; the complete batch of an engine may fail at once. */
const RETRY_BURST = 200;
/** Retries per second allowed independently of starts. */
const RETRIES_PER_SECOND = 5;
/** Retries earned per started attempt, so that retries stay a share of the load. */
const RETRIES_PER_START = 0.2;

/**
 * Limits retries to a share of the load, per tenant and per endpoint. This guards
 * against retry storms: endpoints slow down, attempts fail, and retries keep the
 * load high. The token buckets bound the retries, beyond a burst and a fixed rate,
 * to a fifth of the attempts started.
 */
export class RetryBudget {
  private readonly tenants = new Map<TenantId, TokenBucket>();
  private readonly endpoints = new Map<EndpointId, TokenBucket>();

  recordStart(tenant: TenantId, endpoint: EndpointId): void {
    getBucket(this.tenants, tenant).add(RETRIES_PER_START);
    getBucket(this.endpoints, endpoint).add(RETRIES_PER_START);
  }

  /**
   * Takes one retry after a failure at `endpoint` from the budget and returns 0,
   * or returns the ms to wait until one is available.
   */
  takeRetry(tenant: TenantId, endpoint: EndpointId, nowMs: number): number {
    const tenantBucket = getBucket(this.tenants, tenant);
    const endpointBucket = getBucket(this.endpoints, endpoint);
    const waitMs = Math.max(
      tenantBucket.measureWaitMs(nowMs),
      endpointBucket.measureWaitMs(nowMs),
    );
    if (waitMs > 0) return waitMs;
    tenantBucket.take(nowMs);
    endpointBucket.take(nowMs);
    return 0;
  }

  /** Drops the budget of an endpoint that was removed. */
  forgetEndpoint(endpoint: EndpointId): void {
    this.endpoints.delete(endpoint);
  }
}

function getBucket<K>(buckets: Map<K, TokenBucket>, key: K): TokenBucket {
  let bucket = buckets.get(key);
  if (!bucket) {
    bucket = new TokenBucket(RETRY_BURST, RETRIES_PER_SECOND);
    buckets.set(key, bucket);
  }
  return bucket;
}
