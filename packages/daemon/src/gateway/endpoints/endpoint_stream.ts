/**
 * One attempt at an endpoint whose answer is a series of events. Events are
 * handed on as they arrive, each of them whole.
 */

import http from 'node:http';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {watchConnection} from './connections.js';
import {
  type EndpointAnswer,
  type ExchangeRequest,
  findAnswerProblem,
  isSuccess,
} from './endpoint_exchange.js';
import type {AnswerMetadata, EndpointProtocol} from './endpoint_protocol.js';
import {EventSplitter, type RawEvent} from './event_splitter.js';

/** How an attempt ended. */
export type StreamOutcome =
  /** All events came, and the endpoint ended the answer as it should. */
  | {readonly kind: 'whole'}
  /** The endpoint answered, but not with events. */
  | {readonly kind: 'answered'; readonly answer: EndpointAnswer}
  /** The endpoint states that it did not run the request. */
  | {readonly kind: 'not_executed'; readonly detail: string}
  /** No connection was made. */
  | {readonly kind: 'unsent'; readonly detail: string}
  /** The stream broke off, or whether it ran is not known. */
  | {readonly kind: 'unknown'; readonly detail: string};

/** What the reader of a stream does with it. */
export interface StreamReader {
  /** The answer has begun; `rawHeaders` are names and values by turns. */
  onHead(rawHeaders: readonly string[], metadata: AnswerMetadata): void;
  /** Takes an event; false where it can not follow what came before. */
  onEvent(event: RawEvent): boolean;
  /** Resolves when more can be taken. */
  waitForDrain(): Promise<void> | undefined;
}

/** A connection must be made within this time, ms; distances are a few ms. */
const CONNECT_TIMEOUT_MS = 250;
/** A failure's body is read up to this length, bytes. */
const MAX_FAILURE_BYTES = 1024 * 1024;
const MISDIRECTED = 421;

export class EndpointStream {
  private req: http.ClientRequest | undefined;
  private isConnected = false;
  private wasAborted = false;
  private resolve: (outcome: StreamOutcome) => void = () => undefined;
  private readonly splitter = new EventSplitter();

  constructor(
    private readonly agent: http.Agent,
    private readonly protocol: EndpointProtocol,
    private readonly entry: EndpointEntry,
    private readonly reader: StreamReader,
  ) {}

  /** Sends `sent` and resolves when the attempt is over; never rejects. */
  run(sent: ExchangeRequest): Promise<StreamOutcome> {
    const outcome = new Promise<StreamOutcome>(resolve => {
      this.resolve = resolve;
    });
    const {host, port} = this.entry;
    const {method, path, body} = sent;
    const req = http.request({
      agent: this.agent,
      host,
      port,
      method,
      path,
      headers: {...sent.headers, 'Content-Length': body.length},
      setHost: false,
    });
    this.req = req;
    const events = {
      onConnected: () => (this.isConnected = true),
      onTimeout: () => this.abort('no connection in time'),
    };
    watchConnection(req, events, CONNECT_TIMEOUT_MS);
    req.on('error', err => this.fail(err.message));
    req.on('close', () => this.fail('the connection closed'));
    req.on('response', res => this.receive(res, sent.attemptId));
    req.end(body);
    return outcome;
  }

  /** Ends the attempt; the endpoint sees its connection close. */
  abort(detail: string): void {
    this.wasAborted = true;
    this.fail(detail);
    this.req?.destroy();
  }

  /** Whether this side ended it, so that its end is no broken connection. */
  get isEndedLocally(): boolean {
    return this.wasAborted;
  }

  private receive(
    res: http.IncomingMessage,
    attemptId: string | undefined,
  ): void {
    const metadata = this.protocol.readAnswer(res.headers);
    const problem = findAnswerProblem(res, metadata, attemptId);
    if (problem) return this.abort(problem);
    res.on('error', err => this.fail(err.message));
    if (!isSuccess(res.statusCode ?? 0)) {
      void this.readFailure(res, metadata);
      return;
    }
    this.reader.onHead(res.rawHeaders, metadata);
    res.on('data', (chunk: Buffer) => this.handleChunk(res, chunk));
    res.on('end', () => {
      if (!res.complete) return this.fail('the stream broke off');
      if (this.splitter.hasPartialEvent)
        return this.fail('half an event at the end');
      this.resolve({kind: 'whole'});
    });
  }

  private handleChunk(res: http.IncomingMessage, chunk: Buffer): void {
    const events = this.splitter.push(chunk);
    if (!events) return this.abort('an event is too long');
    for (const event of events) {
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
    const chunks: Buffer[] = [];
    let bytes = 0;
    res.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes > MAX_FAILURE_BYTES) this.abort('the answer is too long');
    });
    res.on('end', () => {
      if (!res.complete) return this.fail('the answer broke off');
      const status = res.statusCode ?? 0;
      if (metadata.isNotExecuted || status === MISDIRECTED) {
        this.resolve({kind: 'not_executed', detail: `status ${status}`});
        return;
      }
      const {rawHeaders} = res;
      const body = Buffer.concat(chunks);
      this.resolve({
        kind: 'answered',
        answer: {status, rawHeaders, body, metadata: metadata},
      });
    });
  }

  private fail(detail: string): void {
    this.resolve({kind: this.isConnected ? 'unknown' : 'unsent', detail});
  }
}
