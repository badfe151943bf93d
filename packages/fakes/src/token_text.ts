/**
 * The text of generated tokens. A token contains the weight version that
 * generated it and a checksum of seed and position, so that a test can verify from
 * the text alone that it is complete, and which versions generated it.
 */

import type {TokenSpan} from '@radishyoke/shared/rollout';
import {mix32} from './mix.js';

const CHECK_VALUES = 36 ** 2;

function writeCheck(seed: number, index: number): string {
  return (mix32(seed, index) % CHECK_VALUES).toString(36).padStart(2, '0');
}

/** Returns the text of `count` tokens of `version` from position `first` on. */
export function writeTokens(
  seed: number,
  first: number,
  count: number,
  version: number,
): string {
  let text = '';
  for (let i = first; i < first + count; i++)
    text += ` ${version}.${writeCheck(seed, i)}`;
  return text;
}

/** What the tokens of a text contain. */
export interface ParsedTokens {
  readonly tokens: number;
  readonly spans: readonly TokenSpan[];
}

/**
 * Parses a text that must consist of the tokens of `seed` from the first one on;
 * undefined if a token is missing, duplicated or from another request.
 */
export function readTokens(
  seed: number,
  text: string,
): ParsedTokens | undefined {
  const words = text === '' ? [] : text.split(' ').slice(1);
  const spans: Array<{weightVersion: number; tokens: number}> = [];
  for (const [i, word] of words.entries()) {
    const match = /^(\d+)\.([0-9a-z]{2})$/.exec(word);
    if (!match || match[2] !== writeCheck(seed, i)) return undefined;
    addToSpans(spans, Number(match[1]), 1);
  }
  if (text !== '' && !text.startsWith(' ')) return undefined;
  return {tokens: words.length, spans};
}

/** Adds tokens to the last span, or begins a new one if the version differs. */
export function addToSpans(
  spans: Array<{weightVersion: number; tokens: number}>,
  weightVersion: number,
  tokens: number,
): void {
  const last = spans[spans.length - 1];
  if (last?.weightVersion === weightVersion) last.tokens += tokens;
  else spans.push({weightVersion, tokens});
}
