/**
 * Runs one item on an engine and reads its output as a stream of events. Only
 * complete events are passed on, since an engine may fail in the middle of one.
 */

import http from 'node:http';
import type {
  BatchItem,
  OutputEvent,
} from '@radishyoke/core/batches/batch_record';
import {OutputSize} from '@radishyoke/core/batches/output_limit';
import type {RunEnd} from '@radishyoke/core/batches/schedule_action';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {createParser, type EventSourceParser} from 'eventsource-parser';
import {
  describeUnmade,
  watchConnection,
  watchInterimAnswers,
} from '../endpoints/connections.js';
import {detectReset} from '../endpoints/endpoint_agent.js';
import type {
  AnswerMetadata,
  EndpointProtocol,
  GenerationTerms,
} from '../endpoints/endpoint_protocol.js';
import {FloodGuard, MAX_BYTES_WITHOUT_EVENT} from '../endpoints/flood_guard.js';

export interface GenerationEvents {
  onEvent(event: Omit<OutputEvent, 'run'>): void;
  /** The engine stated the slowdown of its machine; once a run at most. */
  onSlowdown(slowdown: number): void;
  onEnd(end: RunEnd, detail: string): void;
}

/** Time limit for connecting to an engine, ms. Round trips take a few ms. */
const CONNECT_TIMEOUT_MS = 400;
/** The end of a line and a blank line. */
const EVENT_END = /\n\r?\n$/;
/** Length of the longest `EVENT_END`, characters. */
const EVENT_END_CHARS = 3;
/** Status of an engine that is not the intended one. */
const MISDIRECTED = 421;
/** Limits for the rest of an error answer, bytes and ms; beyond them a new connection costs less. */
const MAX_DRAINED_BYTES = 64 * 1024;
const DRAIN_TIMEOUT_MS = 1000;
/** Each piece of it counts as at least this long, bytes. */
const MIN_DRAINED_PIECE_BYTES = 64;

export class Generation {
  /** Undefined if no request could be made. */
  private readonly req: http.ClientRequest | undefined;
  private isConnected = false;
  private hasEnded = false;
  private version: number | undefined;
  /** The last characters received. */
  private tail = '';
  private readonly parser: EventSourceParser;
  private readonly floodGuard = new FloodGuard();
  private readonly outputSize: OutputSize;

  constructor(
    agent: http.Agent,
    private readonly protocol: EndpointProtocol,
    entry: EndpointEntry,
    private readonly item: BatchItem,
    terms: GenerationTerms,
    private readonly events: GenerationEvents,
  ) {
    this.outputSize = new OutputSize(item);
    this.parser = createParser({
      onEvent: event => this.handleEvent(event.id, event.data),
      // The protocol reports a new weight version in an event field of its own.
      onError: err => {
        if (err.type === 'unknown-field')
          this.handleField(err.field, err.value);
        if (err.type === 'max-buffer-size-exceeded')
          this.reject('flooded', 'an event is too long');
      },
      maxBufferSize: MAX_BYTES_WITHOUT_EVENT,
    });
    try {
      this.req = this.send(agent, entry, terms);
    } catch (err) {
      // The owner does not know this run yet.
      setImmediate(() => this.end('unreachable', describeUnmade(err)));
    }
  }

  private send(
    agent: http.Agent,
    entry: EndpointEntry,
    terms: GenerationTerms,
  ): http.ClientRequest {
    const {item} = this;
    const headers = this.protocol.generationHeaders(item, terms);
    headers['Content-Length'] = item.body.length;
    const req = http.request({
      agent,
      host: entry.host,
      port: entry.port,
      method: 'POST',
      path: item.path,
      headers,
      setHost: false,
    });
    const connection = {
      onConnected: () => (this.isConnected = true),
      onTimeout: () => this.giveUpConnecting(),
    };
    watchConnection(req, connection, CONNECT_TIMEOUT_MS);
    req.on('error', err => this.onDisconnect(err.message));
    req.on('close', () => this.onDisconnect('the connection closed'));
    req.on('response', res => this.receive(res));
    watchInterimAnswers(req, () =>
      this.reject('flooded', 'too many interim answers'),
    );
    req.end(item.body);
    return req;
  }

  /** Stops the run. The engine drops it when the connection closes. */
  stop(): void {
    this.end('stopped', 'stopped');
    this.req?.destroy();
  }

