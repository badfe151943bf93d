/**
 * Forwards a caller's request to an endpoint and streams the response back. Method,
 * path, body and headers are preserved, except for hop-by-hop headers.
 */

import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import type {FailureKind} from '@radishyoke/core/scheduling/failure';
import {isNotConnected, isResponseTimeout} from './connection_error.js';
import {isHopByHop} from './hop_by_hop.js';
import {renewConnections} from './renewing_agent.js';

export interface ForwardRequest {
  readonly origin: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  /** The complete body if it was short, otherwise the caller's request stream. */
  readonly body: Buffer | Readable | null;
  /** Added to the headers of the response. */
  readonly answerHeaders: Readonly<Record<string, string>>;
  /** Maximum wait for the response headers and between body chunks, ms. */
  readonly progressTimeoutMs: number;
  /** Called just before the response headers are sent to the caller. */
  readonly onHead?: () => void;
}

/** How a forwarded request ended. */
export type ForwardEnd =
  | {readonly kind: 'finished'; readonly status: number}
  | {
      readonly kind: 'failed';
      readonly failure: FailureKind;
      /** Whether the endpoint may have received the request. */
      readonly sent: boolean;
      /**
       * Whether response headers were sent to the caller, so that no retry is
       * possible.
       */
      readonly answered: boolean;
    }
  /** The caller disconnected, or `stop` was called. */
  | {readonly kind: 'stopped'};

/** One forwarded request; `run` resolves when it has ended and never rejects. */
export class Forward {
  private readonly abort = new AbortController();
  private stopped = false;

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly req: ForwardRequest,
    private readonly res: ServerResponse,
  ) {}

  async run(): Promise<ForwardEnd> {
    const {req, res} = this;
    const onClose = () => {
      if (!res.writableFinished) this.stop();
    };
    res.once('close', onClose);
    try {
      const response = await this.dispatcher.request({
        origin: req.origin,
        method: req.method as Dispatcher.HttpMethod,
        path: req.path,
        headers: selectEndToEndHeaders(req.headers),
        body: req.body,
        headersTimeout: req.progressTimeoutMs,
        bodyTimeout: req.progressTimeoutMs,
        signal: this.abort.signal,
      });
      return await this.relayResponse(response);
    } catch (err) {
      if (this.stopped) return {kind: 'stopped'};
      if (isResponseTimeout(err)) renewConnections(this.dispatcher, req.origin);
      const sent = !isNotConnected(err);
      const failure = resolveFailure(err, sent);
      return {kind: 'failed', failure, sent, answered: res.headersSent};
    } finally {
      res.off('close', onClose);
    }
  }

  /** Aborts the request to the endpoint. */
  stop(): void {
    this.stopped = true;
    this.abort.abort();
  }

  private async relayResponse(
    response: Dispatcher.ResponseData,
  ): Promise<ForwardEnd> {
    const {res, req} = this;
    // Endpoints reject requests over their capacity before running them, so the
    // request can go to another endpoint instead of failing.
    if (response.statusCode === 429 || response.statusCode === 503) {
      await response.body.dump();
      return {kind: 'failed', failure: 'rejected', sent: true, answered: false};
    }
    req.onHead?.();
    res.writeHead(response.statusCode, {
      ...selectEndToEndHeaders(response.headers),
      ...req.answerHeaders,
    });
    for await (const chunk of response.body) {
      if (res.write(chunk)) continue;
      await waitForDrain(res);
    }
    res.end();
    return {kind: 'finished', status: response.statusCode};
  }
}

function resolveFailure(err: unknown, sent: boolean): FailureKind {
  if (!sent) return 'connect_failed';
  return isResponseTimeout(err) ? 'silent' : 'connection_lost';
}

/** Returns a copy of the headers without `host` and hop-by-hop headers. */
export function selectEndToEndHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const selected: Record<string, string | string[]> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || name === 'host' || isHopByHop(name)) continue;
    selected[name] = value;
  }
  return selected;
}

/** Resolves when `res` can take more data or its connection has closed. */
function waitForDrain(res: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const settle = () => {
      res.off('drain', settle);
      res.off('close', settle);
      resolve();
    };
    res.once('drain', settle);
    res.once('close', settle);
  });
}
