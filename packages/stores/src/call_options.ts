/** What every call to the platform is bounded by. */

export interface CallOptions {
  /** The call fails after this long; a wait asked of the other side comes on top. */
  readonly timeoutMs: number;
  /** Aborts the call early. */
  readonly signal?: AbortSignal;
}
