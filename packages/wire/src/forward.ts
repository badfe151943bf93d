/**
 * Sends one caller's request on to an endpoint and its answer back, both
 * streamed. Method, path, headers and body are kept, hop-by-hop headers aside.
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
  /** The whole body where it was short, else the caller's own stream. */
  readonly body: Buffer | Readable | null;
  /** Added to the answer's headers. */
  readonly answerHeaders: Readonly<Record<string, string>>;
  /** Longest wait for the answer's head and between its parts, ms. */
  readonly progressTimeoutMs: number;
  /** Called when the head of the answer goes to the caller. */
  readonly onHead?: () => void;
}

/** How a forwarded request ended. */
export type ForwardEnd =
  | {readonly kind: 'finished'; readonly status: number}
  | {
      readonly kind: 'failed';
      readonly failure: FailureKind;
      /** Whether the endpoint can have received the request. */
      readonly sent: boolean;
      /** Whether the answer's head has gone to the caller: no retry is possible. */
      readonly answered: boolean;
    }
  /** The caller went away. */
  | {readonly kind: 'stopped'};

/** One forwarded request; `run` resolves at its end and never rejects. */
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

  /** Breaks the connection to the endpoint off. */
  stop(): void {
    this.stopped = true;
    this.abort.abort();
  }

  private async relayResponse(
    response: Dispatcher.ResponseData,
  ): Promise<ForwardEnd> {
    const {res, req} = this;
    // An endpoint that takes no more says so before it runs anything; the
    // caller gets another endpoint instead of this answer.
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

/** Copies end-to-end headers. */
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

/** Resolves when `res` takes more, or when its caller has gone. */
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
