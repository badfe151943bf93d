/**
 * Classifies exceptions of the HTTP client by whether the endpoint may have received
 * the request.
 */

/** Error codes of connections that were never established, so nothing was sent. */
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

/** Whether no connection was established, so the request cannot have run. */
export function isNotConnected(err: unknown): boolean {
  return notConnectedCodes.has(getErrorCode(err));
}

/** Whether no data arrived within the headers or body timeout. */
export function isResponseTimeout(err: unknown): boolean {
  return responseTimeoutCodes.has(getErrorCode(err));
}

function getErrorCode(err: unknown): string {
  const code = (err as {readonly code?: unknown} | null)?.code;
  return typeof code === 'string' ? code : '';
}
