/**
 * Sends whole answers. An answer that is given before the request's body has come ends its
 * connection, but not at once: what is unread then would reset the connection, and the
 * caller might lose the answer. So a bounded part of the body is read and discarded first.
 */

import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from 'node:http';
import type {MemoryBudget, MemoryHolder} from './memory_budget.js';
import {readAnnouncedBytes} from './request_body.js';
import {isReadingStopped, resumeReading, stopReading} from './request_pacer.js';

/** Most that is discarded of a body before the connection ends, bytes, and how long, ms. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
const MAX_LINGER_MS = 1000;
/** What is left of a body that was announced as at most this long is left to Node.js, and the connection is kept, bytes. */
const MAX_SKIPPED_BYTES = 64 * 1024;

/** Shorter answers are not counted, bytes: a request itself takes more. */
const MIN_COUNTED_BYTES = 4096;

/** What was written of an answer and its caller has not read. */
class UnreadAnswer implements MemoryHolder {
  readonly progressMs = performance.now();

  constructor(private readonly res: ServerResponse) {}

  evict(): void {
    this.res.destroy();
  }
}

/** Counts `bytes` of an answer in `budget` until they are sent or the connection has closed; returns whether the answer is kept. */
export function countAnswer(
  res: ServerResponse,
  bytes: number,
  budget: MemoryBudget,
): boolean {
  if (bytes < MIN_COUNTED_BYTES) return true;
  const answer = new UnreadAnswer(res);
  res.once('close', () => budget.release(answer));
  return budget.hold(answer, bytes);
}

/** Resolves when `res` has taken what was written to it, which counts in `budget` meanwhile; not if its connection closes. */
export function waitUntilTaken(
  res: ServerResponse,
  budget: MemoryBudget,
): Promise<void> {
  const answer = new UnreadAnswer(res);
  const release = () => budget.release(answer);
  return new Promise(resolve => {
    res.once('close', release);
    res.once('drain', () => {
      res.off('close', release);
      release();
      resolve();
    });
    budget.hold(answer, res.writableLength);
  });
}

/** Answers with `body` on `res`, and closes the connection if the rest of the request is not worth reading. */
export function sendWhole(
  res: ServerResponse,
  status: number,
  headers: OutgoingHttpHeaders,
  body: Uint8Array | string,
): void {
  const length = {'Content-Length': Buffer.byteLength(body)};
  if (isRestShort(res.req)) {
    res.writeHead(status, {...headers, ...length});
    res.end(body);
    return;
  }
  res.writeHead(status, {...headers, ...length, Connection: 'close'});
  if (length['Content-Length'] === 0) res.flushHeaders();
  else res.write(body);
  linger(res);
}

/** Discards a bounded part of what comes, and then ends `res` and with it the connection. */
function linger(res: ServerResponse): void {
  const {req} = res;
  let bytes = 0;
  const end = () => {
    clearTimeout(timer);
    // Until the connection has closed, megabytes more would be read.
    stopReading(req);
    res.end();
  };
  const timer = setTimeout(end, MAX_LINGER_MS);
  req.on('data', (piece: Buffer) => {
    bytes += piece.length;
    if (bytes > MAX_DISCARDED_BYTES) end();
  });
  req.once('end', end);
  res.once('close', () => clearTimeout(timer));
  req.resume();
  resumeReading(req);
}

/** Whether all of the request has come, or soon will have. */
function isRestShort(req: IncomingMessage): boolean {
  if (req.complete) return true;
  const announcedBytes = readAnnouncedBytes(req) ?? Infinity;
  if (announcedBytes === 0) return true;
  if (isReadingStopped(req)) return false;
  return announcedBytes <= MAX_SKIPPED_BYTES && !req.readableDidRead;
}
