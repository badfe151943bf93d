/**
 * One attempt of a caller's request at one endpoint. The answer is read whole
 * and checked before anyone sees it: a caller must never get half a body, the
 * answer to another request, or bytes that are no answer at all.
 */

import http from 'node:http';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {watchConnection} from './connections.js';
import type {AnswerMetadata, EndpointProtocol} from './endpoint_protocol.js';

export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** As they are sent; the length of the body is added. */
  readonly headers: http.OutgoingHttpHeaders;
  readonly body: Uint8Array;
  readonly attemptId: string | undefined;
}

/** An answer as the endpoint gave it. */
export interface EndpointAnswer {
  readonly status: number;
  /** Names and values by turns, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly metadata: AnswerMetadata;
}

export type ExchangeOutcome =
  | {readonly kind: 'answered'; readonly answer: EndpointAnswer}
  /** The endpoint states that it did not run the request. */
  | {readonly kind: 'not_executed'; readonly detail: string}
  /** No connection was made. */
  | {readonly kind: 'unsent'; readonly detail: string}
  /** It was sent; whether it ran is not known. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** Nothing was sent: the endpoint was found to be away before. */
export const ENDPOINT_GONE = {
  kind: 'unsent',
  detail: 'the endpoint is gone',
} as const;

/** Answers of plain services are held in memory whole; longer ones are refused, bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const MISDIRECTED = 421;
/** A connection must be made within this time, ms; distances are a few ms. A machine without power never refuses one, and the request can still go elsewhere. */
const CONNECT_TIMEOUT_MS = 250;

export class EndpointExchange {
  private req: http.ClientRequest | undefined;
  private connectedMs: number | undefined;
  private isDone = false;
  private wasAborted = false;
  private wasGivenUp = false;

  constructor(
    private readonly agent: http.Agent,
    private readonly protocol: EndpointProtocol,
    private readonly entry: EndpointEntry,
  ) {}

  /** Sends `sent` and resolves when it is settled; never rejects. */
  run(sent: ExchangeRequest): Promise<ExchangeOutcome> {
    return new Promise(resolve => {
      const settle = (outcome: ExchangeOutcome) => {
        if (this.isDone) return;
        this.isDone = true;
        resolve(outcome);
      };
      const fail = (detail: string) =>
        settle({
          kind: this.connectedMs === undefined ? 'unsent' : 'unknown',
          detail,
        });
      this.req = this.send(sent);
      this.req.on('error', err => fail(err.message));
      this.req.on('close', () => fail('the connection closed'));
      this.req.on('response', res => this.receive(res, sent, settle, fail));
    });
  }

  /** Ends the attempt on its owner's word; the endpoint sees its connection close. */
  abort(): void {
    this.wasAborted = true;
    this.req?.destroy();
  }

  /** Ends the attempt because its endpoint took too long. */
  giveUp(): void {
    this.wasGivenUp = true;
    this.req?.destroy();
  }

  /** Whether its owner ended it, so that its end tells nothing of the endpoint. */
  get isAborted(): boolean {
    return this.wasAborted;
  }

  /** Whether this side ended it, so that its end is no broken connection. */
  get isEndedLocally(): boolean {
    return this.wasAborted || this.wasGivenUp;
  }

  /** Steady ms from which the endpoint may have had it; undefined where it never did. */
  get sentMs(): number | undefined {
    return this.connectedMs;
  }

  private send(sent: ExchangeRequest): http.ClientRequest {
    const {host, port} = this.entry;
    const {method, path} = sent;
    const headers = {...sent.headers};
    if (sent.body.length > 0 || method !== 'GET') {
      headers['Content-Length'] = sent.body.length;
    }
    const req = http.request({
      agent: this.agent,
      host,
      port,
      method,
      path,
      headers,
      setHost: false,
    });
    const events = {
      onConnected: () => (this.connectedMs = performance.now()),
      onTimeout: () => req.destroy(),
    };
    watchConnection(req, events, CONNECT_TIMEOUT_MS);
    req.end(sent.body);
    return req;
  }

  private receive(
    res: http.IncomingMessage,
    sent: ExchangeRequest,
    settle: (outcome: ExchangeOutcome) => void,
    fail: (detail: string) => void,
  ): void {
    const metadata = this.protocol.readAnswer(res.headers);
    const problem = findAnswerProblem(res, metadata, sent.attemptId);
    if (problem) {
      // What follows on this connection can not be trusted either.
      fail(problem);
      this.req?.destroy();
      return;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    res.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_ANSWER_BYTES) {
        fail('the answer is too long');
        this.req?.destroy();
        return;
      }
      chunks.push(chunk);
    });
    res.on('error', err => fail(err.message));
    res.on('end', () => {
      if (!res.complete) return fail('the answer broke off');
      const status = res.statusCode ?? 0;
      if (metadata.isNotExecuted || status === MISDIRECTED) {
        settle({kind: 'not_executed', detail: `status ${status}`});
        return;
      }
      const {rawHeaders} = res;
      const body = Buffer.concat(chunks);
      settle({
        kind: 'answered',
        answer: {status, rawHeaders, body, metadata: metadata},
      });
    });
  }
}

/** Why an answer can not be the endpoint's to this attempt, if it can not. */
export function findAnswerProblem(
  res: http.IncomingMessage,
  metadata: AnswerMetadata,
  attemptId: string | undefined,
): string | undefined {
  const status = res.statusCode ?? 0;
  // An endpoint may send a second answer to an earlier request, which then
  // stands where this one's is expected. Its id gives it away.
  const isOther = metadata.attemptId !== attemptId;
  if (isOther && (metadata.attemptId !== undefined || isSuccess(status))) {
    return 'the answer is to another request';
  }
  if (isSuccess(status) && metadata.stamp === undefined) {
    return 'the answer bears no proof';
  }
  // Callers ask for bodies as they are; a coded one is not the endpoint's.
  if (res.headers['content-encoding'] !== undefined) {
    return 'the answer is encoded';
  }
  return undefined;
}

/** Whether `status` is a 2xx. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
