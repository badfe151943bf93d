/**
 * Runs one attempt of a request at one endpoint. The answer is read completely and checked
 * before it is passed on, so that a caller never receives a partial body, the answer to
 * another request, or bytes that are no HTTP answer.
 */

import http from 'node:http';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {MemoryBudget} from '@radishyoke/wire/memory_budget';
import {BodyBuffer} from '@radishyoke/wire/body_buffer';
import {
  describeUnmade,
  watchConnection,
  watchInterimAnswers,
} from './connections.js';
import {detectReset} from './endpoint_agent.js';
import type {
  AnswerMetadata,
  EndpointLoad,
  EndpointProtocol,
} from './endpoint_protocol.js';

export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** Sent as they are, with `Content-Length` added. */
  readonly headers: http.OutgoingHttpHeaders;
  readonly body: Uint8Array;
  readonly attemptId: string | undefined;
}

/** An answer as received from the endpoint. */
export interface EndpointAnswer {
  readonly status: number;
  /** Names and values alternating, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly metadata: AnswerMetadata;
}

/** The endpoint states that it did not run the request. */
export interface NotExecuted {
  readonly kind: 'not_executed';
  readonly detail: string;
  /** Whether another endpoint or incarnation was meant; otherwise there was no room. */
  readonly isMisdirected: boolean;
  readonly load: EndpointLoad | undefined;
}

export type ExchangeOutcome =
  | {readonly kind: 'answered'; readonly answer: EndpointAnswer}
  | NotExecuted
  /** No connection was made. */
  | {readonly kind: 'unsent'; readonly detail: string}
  /** The request was sent; whether it ran is unknown. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** Outcome if the endpoint was found unreachable before anything was sent. */
export const ENDPOINT_UNREACHABLE = {
  kind: 'unsent',
  detail: 'the endpoint is unreachable',
} as const;

/** Longest answer accepted, bytes, since answers of plain services are buffered completely. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const MISDIRECTED = 421;
/** A connection must be made within this time, ms; network latency is a few ms. A machine without power never refuses a connection, and the request can still be sent to another endpoint. */
const CONNECT_TIMEOUT_MS = 250;

export class EndpointExchange {
  private req: http.ClientRequest | undefined;
  private connectedMs: number | undefined;
  private isDone = false;
  private wasAborted = false;
  private wasGivenUp = false;
  private body: BodyBuffer | undefined;

  /** @param budget Memory for the bodies of all answers; without one it is not limited. */
  constructor(
    private readonly agent: http.Agent,
    private readonly protocol: EndpointProtocol,
    private readonly entry: EndpointEntry,
    private readonly budget?: MemoryBudget,
  ) {}

  /** Sends `request` and resolves with its outcome; never rejects. */
  run(request: ExchangeRequest): Promise<ExchangeOutcome> {
    return new Promise(resolve => {
      const settle = (outcome: ExchangeOutcome) => {
        if (this.isDone) return;
        this.isDone = true;
        this.body?.drop();
        resolve(outcome);
      };
      const fail = (detail: string) =>
        settle({
          kind: this.connectedMs === undefined ? 'unsent' : 'unknown',
          detail,
        });
      let req: http.ClientRequest;
      try {
        req = this.send(request);
      } catch (err) {
        return fail(describeUnmade(err));
      }
      this.req = req;
      req.on('error', err => fail(err.message));
      req.on('close', () => fail('the connection closed'));
      req.on('response', res => this.receive(res, request, settle, fail));
      watchInterimAnswers(req, () =>
        this.cut('too many interim answers', fail),
      );
    });
  }

  /** Ends the attempt because its owner no longer needs it; the endpoint sees its connection close. */
  abort(): void {
    this.wasAborted = true;
    this.req?.destroy();
  }

  /** Ends the attempt because the endpoint took too long. */
  giveUp(): void {
    this.wasGivenUp = true;
    this.req?.destroy();
  }

  /** Whether its owner aborted it, so that its outcome says nothing about the endpoint. */
  get isAborted(): boolean {
    return this.wasAborted;
  }

  /** Whether this VM ended it, so that its end does not count as a broken connection. */
  get isEndedLocally(): boolean {
    return this.wasAborted || this.wasGivenUp;
  }

  /** Steady ms from which the endpoint may have received the request; undefined if no connection was made. */
  get sentMs(): number | undefined {
    return this.connectedMs;
  }

  private send(request: ExchangeRequest): http.ClientRequest {
    const {host, port} = this.entry;
    const {method, path} = request;
    const headers = {...request.headers};
    if (request.body.length > 0 || method !== 'GET') {
      headers['Content-Length'] = request.body.length;
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
    req.end(request.body);
    return req;
  }

  private receive(
    res: http.IncomingMessage,
    request: ExchangeRequest,
    settle: (outcome: ExchangeOutcome) => void,
    fail: (detail: string) => void,
  ): void {
    const metadata = this.protocol.readAnswer(res.headers);
    const problem = findAnswerProblem(res, metadata, request.attemptId);
    if (problem) {
      // Later data on this connection can not be trusted either.
      fail(problem);
      this.req?.destroy();
      return;
    }
    detectReset(res);
    const announced = res.headers['content-length'];
    const body = new BodyBuffer(MAX_ANSWER_BYTES, this.budget, {
      ...(announced === undefined ? {} : {announcedBytes: Number(announced)}),
    });
    this.body = body;
    res.on('data', (chunk: Buffer) => {
      if (this.isDone || body.push(chunk)) return;
      this.cut('the answer is too long', fail);
    });
    res.on('error', err => fail(err.message));
    res.on('end', () => {
      if (!res.complete) return fail('the answer ended early');
      const status = res.statusCode ?? 0;
      const notExecuted = readNotExecuted(status, metadata);
      if (notExecuted) return settle(notExecuted);
      const {rawHeaders} = res;
      settle({
        kind: 'answered',
        answer: {status, rawHeaders, body: body.take(), metadata},
      });
    });
  }

  /** Closes the connection, as what comes on it is no answer. That is no crash of the endpoint. */
  private cut(detail: string, fail: (detail: string) => void): void {
    fail(detail);
    this.giveUp();
  }
}

/** Returns undefined if the endpoint may have run the request. */
export function readNotExecuted(
  status: number,
  {isNotExecuted, load}: AnswerMetadata,
): NotExecuted | undefined {
  const isMisdirected = status === MISDIRECTED;
  if (!isNotExecuted && !isMisdirected) return undefined;
  const detail = `status ${status}`;
  return {kind: 'not_executed', detail, isMisdirected, load};
}

/** Returns why the answer can not be the endpoint's answer to this attempt, or undefined if it can. */
export function findAnswerProblem(
  res: http.IncomingMessage,
  metadata: AnswerMetadata,
  attemptId: string | undefined,
): string | undefined {
  const status = res.statusCode ?? 0;
  // An endpoint may send a second answer to an earlier request on this
  // connection, which is recognised by its attempt id.
  const isOther = metadata.attemptId !== attemptId;
  if (isOther && (metadata.attemptId !== undefined || isSuccess(status))) {
    return 'the answer is to another request';
  }
  if (isSuccess(status) && metadata.stamp === undefined) {
    return 'the answer has no proof of origin';
  }
  // Bodies are requested without a content encoding; an encoded one does not come from the endpoint.
  if (res.headers['content-encoding'] !== undefined) {
    return 'the answer is encoded';
  }
  return undefined;
}

/** Whether `status` is a 2xx. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
