/** Identifies a caller's key in logs without revealing it. */

import {createHash} from 'node:crypto';

/** Hexadecimal digits of the hash: enough to tell the keys of a deployment apart, too few to recover one. */
const FINGERPRINT_DIGITS = 8;

/** Returns a short hash of `key`, or undefined if there is no key. */
export function fingerprintKey(key: string | undefined): string | undefined {
  if (key === undefined) return undefined;
  return createHash('sha256')
    .update(key)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}
