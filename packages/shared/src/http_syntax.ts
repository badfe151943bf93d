/**
 * Checks texts that become part of an outgoing HTTP request (RFC 9110). Node.js
 * throws if it is given others, at the moment at which the request is made.
 */

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
const VISIBLE = /^[\x21-\x7e]+$/;
const VISIBLE_WITH_BLANKS = /^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/;

/** Whether `text` can be the name of a header. */
export function isHeaderName(text: string): boolean {
  return TOKEN.test(text);
}

/** Whether `text` can be the value of a header. */
export function isHeaderValue(text: string): boolean {
  return FIELD_VALUE.test(text);
}

/** Whether `text` can be an id that is sent in a header and arrives unchanged. */
export function isRequestId(text: string): boolean {
  return VISIBLE_WITH_BLANKS.test(text);
}

/** Whether `text` can be the value of the `Host` header. */
export function isHost(text: string): boolean {
  return VISIBLE.test(text);
}

/** Whether `text` can be a path with an optional query. */
export function isRequestPath(text: string): boolean {
  return text.startsWith('/') && VISIBLE.test(text);
}
