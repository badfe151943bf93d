/**
 * One JSON call over HTTP as a value: an answer, or a failure that tells whether
 * the call may have reached the other side. Nothing here throws.
 */

import {Agent, Dispatcher, errors} from 'undici';
import type {CallOptions} from './call_options.js';

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 2000;
const MAX_RETRY_AFTER_S = 3600;

/** Failures before a connection stands, when nothing can have been sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

export interface JsonCall {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: unknown;
  /** Time that the other side was asked to wait before it answers. */
  readonly waitMs?: number;
}

export type JsonAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** The decoded body; undefined when it is no JSON. */
      readonly body: unknown;
      readonly retryAfterMs?: number;
    }
  | {
      readonly kind: 'failed';
      /** Whether any byte of the call may have arrived. */
      readonly sent: boolean;
      readonly detail: string;
    };

/** Calls one address. Holds its connections until closed. */
export class JsonHttpClient {
  private readonly origin: string;
  private agent = createAgent();
  /** Agents that take no new calls and wait for theirs to end. */
  private readonly retired = new Set<Agent>();

  /** `address` is `ip:port`. */
  constructor(address: string) {
    this.origin = `http://${address}`;
  }

  async call(call: JsonCall, options: CallOptions): Promise<JsonAnswer> {
    const {agent} = this;
    const abort = new AbortController();
    const timeoutMs = options.timeoutMs + (call.waitMs ?? 0);
    const timer = setTimeout(() => {
      this.retire(agent);
      abort.abort(new Error(`no answer in ${timeoutMs} ms`));
    }, timeoutMs);
    const abortCall = () => abort.abort(new Error('the call was aborted'));
    if (options.signal?.aborted) abortCall();
    options.signal?.addEventListener('abort', abortCall);
    try {
      return await this.send(agent, call, abort.signal);
    } catch (err) {
      return describeFailure(err);
    } finally {
      clearTimeout(timer);
      options.signal?.removeEventListener('abort', abortCall);
    }
  }

  /** Breaks what is in flight and closes all connections. */
  async close(): Promise<void> {
    const agents = [this.agent, ...this.retired];
    await Promise.all(agents.map(agent => agent.destroy()));
  }

  // Something between the two ends can lose track of connections: they go silent
  // for good while new ones work. It shows as calls that time out one after
  // another, each on the next idle connection. After one timeout no connection
  // made before it is used again, so that the next call takes a new one.
  private retire(agent: Agent): void {
    if (this.agent !== agent) return;
    this.agent = createAgent();
    this.retired.add(agent);
    const removeRetired = () => this.retired.delete(agent);
    agent.close().then(removeRetired, removeRetired);
  }

  private async send(
    agent: Agent,
    call: JsonCall,
    signal: AbortSignal,
  ): Promise<JsonAnswer> {
    const res = await agent.request({
      origin: this.origin,
      path: call.path,
      method: call.method,
      signal,
      // A call without a body must not be sent again by the library either.
      idempotent: call.method === 'GET',
      ...(call.body === undefined
        ? {}
        : {
            body: JSON.stringify(call.body),
            headers: {'content-type': 'application/json'},
          }),
    });
    const text = await readText(res.body);
    return {
      kind: 'answered',
      status: res.statusCode,
      body: parseJson(text),
      retryAfterMs: parseRetryAfter(res.headers['retry-after']),
    };
  }
}

function createAgent(): Agent {
  return new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    pipelining: 1,
    // Timeouts are set per call, over the whole of it.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

async function readText(
  body: Dispatcher.ResponseData['body'],
): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_ANSWER_BYTES)
      throw new Error(`the answer is over ${MAX_ANSWER_BYTES} bytes`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Parses a body; what is no JSON becomes undefined. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Reads a `retry-after` in seconds, as ms within an hour. */
export function parseRetryAfter(
  header: string | readonly string[] | undefined,
): number | undefined {
  if (typeof header !== 'string' || !/^\d{1,9}$/.test(header)) return undefined;
  return Math.min(Number(header), MAX_RETRY_AFTER_S) * 1000;
}

function describeFailure(err: unknown): JsonAnswer {
  const {code, message} = err as NodeJS.ErrnoException;
  const notSent =
    (code !== undefined && NOT_SENT_CODES.has(code)) ||
    err instanceof errors.ClientDestroyedError;
  return {kind: 'failed', sent: !notSent, detail: message ?? String(err)};
}
