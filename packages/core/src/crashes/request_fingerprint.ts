/**
 * Identifies a request by its content, so that repeats of it are recognized.
 */

import {createHash} from 'node:crypto';

/**
 * The parts that make two requests equal, whichever VM and endpoint they pass
 * through.
 */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Including the query. */
  readonly path: string;
  /** Client account; equal requests of two accounts are different requests. */
  readonly account?: string;
  readonly body: Uint8Array;
}

/**
 * Hexadecimal digits of the fingerprint: 128 bits make accidental collisions
 * negligible.
 */
const DIGITS = 32;

/**
 * Returns the same fingerprint for equal requests; it reveals nothing of their
 * content.
 */
export function fingerprintRequest(content: RequestContent): string {
  const {method, host, path, account, body} = content;
  const head = JSON.stringify([method, host, path, account ?? null]);
  const hash = createHash('sha256').update(head).update('\n').update(body);
  return hash.digest('hex').slice(0, DIGITS);
}
