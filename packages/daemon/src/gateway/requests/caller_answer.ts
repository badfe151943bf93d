/** Refusals and failures of the gateway's own, as callers get them. */

import type {ServerResponse} from 'node:http';
import {
  ERROR_ANSWERS,
  type RadishyokeError,
} from '@radishyoke/shared/error_kind';
import {createErrorBody, sendJson} from '@radishyoke/wire/error_answer';
import type {CallerProtocol} from './caller_protocol.js';

/**
 * Answers `res` with `error`. Once the head of another answer is out the
 * connection is broken: a caller must not take half an answer for whole.
 */
export function answerError(
  res: ServerResponse,
  protocol: CallerProtocol,
  error: RadishyokeError,
): void {
  if (res.headersSent || res.destroyed) {
    res.destroy();
    return;
  }
  const headers = protocol.answerHeaders(error.retryAfterMs);
  sendJson(
    res,
    ERROR_ANSWERS[error.kind].status,
    createErrorBody(error),
    headers,
  );
}
