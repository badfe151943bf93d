/** Digests that identify texts and prompt prefixes. */

import {createHash} from 'node:crypto';

/** Returns the SHA-256 of `text` in hex. */
export function computeDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * Number of leading characters of a prompt that identify its cached prefix;
 * must equal the number that the engines use.
 */
const prefixChars = 256;

/**
 * Returns the key of a prompt's cached prefix, as used in engine cache events.
 */
export function computePrefixKey(prompt: string): string {
  return computeDigest(prompt.slice(0, prefixChars)).slice(0, 16);
}
