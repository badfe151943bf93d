/**
 * What follows a failed attempt. One closed table from failure, idempotence,
 * whether the request was sent and whether output came, to one action. It keeps
 * the promise that a non-idempotent request runs at most once: once sent, its
 * row holds no second attempt.
 */

import type {ErrorKind} from '@radishyoke/shared/error_kind';
import type {TenantId, EndpointId} from '@radishyoke/shared/ids';
import type {FailureKind} from './failure.js';
import {TokenBucket} from './token_bucket.js';

export type RetryAction =
  /** Again from the start, on another endpoint if there is one. */
  | 'restart'
  /** Go on from the partial output on another endpoint. */
  | 'resume'
  | 'give_up';

export interface RetryRule {
  readonly action: RetryAction;
  /** The answer when giving up, now or when attempts run out. */
  readonly error: ErrorKind;
}

/** The four cases in which one kind of failure can come. */
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

/** A request that may have been received and whose connection then broke. */
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
  // An endpoint's 503 may come from behind its own queue, after work began, so
  // that a non-idempotent request isn't sent again even then.
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
  // Output over the staleness bound is of no use, nor is going on from it.
  stale: {
    notSent: createRule('restart', 'not_fresh_in_time'),
    nonIdempotent: UNKNOWN_OUTCOME_RULE,
    noOutput: createRule('restart', 'not_fresh_in_time'),
    partialOutput: createRule('restart', 'not_fresh_in_time'),
  },
};

/** Looks up what follows. */
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

/** Retries allowed at once after a quiet time; an engine's whole batch may fail. */
const RETRY_BURST = 200;
/** Retries a second that time alone allows. */
const RETRIES_PER_SECOND = 5;
/** Retries that each first attempt adds, so that retries stay a share of work. */
const RETRIES_PER_START = 0.2;

/**
 * Bounds retries to a share of the work, for each tenant and each endpoint.
 *
 * The failure guarded against is the retry storm: endpoints slow down, attempts
 * fail, each failure sends another and the load never falls again. With the
 * buckets the added load is at most a fifth of the first attempts.
 */
export class RetryBudget {
  private readonly tenants = new Map<TenantId, TokenBucket>();
  private readonly endpoints = new Map<EndpointId, TokenBucket>();

  recordStart(tenant: TenantId, endpoint: EndpointId): void {
    getBucket(this.tenants, tenant).add(RETRIES_PER_START);
    getBucket(this.endpoints, endpoint).add(RETRIES_PER_START);
  }

  /** Ms that a retry after a failure at `endpoint` has to wait; 0 takes it now. */
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

  /** Forgets an endpoint that is gone. */
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
