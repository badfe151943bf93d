/** Decodes the bodies of `POST /v1/completions`, `POST /orders` and `PUT /kv/ID`. */

import {createHash} from 'node:crypto';
import type {EngineOrder, EngineRequest, KvState} from './engine_event.js';
import {HttpFailure} from './http_server.js';

type JsonObject = Readonly<Record<string, unknown>>;

/** Characters at the start of a prompt that identify its prefix. */
const PREFIX_CHARS = 256;
const CHARS_PER_TOKEN = 4;
const DIGEST_CHARS = 16;
const MAX_ID_CHARS = 512;

/** A prompt that contains this text crashes the engine that generates for it. */
export const POISON_MARK = '[[poison]]';

/** Returns the key that identifies a prompt's prefix in cache events. */
export function hashPrefix(prompt: string): string {
  return hash(prompt.slice(0, PREFIX_CHARS));
}

/** Counts a prompt's tokens as the engine does. */
export function countPromptTokens(prompt: string): number {
  return Math.ceil(prompt.length / CHARS_PER_TOKEN);
}

export function decodeCompletion(body: JsonObject): EngineRequest {
  const id = readId(body);
  const {prompt} = body;
  if (typeof prompt !== 'string') throw createBadField('prompt');
  if (body.stream !== true) throw createBadField('stream');
  return {
    id,
    seed: body.seed === undefined ? deriveSeed(id) : readCount(body, 'seed'),
    maxTokens: readCount(body, 'max_tokens'),
    resumeTokens: readResumeTokens(body.resume),
    promptTokens: countPromptTokens(prompt),
    prefixKey: hashPrefix(prompt),
    promptKey: hash(prompt),
    poison: prompt.includes(POISON_MARK),
  };
}

export function decodeOrder(body: JsonObject): EngineOrder {
  const fencing = readCount(body, 'fencing');
  const {kind} = body;
  if (kind === 'load_version')
    return {fencing, kind, version: readCount(body, 'version')};
  if (kind === 'load_model' || kind === 'load_adapter' || kind === 'set_role')
    return {fencing, kind};
  throw createBadField('kind');
}

export function decodeKvState(id: string, bytes: Buffer): KvState {
  let state: unknown;
  try {
    state = JSON.parse(bytes.toString('utf8'));
  } catch {
    throw createBadField('kv');
  }
  if (typeof state !== 'object' || state === null) throw createBadField('kv');
  const promptTokens = readCount(state as JsonObject, 'promptTokens');
  const outputTokens = readCount(state as JsonObject, 'outputTokens');
  return {id, promptTokens, outputTokens};
}

function readId(body: JsonObject): string {
  const id = body.request_id;
  if (typeof id !== 'string' || id === '' || id.length > MAX_ID_CHARS)
    throw createBadField('request_id');
  return id;
}

function readResumeTokens(resume: unknown): number {
  if (resume === undefined || resume === null) return 0;
  if (typeof resume !== 'object') throw createBadField('resume');
  const {text} = resume as JsonObject;
  if (typeof text !== 'string') throw createBadField('resume');
  return readCount(resume as JsonObject, 'tokens');
}

function readCount(body: JsonObject, key: string): number {
  const value = body[key];
  if (!Number.isSafeInteger(value) || (value as number) < 0)
    throw createBadField(key);
  return value as number;
}

function deriveSeed(id: string): number {
  return parseInt(hash(id).slice(0, 8), 16);
}

function hash(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_CHARS);
}

function createBadField(field: string): HttpFailure {
  return new HttpFailure(400, {error: `bad_${field}`});
}
