/**
 * The text of generated tokens. A token tells the weight version that made it
 * and a check of seed and position, so that whoever holds a text can tell
 * without asking the service whether it is whole and which versions made it.
 */

import type {TokenSpan} from '@radishyoke/shared/rollout';
import {mix32} from './mix.js';

const CHECK_VALUES = 36 ** 2;

function writeCheck(seed: number, index: number): string {
  return (mix32(seed, index) % CHECK_VALUES).toString(36).padStart(2, '0');
}

/** Text of `count` tokens from position `first` on, made by `version`. */
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

/** What a text says of itself. */
export interface ParsedTokens {
  readonly tokens: number;
  readonly spans: readonly TokenSpan[];
}

/**
 * Reads a text that must hold the tokens of `seed` from the first one on;
 * undefined when a token is missing, doubled, or belongs to another request.
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

/** Adds tokens to the last span, or begins one when the version is another. */
export function addToSpans(
  spans: Array<{weightVersion: number; tokens: number}>,
  weightVersion: number,
  tokens: number,
): void {
  const last = spans[spans.length - 1];
  if (last?.weightVersion === weightVersion) last.tokens += tokens;
  else spans.push({weightVersion, tokens});
}
