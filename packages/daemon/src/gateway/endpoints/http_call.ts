/** One HTTP call with a bound on its time, told apart by what may have happened. */

import http from 'node:http';
import {watchConnection} from './connections.js';

export interface CallRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  /** With its query. */
  readonly path: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: Uint8Array;
  /** For connection, request and whole answer together, ms. */
  readonly timeoutMs: number;
  /** For each part of it: the call ends sooner once nothing has come for this long, ms. */
  readonly silenceMs?: number;
  readonly signal?: AbortSignal;
}

export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: http.IncomingHttpHeaders;
      readonly body: Buffer;
    }
  /** No connection was made, so nothing was sent. */
  | {readonly kind: 'unsent'; readonly detail: string}
  /** It was sent, in part at least, and no whole answer came. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** Sends `call` on a connection of `agent`; never rejects. */
export function callOnce(
  agent: http.Agent,
  call: CallRequest,
): Promise<CallOutcome> {
  return new Promise(resolve => {
    let isConnected = false;
    const timeOut = (ms: number) => {
      fail(`no answer in ${ms} ms`);
      req.destroy();
    };
    const timer = setTimeout(timeOut, call.timeoutMs, call.timeoutMs);
    const {silenceMs = call.timeoutMs} = call;
    const silenceTimer = setTimeout(timeOut, silenceMs, silenceMs);
    const onAbort = () => {
      fail('given up by the caller');
      req.destroy();
    };
    const finish = (outcome: CallOutcome) => {
      clearTimeout(timer);
      clearTimeout(silenceTimer);
      call.signal?.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    const fail = (detail: string) =>
      finish({kind: isConnected ? 'unknown' : 'unsent', detail});
    const req = http.request({
      agent,
      host: call.host,
      port: call.port,
      method: call.method,
      path: call.path,
      headers: {...call.headers, 'Content-Length': call.body?.length ?? 0},
    });
    watchConnection(req, {onConnected: () => (isConnected = true)});
    req.on('error', err => fail(err.message));
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => {
        silenceTimer.refresh();
        chunks.push(chunk);
      });
      res.on('error', err => fail(err.message));
      res.on('end', () => {
        if (!res.complete) return fail('the answer broke off');
        finish({
          kind: 'answered',
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: Buffer.concat(chunks),
        });
      });
    });
    call.signal?.addEventListener('abort', onAbort, {once: true});
    req.end(call.body);
  });
}
