/** Writes error values as HTTP answers, by the table of error kinds. */

import type {ServerResponse} from 'node:http';
import {
  ERROR_ANSWERS,
  RadishyokeError,
  resolveRan,
} from '@radishyoke/shared/error_kind';
import {HEADERS} from '@radishyoke/shared/header';

const msPerSecond = 1000;

/** Body of every refusal. */
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
 * Answers `res` with `err`. Once the head of another answer is out, the
 * connection is broken instead: a caller must not take half an answer for whole.
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

/** Answers with `value` as JSON. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = JSON.stringify(value);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    ...headers,
  });
  res.end(body);
}
