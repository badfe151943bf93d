/** Options for the timeout and cancellation of a call to a platform service. */

export interface CallOptions {
  /** The call fails after this time plus the time that the server is asked to wait. */
  readonly timeoutMs: number;
  /** Aborts the call early. */
  readonly signal?: AbortSignal;
}
