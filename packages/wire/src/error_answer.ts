/** Writes error values as HTTP responses according to the table of error kinds. */

import type {ServerResponse} from 'node:http';
import {
  ERROR_ANSWERS,
  RadishyokeError,
  resolveRan,
} from '@radishyoke/shared/error_kind';
import {HEADERS} from '@radishyoke/shared/header';
import {sendWhole} from './whole_answer.js';

const msPerSecond = 1000;

/** Body of every error response. */
export interface ErrorBody {
  readonly error: string;
  readonly detail: string;
  readonly ran: 'no' | 'maybe' | 'yes';
  readonly retryable: boolean;
  readonly retryAfterMs?: number;
}

export function createErrorBody(err: RadishyokeError): ErrorBody {
  return {
    error: err.kind,
    detail: err.detail,
    ran: resolveRan(err),
    retryable: ERROR_ANSWERS[err.kind].retryable,
    ...(err.retryAfterMs === undefined
      ? {}
      : {retryAfterMs: Math.ceil(err.retryAfterMs)}),
  };
}

/**
 * Responds with `err`. If the headers of another response have already been sent, the
 * connection is destroyed, so that the caller cannot mistake a partial response for a
 * complete one.
 */
export function sendError(
  res: ServerResponse,
  err: RadishyokeError,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const retryAfter: Readonly<Record<string, string>> =
    err.retryAfterMs === undefined
      ? {}
      : {'retry-after': String(Math.ceil(err.retryAfterMs / msPerSecond))};
  sendJson(res, ERROR_ANSWERS[err.kind].status, createErrorBody(err), {
    [HEADERS.error]: err.kind,
    [HEADERS.ran]: resolveRan(err),
    ...retryAfter,
    ...headers,
  });
}

/** Responds with `value` as JSON. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const type = {'content-type': 'application/json'};
  sendWhole(res, status, {...type, ...headers}, JSON.stringify(value));
}
