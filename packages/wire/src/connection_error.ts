/** Reads from a client's exception whether the request can have been received. */

/** Error codes of a connection that was never made: nothing was sent. */
const notConnectedCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const silenceCodes: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

/** Whether `err` says that no connection was made, so nothing can have run. */
export function isNotConnected(err: unknown): boolean {
  return notConnectedCodes.has(readCode(err));
}

/** Whether `err` says that the peer was silent for longer than its timeout. */
export function isSilence(err: unknown): boolean {
  return silenceCodes.has(readCode(err));
}

function readCode(err: unknown): string {
  const code = (err as {readonly code?: unknown} | null)?.code;
  return typeof code === 'string' ? code : '';
}
