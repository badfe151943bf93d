/**
 * Receives the bodies of requests. A body that is too long, stands still, comes too late
 * or has to give way to others ends its receipt; what still comes of it is discarded.
 */

import type {IncomingMessage} from 'node:http';
import {createError, type ErrorKind} from '@radishyoke/shared/error_kind';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import {BodyBuffer} from './body_buffer.js';
import type {MemoryBudget} from './memory_budget.js';
import {stopReading} from './request_pacer.js';

export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest time without a byte, ms. */
  readonly maxSilenceMs: number;
  /** Longest time until the body is whole, ms. */
  readonly maxMs: number;
  /** Memory that all bodies share; without one it is not limited. */
  readonly budget?: MemoryBudget;
}

/** Delay before a caller should send a body again that had to give way, ms. */
const RETRY_AFTER_MS = 300;

const TOO_MUCH_HELD = 'too much is held for callers';

/** Returns the announced length of a body, bytes; undefined if it is sent in chunks. */
export function readAnnouncedBytes(req: IncomingMessage): number | undefined {
  if (req.headers['transfer-encoding'] !== undefined) return undefined;
  return Number(req.headers['content-length'] ?? 0);
}

/** The receipt of one request's body. */
export class BodyReceipt {
  /** Resolves when the body is whole, or to why it was not received. */
  readonly whole: Promise<Result<undefined>>;
  private readonly buffer: BodyBuffer;
  private readonly startedMs = performance.now();
  private resolve!: (result: Result<undefined>) => void;
  private timer: NodeJS.Timeout | undefined;
  private isSettled = false;
  private maxMs: number;

  /** Begins to receive the body of `req`. Must be called before the request waits for anything. */
  constructor(
    private readonly req: IncomingMessage,
    private readonly limits: BodyLimits,
  ) {
    const announcedBytes = readAnnouncedBytes(req);
    this.maxMs = limits.maxMs;
    this.buffer = new BodyBuffer(limits.maxBytes, limits.budget, {
      minPieceBytes: 1,
      ...(announcedBytes === undefined ? {} : {announcedBytes}),
      onEvicted: () => this.fail('overloaded', TOO_MUCH_HELD),
    });
    this.whole = new Promise(resolve => (this.resolve = resolve));
    if ((announcedBytes ?? 0) > limits.maxBytes) {
      this.failTooLong();
      return;
    }
    req.on('data', this.receive);
    req.once('end', () => this.finish());
    req.once('close', () =>
      this.fail('bad_request', 'the connection closed before the body ended'),
    );
    if (announcedBytes !== 0) this.checkTimes();
  }

  /** Shortens the time that the body has since its first byte. */
  limitTo(maxMs: number): void {
    if (maxMs >= this.maxMs || this.isSettled) return;
    this.maxMs = maxMs;
    clearTimeout(this.timer);
    this.checkTimes();
  }

  /** The whole body. */
  get body(): Buffer {
    return this.buffer.finish();
  }

  /** Returns the whole body, which this no longer keeps or counts. */
  take(): Buffer {
    return this.buffer.take();
  }

  /** Gives the memory back; what still comes of the body is discarded. */
  release(): void {
    this.buffer.drop();
    this.settle(fail(createError('bad_request', 'the body is not needed')));
  }

  private readonly receive = (piece: Buffer): void => {
    if (this.isSettled || this.buffer.push(piece)) return;
    if (this.buffer.isTooLong) this.failTooLong();
    else this.fail('overloaded', TOO_MUCH_HELD);
  };

  private finish(): void {
    if (this.isSettled) return;
    this.buffer.finish();
    this.settle(succeed(undefined));
  }

  private readonly checkTimes = (): void => {
    const nowMs = performance.now();
    const silenceMs = nowMs - (this.buffer.progressMs ?? nowMs);
    const leftMs = Math.min(
      this.startedMs + this.maxMs - nowMs,
      this.limits.maxSilenceMs - silenceMs,
    );
    if (leftMs <= 0) {
      this.fail('body_late', 'the body did not arrive in time');
      return;
    }
    this.timer = setTimeout(this.checkTimes, Math.ceil(leftMs));
  };

  private failTooLong(): void {
    this.fail('too_large', `body over ${this.limits.maxBytes} bytes`);
  }

  private fail(kind: ErrorKind, detail: string): void {
    if (this.isSettled) return;
    this.buffer.drop();
    const canRetry = kind === 'overloaded' || kind === 'body_late';
    const retry = canRetry ? {retryAfterMs: RETRY_AFTER_MS} : {};
    this.settle(fail(createError(kind, detail, retry)));
    // `receive` drops what comes of the current read; the next waits for the answer.
    if (!this.req.complete) stopReading(this.req);
  }

  private settle(result: Result<undefined>): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.timer);
    this.resolve(result);
  }
}

/** Reads a body of at most `maxBytes`; a longer one is refused as `too_large`. */
export async function readBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Buffer>> {
  const receipt = new BodyReceipt(req, limits);
  const received = await receipt.whole;
  return received.ok ? succeed(receipt.take()) : received;
}

/** Reads a JSON body. */
export async function readJson(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<unknown>> {
  const body = await readBody(req, limits);
  if (!body.ok) return body;
  try {
    return succeed(JSON.parse(body.value.toString('utf8')));
  } catch {
    return fail(createError('bad_request', 'the body is not JSON'));
  }
}
