/** Reads from a client's exception whether the request can have been received. */

/** Error codes of a connection that was never made: nothing was sent. */
const notConnectedCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const responseTimeoutCodes: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

/** Whether `err` says that no connection was made, so nothing can have run. */
export function isNotConnected(err: unknown): boolean {
  return notConnectedCodes.has(getErrorCode(err));
}

/** Whether `err` says that the peer was silent for longer than its timeout. */
export function isResponseTimeout(err: unknown): boolean {
  return responseTimeoutCodes.has(getErrorCode(err));
}

function getErrorCode(err: unknown): string {
  const code = (err as {readonly code?: unknown} | null)?.code;
  return typeof code === 'string' ? code : '';
}
