/**
 * Runs one attempt at an endpoint whose answer is a stream of events. Each event is passed to
 * the reader as soon as it has arrived completely.
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
import {
  type EndpointAnswer,
  type ExchangeRequest,
  findAnswerProblem,
  isSuccess,
  type NotExecuted,
  readNotExecuted,
} from './endpoint_exchange.js';
import type {AnswerMetadata, EndpointProtocol} from './endpoint_protocol.js';
import {EventSplitter, type RawEvent} from './event_splitter.js';
import {FloodGuard} from './flood_guard.js';

/** How a streaming attempt ended. */
export type StreamOutcome =
  /** All events were received and the endpoint ended the answer properly. */
  | {readonly kind: 'whole'}
  /** The endpoint answered with a failure status instead of events. */
  | {readonly kind: 'answered'; readonly answer: EndpointAnswer}
  | NotExecuted
  /** No connection was made. */
  | {readonly kind: 'unsent'; readonly detail: string}
  /** The stream ended early, or it is unknown whether the request ran. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** Receives the events of a stream. */
export interface StreamReader {
  /** Called when the answer begins; `rawHeaders` are names and values alternating. */
  onHead(rawHeaders: readonly string[], metadata: AnswerMetadata): void;
  /** Handles an event; returns false if it does not follow the events before it. */
  onEvent(event: RawEvent): boolean;
  /** Resolves when the reader can take more; undefined if it can do so now. */
  waitForDrain(): Promise<void> | undefined;
}

/** A connection must be made within this time, ms; network latency is a few ms. */
const CONNECT_TIMEOUT_MS = 250;
/** Longest body of a failure that is accepted, bytes. */
const MAX_FAILURE_BYTES = 1024 * 1024;

export class EndpointStream {
  private req: http.ClientRequest | undefined;
  private res: http.IncomingMessage | undefined;
  private isConnected = false;
  private wasAborted = false;
  private wasFlooded = false;
  private readonly floodGuard = new FloodGuard();
  private resolve: (outcome: StreamOutcome) => void = () => undefined;
  private readonly splitter = new EventSplitter();

  constructor(
    private readonly agent: http.Agent,
    private readonly protocol: EndpointProtocol,
    private readonly entry: EndpointEntry,
    private readonly reader: StreamReader,
    private readonly budget?: MemoryBudget,
  ) {}

  /** Sends `request` and resolves with the outcome of the attempt; never rejects. */
  run(request: ExchangeRequest): Promise<StreamOutcome> {
    const outcome = new Promise<StreamOutcome>(resolve => {
      this.resolve = resolve;
    });
    try {
      this.send(request);
    } catch (err) {
      this.fail(describeUnmade(err));
    }
    return outcome;
  }

  private send(request: ExchangeRequest): void {
    const {host, port} = this.entry;
    const {method, path, body} = request;
    const req = http.request({
      agent: this.agent,
      host,
      port,
      method,
      path,
      headers: {...request.headers, 'Content-Length': body.length},
      setHost: false,
    });
    this.req = req;
    const events = {
      onConnected: () => (this.isConnected = true),
      onTimeout: () => this.abort('the connection timed out'),
    };
    watchConnection(req, events, CONNECT_TIMEOUT_MS);
    req.on('error', err => this.fail(err.message));
    req.on('close', () => this.handleClose());
    req.on('response', res => this.receive(res, request.attemptId));
    watchInterimAnswers(req, () => this.cut('too many interim answers'));
    req.end(body);
  }

  /** A complete answer may still have events that wait for the reader. */
  private handleClose(): void {
    if (!this.res?.complete) this.fail('the connection closed');
  }

  /** Ends the attempt; the endpoint sees its connection close. */
  abort(detail: string): void {
    this.wasAborted = true;
    this.fail(detail);
    this.req?.destroy();
  }

  /** Whether this VM ended it, so that its end does not count as a broken connection. */
  get isEndedLocally(): boolean {
    return this.wasAborted;
  }

  /** Whether it was ended because the endpoint sent bytes that are no answer. */
  get isFlooded(): boolean {
    return this.wasFlooded;
  }

  private cut(detail: string): void {
    this.wasFlooded = true;
    this.abort(detail);
  }

  private receive(
    res: http.IncomingMessage,
    attemptId: string | undefined,
  ): void {
    this.res = res;
    const metadata = this.protocol.readAnswer(res.headers);
    const problem = findAnswerProblem(res, metadata, attemptId);
    if (problem) return this.abort(problem);
    detectReset(res);
    res.on('error', err => this.fail(err.message));
    if (!isSuccess(res.statusCode ?? 0)) {
      void this.readFailure(res, metadata);
      return;
    }
    this.reader.onHead(res.rawHeaders, metadata);
    res.on('data', (chunk: Buffer) => this.handleChunk(res, chunk));
    res.on('end', () => {
      if (!res.complete) return this.fail('the stream ended early');
      if (this.splitter.hasPartialEvent)
        return this.fail('the stream ended in the middle of an event');
      this.resolve({kind: 'whole'});
    });
  }

  private handleChunk(res: http.IncomingMessage, chunk: Buffer): void {
    if (this.wasAborted) return;
    if (!this.floodGuard.recordPiece(chunk.length, performance.now())) {
      return this.cut('more bytes than a stream of events has');
    }
    const events = this.splitter.push(chunk);
    if (!events) return this.cut('an event is too long');
    for (const event of events) {
      if (event.hasData && !this.floodGuard.recordEvent()) {
        return this.cut('more events than any work produces');
      }
      if (this.reader.onEvent(event)) continue;
      return this.abort(`event ${event.id ?? 'without id'} out of order`);
    }
    const drained = this.reader.waitForDrain();
    if (!drained) return;
    res.pause();
    void drained.then(() => res.resume());
  }

  private async readFailure(
    res: http.IncomingMessage,
    metadata: AnswerMetadata,
  ): Promise<void> {
    const body = new BodyBuffer(MAX_FAILURE_BYTES, this.budget);
    res.once('close', () => body.drop());
    res.on('data', (chunk: Buffer) => {
      if (this.wasAborted || body.push(chunk)) return;
      this.cut('the answer is too long');
    });
    res.on('end', () => {
      if (!res.complete) return this.fail('the answer ended early');
      const status = res.statusCode ?? 0;
      const notExecuted = readNotExecuted(status, metadata);
      if (notExecuted) return this.resolve(notExecuted);
      const {rawHeaders} = res;
      this.resolve({
        kind: 'answered',
        answer: {status, rawHeaders, body: body.take(), metadata},
      });
    });
  }

  private fail(detail: string): void {
    this.resolve({kind: this.isConnected ? 'unknown' : 'unsent', detail});
  }
}
