/** Digests that name texts and requests. */

import {createHash} from 'node:crypto';

/** SHA-256 of `text`, hex. */
export function computeDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Characters of a prompt that name its cached prefix; the engines use the same. */
const prefixChars = 256;

/** Names the cached prefix of `prompt`, as the engines' cache events do. */
export function computePrefixKey(prompt: string): string {
  return computeDigest(prompt.slice(0, prefixChars)).slice(0, 16);
}
