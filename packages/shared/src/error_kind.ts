/**
 * The closed list of error kinds, and the table that maps each kind to its HTTP
 * response. Callers, operators and log lines receive failures only in these terms.
 */

/** Whether a request may have reached an endpoint. */
export type Ran = 'no' | 'maybe' | 'yes';

export type ErrorKind =
  | 'bad_request'
  | 'too_large'
  | 'body_late'
  | 'unauthorized'
  | 'forbidden'
  | 'not_found'
  | 'step_conflict'
  | 'no_rule'
  | 'refused_by_rule'
  | 'no_endpoint'
  | 'overloaded'
  | 'deadline_unreachable'
  | 'draining'
  | 'not_current'
  | 'suspect_request'
  | 'held_back'
  | 'duplicate_request'
  | 'endpoint_unreachable'
  | 'endpoint_failed'
  | 'endpoint_silent'
  | 'outcome_unknown'
  | 'not_fresh_in_time'
  | 'deadline_passed'
  | 'cancelled'
  | 'stale_lease'
  | 'not_owner'
  | 'config_conflict'
  | 'config_invalid'
  | 'log_unavailable'
  | 'vm_list_unavailable'
  | 'store_unavailable'
  | 'internal';

/** The response to a caller for one error kind. */
export interface ErrorAnswer {
  readonly status: number;
  /**
   * Callers rely on `no`: it guarantees that the request was never sent to an
   * endpoint.
   */
  readonly ran: Ran;
  /** Whether the same request may succeed when it is sent again later. */
  readonly retryable: boolean;
  readonly message: string;
}

function createAnswer(
  status: number,
  ran: Ran,
  retryable: boolean,
  message: string,
): ErrorAnswer {
  return {status, ran, retryable, message};
}

export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  bad_request: createAnswer(400, 'no', false, 'the request is malformed'),
  too_large: createAnswer(413, 'no', false, 'the request is over a size limit'),
  body_late: createAnswer(
    408,
    'no',
    true,
    'the body of the request did not arrive in time',
  ),
  unauthorized: createAnswer(
    401,
    'no',
    false,
    'credentials are missing or wrong',
  ),
  forbidden: createAnswer(
    403,
    'no',
    false,
    'these credentials do not allow this',
  ),
  not_found: createAnswer(404, 'no', false, 'there is nothing under this name'),
  step_conflict: createAnswer(
    409,
    'no',
    false,
    'the step id is taken by a step with another body',
  ),
  no_rule: createAnswer(403, 'no', false, 'no rule matches the request'),
  refused_by_rule: createAnswer(403, 'no', false, 'a rule refuses the request'),
  no_endpoint: createAnswer(
    503,
    'no',
    true,
    'no endpoint can take the request now',
  ),
  overloaded: createAnswer(429, 'no', true, 'the queue for this work is full'),
  deadline_unreachable: createAnswer(
    503,
    'no',
    true,
    'the request can not be done before its deadline',
  ),
  draining: createAnswer(503, 'no', true, 'this VM is shutting down'),
  not_current: createAnswer(
    503,
    'no',
    true,
    'this VM can not tell whether its configuration is current',
  ),
  suspect_request: createAnswer(
    422,
    'no',
    false,
    'requests like this one crashed endpoints before',
  ),
  held_back: createAnswer(
    503,
    'no',
    true,
    'requests like this one crashed endpoints; it is held back for a while',
  ),
  duplicate_request: createAnswer(
    409,
    'maybe',
    false,
    'a request with this id was accepted before and runs at most once',
  ),
  endpoint_unreachable: createAnswer(
    502,
    'no',
    true,
    'no connection to the endpoint could be made',
  ),
  endpoint_failed: createAnswer(
    502,
    'maybe',
    true,
    'the endpoint failed while it had the request',
  ),
  endpoint_silent: createAnswer(
    504,
    'maybe',
    true,
    'the endpoint stopped answering while it had the request',
  ),
  outcome_unknown: createAnswer(
    502,
    'maybe',
    false,
    'a non-idempotent request was sent and its outcome is unknown',
  ),
  not_fresh_in_time: createAnswer(
    503,
    'maybe',
    true,
    'no rollout within the staleness bound could be had in time',
  ),
  deadline_passed: createAnswer(504, 'maybe', true, 'the deadline has passed'),
  cancelled: createAnswer(410, 'maybe', false, 'the caller cancelled this'),
  stale_lease: createAnswer(409, 'no', true, 'a newer owner holds the lease'),
  not_owner: createAnswer(503, 'no', true, 'another VM owns this step'),
  config_conflict: createAnswer(
    409,
    'no',
    true,
    'the publication was based on a version that is no longer the latest',
  ),
  config_invalid: createAnswer(
    422,
    'no',
    false,
    'the configuration is not valid',
  ),
  log_unavailable: createAnswer(
    503,
    'no',
    true,
    'the platform log can not be reached',
  ),
  vm_list_unavailable: createAnswer(
    503,
    'no',
    true,
    'the platform VM list can not be reached',
  ),
  store_unavailable: createAnswer(
    503,
    'maybe',
    true,
    'the weight store is unavailable',
  ),
  internal: createAnswer(500, 'maybe', false, 'an internal error'),
};

/** A failure as a value, tagged by `kind`; never thrown across package boundaries. */
export interface RadishyokeError {
  readonly kind: ErrorKind;
  /** Human-readable description of this failure. */
  readonly detail: string;
  /**
   * Ms after which the caller may retry; set only where the service can estimate it.
   */
  readonly retryAfterMs?: number;
  /** Replaces a `maybe` of the table if it is certain whether the request ran. */
  readonly ran?: Ran;
}

export function createError(
  kind: ErrorKind,
  detail: string = ERROR_ANSWERS[kind].message,
  extra: Pick<RadishyokeError, 'retryAfterMs' | 'ran'> = {},
): RadishyokeError {
  return {kind, detail, ...extra};
}

/** Returns whether the request that failed with `err` may have reached an endpoint. */
export function resolveRan(err: RadishyokeError): Ran {
  return err.ran ?? ERROR_ANSWERS[err.kind].ran;
}