  private giveUpConnecting(): void {
    this.reject('unreachable', `no connection in ${CONNECT_TIMEOUT_MS} ms`);
  }

  private receive(res: http.IncomingMessage): void {
    const metadata = this.protocol.readAnswer(res.headers);
    const status = res.statusCode ?? 0;
    if (
      metadata.attemptId !== undefined &&
      metadata.attemptId !== this.item.id
    ) {
      return this.reject('broken', 'the answer is to another request');
    }
    this.reportSlowdown(metadata, status);
    if (status !== 200) {
      this.drain(res, classifyStatus(status, metadata.isNotExecuted), status);
      return;
    }
    if (
      metadata.stamp === undefined ||
      res.headers['content-encoding'] !== undefined
    ) {
      return this.reject('broken', 'the answer does not come from the engine');
    }
    this.version = metadata.weightVersion;
    detectReset(res);
    res.setEncoding('utf8');
    res.on('data', (text: string) => this.feed(text));
    res.on('error', err => this.onDisconnect(err.message));
    res.on('end', () => {
      if (!res.complete) return this.onDisconnect('the stream ended early');
      if (this.endsInEvent)
        return this.onDisconnect('the stream ended in the middle of an event');
      this.end('finished', 'whole');
    });
  }

  private feed(text: string): void {
    if (this.hasEnded) return;
    if (!this.floodGuard.recordPiece(text.length, performance.now())) {
      return this.reject('flooded', 'more bytes than a stream of events has');
    }
    this.tail = (this.tail + text).slice(-EVENT_END_CHARS);
    this.parser.feed(text);
  }

  /** Whether the text received so far does not end with the blank line that ends an event. */
  private get endsInEvent(): boolean {
    return this.tail !== '' && !EVENT_END.test(this.tail);
  }

  private reportSlowdown({stamp, load}: AnswerMetadata, status: number): void {
    // Another engine has the address if the run is misdirected, and an answer
    // without a stamp does not come from the engine.
    const isFromEngine = stamp !== undefined && status !== MISDIRECTED;
    if (!isFromEngine || load?.slowdown === undefined) return;
    this.events.onSlowdown(load.slowdown);
  }

  /** Reads the rest of an error answer, so that the connection can be reused, unless it does not end. */
  private drain(res: http.IncomingMessage, end: RunEnd, status: number): void {
    let bytes = 0;
    const giveUp = () => this.reject('broken', 'the answer did not end');
    const timer = setTimeout(giveUp, DRAIN_TIMEOUT_MS);
    res.once('close', () => clearTimeout(timer));
    res.on('error', err => this.onDisconnect(err.message));
    res.on('data', (chunk: Buffer) => {
      bytes += Math.max(chunk.length, MIN_DRAINED_PIECE_BYTES);
      if (bytes <= MAX_DRAINED_BYTES) return;
      this.reject('flooded', 'the answer is too long');
    });
    const endDrained = () => this.end(end, `status ${status}`);
    // Only a whole answer counts as a failure of the item.
    if (end === 'failed' || end === 'impossible') res.on('end', endDrained);
    else endDrained();
  }

  private handleField(
    field: string | undefined,
    value: string | undefined,
  ): void {
    if (field !== this.protocol.versionField) return;
    const version = Number(value);
    if (Number.isInteger(version)) this.version = version;
  }

  private handleEvent(id: string | undefined, data: string): void {
    if (this.hasEnded) return;
    const eventId = Number(id);
    if (id === undefined || !Number.isInteger(eventId)) {
      return this.reject('broken', 'an event has no numeric id');
    }
    if (this.version === undefined) {
      return this.reject('broken', 'the answer states no weight version');
    }
    if (!this.floodGuard.recordEvent() || !this.outputSize.add({data})) {
      return this.reject('flooded', 'more events than any work produces');
    }
    this.events.onEvent({id: eventId, data, version: this.version});
  }

  private reject(end: RunEnd, detail: string): void {
    this.end(end, detail);
    this.req?.destroy();
  }

  private onDisconnect(detail: string): void {
    this.end(this.isConnected ? 'broken' : 'unreachable', detail);
  }

  private end(end: RunEnd, detail: string): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.events.onEnd(end, detail);
  }
}

function classifyStatus(status: number, isNotExecuted: boolean): RunEnd {
  if (status === MISDIRECTED) return 'misdirected';
  if (isNotExecuted) return 'refused';
  if (status === 422) return 'impossible';
  return status >= 500 ? 'failed' : 'broken';
}
