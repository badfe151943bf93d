/** Answers as callers get them: those of endpoints, and the gateway's own. */

import type {ServerResponse} from 'node:http';
import {
  ERROR_ANSWERS,
  type RadishyokeError,
} from '@radishyoke/shared/error_kind';
import {isHopByHop} from '@radishyoke/wire/hop_by_hop';
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

/** Copies an endpoint's headers, given as names and values by turns; the length of a body is the sender's matter. */
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
