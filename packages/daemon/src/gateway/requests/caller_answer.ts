/** Writes answers to callers: endpoint answers that are passed on and the gateway's own errors. */

import type {ServerResponse} from 'node:http';
import {
  ERROR_ANSWERS,
  type RadishyokeError,
} from '@radishyoke/shared/error_kind';
import {isHopByHop} from '@radishyoke/wire/hop_by_hop';
import {createErrorBody, sendJson} from '@radishyoke/wire/error_answer';
import type {CallerProtocol} from './caller_protocol.js';

/**
 * Sends `error` as the answer on `res`. If the head of another answer was already
 * sent, the connection is destroyed so that a partial answer never looks complete.
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

/** Copies an endpoint's raw headers (names and values alternating) to `res`, except hop-by-hop headers and `Content-Length`, which depends on how the body is sent. */
export function copyHeaders(
  rawHeaders: readonly string[],
  res: ServerResponse,
): void {
  for (let i = 0; i < rawHeaders.length; i += 2) {
    const name = rawHeaders[i];
    const key = name.toLowerCase();
    if (isHopByHop(key) || key === 'content-length') continue;
    res.appendHeader(name, rawHeaders[i + 1]);
  }
}
