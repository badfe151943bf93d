/**
 * JSON calls over HTTP. The result is a response, or a failure that states whether the
 * call may have reached the server. Nothing here throws.
 */

import {Agent, Dispatcher, errors} from 'undici';
import type {CallOptions} from './call_options.js';

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 2000;
const MAX_RETRY_AFTER_S = 3600;

/** Error codes of connections that were never established, so nothing was sent. */
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
  /** Time that the server is asked to wait before it responds. */
  readonly waitMs?: number;
}

export type JsonAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** The parsed body; undefined if it is not JSON. */
      readonly body: unknown;
      readonly retryAfterMs?: number;
    }
  | {
      readonly kind: 'failed';
      /** Whether the server may have received any byte of the call. */
      readonly sent: boolean;
      readonly detail: string;
    };

/** Client for one address; keeps connections open until it is closed. */
export class JsonHttpClient {
  private readonly origin: string;
  private agent = createAgent();
  /** Agents that accept no new calls and close when their current ones have ended. */
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

  /** Aborts calls in flight and closes all connections. */
  async close(): Promise<void> {
    const agents = [this.agent, ...this.retired];
    await Promise.all(agents.map(agent => agent.destroy()));
  }

  // A device between the two ends can lose its connection state: existing connections
  // go silent permanently while new ones work. Calls then time out one after another,
  // each on the next idle connection. After one timeout no older connection is used
  // again, so the next call opens a new one.
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
      // Prevents the library from repeating calls other than GET, even without a body.
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
    // `call` applies one timeout to the complete call.
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
      throw new Error(`the response exceeds ${MAX_ANSWER_BYTES} bytes`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Parses a body; returns undefined if it is not JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Converts a `retry-after` header in seconds to ms, at most one hour. */
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
