/** A single HTTP call with a time limit, whose outcome says whether it may have been executed. */

import http from 'node:http';
import {BodyBuffer} from '@radishyoke/wire/body_buffer';
import {
  describeUnmade,
  watchConnection,
  watchInterimAnswers,
} from './connections.js';

export interface CallRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  /** Includes the query. */
  readonly path: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: Uint8Array;
  /** Limit for connection, request and complete answer together, ms. */
  readonly timeoutMs: number;
  /** The call also ends if nothing was received for this long, ms. */
  readonly silenceMs?: number;
  /** Longest body of the answer that is accepted, bytes. */
  readonly maxBytes?: number;
  readonly signal?: AbortSignal;
}

/** Longest answer accepted if the call sets no limit, bytes: several of the longest reads of the log. */
const DEFAULT_MAX_BYTES = 16 * 1024 * 1024;
/** Longest answer of an endpoint to a control call, bytes; usual ones have some hundred. */
export const MAX_CONTROL_ANSWER_BYTES = 256 * 1024;

export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: http.IncomingHttpHeaders;
      readonly body: Buffer;
    }
  /** No connection was made, so nothing was sent. */
  | {readonly kind: 'unsent'; readonly detail: string}
  /** The call was sent at least in part, and no complete answer was received. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** Sends `call` on a connection of `agent`; never rejects. */
export function callOnce(
  agent: http.Agent,
  call: CallRequest,
): Promise<CallOutcome> {
  return new Promise(resolve => {
    let isConnected = false;
    let req: http.ClientRequest;
    const cut = (detail: string) => {
      fail(detail);
      req.destroy();
    };
    const timeOut = (ms: number) => cut(`no answer in ${ms} ms`);
    const timer = setTimeout(timeOut, call.timeoutMs, call.timeoutMs);
    const {silenceMs = call.timeoutMs} = call;
    const silenceTimer = setTimeout(timeOut, silenceMs, silenceMs);
    const onAbort = () => cut('aborted by the caller');
    const finish = (outcome: CallOutcome) => {
      clearTimeout(timer);
      clearTimeout(silenceTimer);
      call.signal?.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const fail = (detail: string) =>
      finish({kind: isConnected ? 'unknown' : 'unsent', detail});
    try {
      req = http.request({
        agent,
        host: call.host,
        port: call.port,
        method: call.method,
        path: call.path,
        headers: {...call.headers, 'Content-Length': call.body?.length ?? 0},
      });
    } catch (err) {
      return fail(describeUnmade(err));
    }
    watchConnection(req, {onConnected: () => (isConnected = true)});
    req.on('error', err => fail(err.message));
    watchInterimAnswers(req, () => cut('too many interim answers'));
    req.on('response', res => {
      const body = new BodyBuffer(call.maxBytes ?? DEFAULT_MAX_BYTES);
      res.on('data', (chunk: Buffer) => {
        silenceTimer.refresh();
        if (!body.push(chunk)) cut('the answer is too long');
      });
      res.on('error', err => fail(err.message));
      res.on('end', () => {
        if (!res.complete) return fail('the answer ended early');
        finish({
          kind: 'answered',
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: body.take(),
        });
      });
    });
    call.signal?.addEventListener('abort', onAbort, {once: true});
    req.end(call.body);
  });
}
