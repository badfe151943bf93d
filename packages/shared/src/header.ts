/** HTTP headers of the caller interface, in lower case as Node.js reports them. */

export const HEADERS = {
  /** The client account (tenant) that sends the request; required. */
  tenant: 'x-radishyoke-tenant',
  /**
   * Request id chosen by the caller; with it a non-idempotent request runs at most
   * once.
   */
  requestId: 'x-radishyoke-request-id',
  /**
   * `true` marks a request as non-idempotent, `false` as idempotent, whatever its
   * method.
   */
  nonIdempotent: 'x-radishyoke-non-idempotent',
  /** On responses: whether the request may have run (`no`, `maybe`, `yes`). */
  ran: 'x-radishyoke-ran',
  /** On error responses: the error kind. */
  error: 'x-radishyoke-error',
  /** On responses: the rule that was applied. */
  rule: 'x-radishyoke-rule',
  /** On responses: the configuration version in force. */
  configVersion: 'x-radishyoke-config-version',
  /** On responses: the endpoint that ran the request. */
  endpoint: 'x-radishyoke-endpoint',
  /** Between VMs: the VM that forwards a trainer's request to the owner of its step. */
  forwardedBy: 'x-radishyoke-forwarded-by',
} as const;
