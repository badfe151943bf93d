/** Headers that apply to a single connection only (RFC 9110, section 7.6.1). */

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Whether a header must not be forwarded; `name` is in lower case. */
export function isHopByHop(name: string): boolean {
  return HOP_BY_HOP_HEADERS.has(name);
}
