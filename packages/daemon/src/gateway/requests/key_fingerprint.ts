/** Names a caller's key in logs without telling it. */

import {createHash} from 'node:crypto';

/** Hexadecimal digits kept: enough to tell the keys of a deployment apart, too few to find one. */
const FINGERPRINT_DIGITS = 8;

/** A short text that is the same for the same key; undefined for none. */
export function fingerprintKey(key: string | undefined): string | undefined {
  if (key === undefined) return undefined;
  return createHash('sha256')
    .update(key)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}
