/** HTTP headers of the caller interface, lower case as Node gives them. */

export const HEADERS = {
  /** Who sends this; required. */
  tenant: 'x-radishyoke-tenant',
  /** The caller's name for its request; makes a non-idempotent one run at most once. */
  requestId: 'x-radishyoke-request-id',
  /** `true` marks a request non-idempotent, `false` idempotent, whatever its method. */
  nonIdempotent: 'x-radishyoke-non-idempotent',
  /** On answers: whether the request may have run (`no`, `maybe`, `yes`). */
  ran: 'x-radishyoke-ran',
  /** On refusals: the error kind. */
  error: 'x-radishyoke-error',
  /** On answers: the rule that decided. */
  rule: 'x-radishyoke-rule',
  /** On answers: the configuration version in force. */
  configVersion: 'x-radishyoke-config-version',
  /** On answers: the endpoint that ran the request. */
  endpoint: 'x-radishyoke-endpoint',
  /** Between VMs: the VM that forwards a trainer to the owner of its step. */
  forwardedBy: 'x-radishyoke-forwarded-by',
} as const;
