/**
 * The outcome of an operation whose failures are returned as values instead of
 * thrown.
 */

import type {RadishyokeError} from './error_kind.js';

export type Result<T, E = RadishyokeError> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly error: E};

export function succeed<T>(value: T): Result<T, never> {
  return {ok: true, value};
}

export function fail<E>(error: E): Result<never, E> {
  return {ok: false, error};
}
