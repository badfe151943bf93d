/** Names a request by what it asks, so that its repeats are known for the same. */

import {createHash} from 'node:crypto';

/** What makes two requests the same, whichever VM and endpoint they go through. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** With its query. */
  readonly path: string;
  /** Client account; another account's request is another one. */
  readonly account?: string;
  readonly body: Uint8Array;
}

/** Hexadecimal digits kept: 128 bits, which no two requests share by chance. */
const DIGITS = 32;

/** Equal for equal requests; tells nothing of their content. */
export function fingerprintRequest(content: RequestContent): string {
  const {method, host, path, account, body} = content;
  const head = JSON.stringify([method, host, path, account ?? null]);
  const hash = createHash('sha256').update(head).update('\n').update(body);
  return hash.digest('hex').slice(0, DIGITS);
}
