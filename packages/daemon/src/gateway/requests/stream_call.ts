/**
 * Passes one request whose answer is a series of events on to endpoints. Events
 * reach the caller as they arrive. Where the rule says that a stream may be
 * resumed, one that breaks off goes on at another endpoint within the same
 * answer, which keeps the head of the first; any other is broken off towards
 * the caller too, so that it never looks complete.
 */

import type {ServerResponse} from 'node:http';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {
  type AttemptEnd,
  decideNextStep,
  type RequestTerms,
} from '@radishyoke/core/routing/attempt_policy';
import {
  hashToUnitInterval,
  pickService,
} from '@radishyoke/core/routing/route_table';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import {judgeEnd, type WatchedRequest} from '../crashes/watched_request.js';
import {
  ENDPOINT_GONE,
  type EndpointAnswer,
} from '../endpoints/endpoint_exchange.js';
import {pickEndpoint} from '../endpoints/endpoint_picker.js';
import {
  EndpointStream,
  type StreamOutcome,
  type StreamReader,
} from '../endpoints/endpoint_stream.js';
import type {RawEvent} from '../endpoints/event_splitter.js';
import {copyHeaders} from './caller_answer.js';
import type {ForwarderParts, ForwardRequest} from './forward_request.js';
import {RequestGuard} from './request_guard.js';

/** What became of a stream. */
export type StreamResult =
  /** The caller has all events. */
  | {readonly kind: 'whole'}
  /** Nothing was sent to the caller yet; it gets this answer. */
  | {readonly kind: 'answered'; readonly answer: EndpointAnswer}
  /** The caller gets this error, or a broken connection where events went out. */
  | {readonly kind: 'failed'; readonly error: RadishyokeError};

/** A stream that may be resumed and is silent for this long goes on elsewhere, ms: callers give up after 2,000, and the longest load of weights that engines were seen to take is about 900. */
const STALL_MS = 1500;
/** The endpoint gets this much less than is left, ms. */
const RETURN_MS = 4;
/** When to come back after nothing could take the request, ms: about as long as the list of endpoints lags. */
const RETRY_AFTER_MS = 150;

export class StreamCall implements StreamReader {
  private readonly terms: RequestTerms;
  private readonly service: string | undefined;
  private readonly tried = new Set<string>();
  private readonly guard: RequestGuard;
  private stream: EndpointStream | undefined;
  private watched: WatchedRequest | undefined;
  private stallTimer: NodeJS.Timeout | undefined;
  /** Head of the first endpoint's answer. */
  private head: readonly string[] | undefined;
  private lastEventId: number | undefined;
  private ran = 0;
  private notRun = 0;
  private isOver = false;
  private isCounted = false;

  constructor(
    private readonly parts: ForwarderParts,
    private readonly req: ForwardRequest,
    private readonly res: ServerResponse,
  ) {
    const {route, attemptId} = req;
    this.terms = {
      isRepeatable: route.resumable,
      attempts: route.attempts,
      objectiveMs: route.objectiveMs,
    };
    const draw =
      attemptId === undefined ? Math.random() : hashToUnitInterval(attemptId);
    this.service = pickService(route, draw);
    this.guard = new RequestGuard(parts, req);
  }

  /** Runs until the caller has its answer; never rejects. */
  async run(): Promise<StreamResult> {
    const leftMs = Math.max(this.measureLeftMs(), 0);
    const deadline = setTimeout(() => this.expire(), leftMs);
    const result = await this.runAttempts();
    clearTimeout(deadline);
    clearTimeout(this.stallTimer);
    this.isOver = true;
    return result;
  }

  /** The caller has gone: the endpoint is told by the end of its connection. */
  abandon(): void {
    this.end('the caller has gone');
  }

  onHead(rawHeaders: readonly string[]): void {
    this.head ??= rawHeaders;
  }

  onEvent(event: RawEvent): boolean {
    if (this.isOver) return true;
    const {lastEventId} = this;
    const isNext =
      lastEventId === undefined ||
      event.id === undefined ||
      event.id === lastEventId + 1;
    if (!isNext) return false;
    this.watched?.noteEvent();
    if (lastEventId === undefined) this.noteBegun();
    this.watchSilence();
    this.sendHead();
    this.res.write(event.bytes);
    this.lastEventId = event.id ?? lastEventId;
    return true;
  }

  /** A stream counts in usage from its first event, at whichever endpoint that was made. */
  private noteBegun(): void {
    if (this.isCounted) return;
    this.isCounted = true;
    this.parts.meter?.note(this.req.caller, Date.now());
  }

  waitForRoom(): Promise<void> | undefined {
    if (!this.res.writableNeedDrain) return undefined;
    clearTimeout(this.stallTimer);
    return new Promise(resolve => this.res.once('drain', resolve));
  }

  private async runAttempts(): Promise<StreamResult> {
    for (;;) {
      if (this.isOver) return this.fail('deadline_passed');
      if (this.guard.isHeld) return this.endHeld();
      const entry =
        this.service === undefined
          ? undefined
          : pickEndpoint(this.parts, this.service, this.tried);
      if (!entry) return this.ran === 0 ? this.refuse() : this.fail();
      const outcome = await this.attempt(entry);
      const result = this.conclude(outcome);
      if (result) return result;
    }
  }

  private async attempt(entry: EndpointEntry): Promise<StreamOutcome> {
    const {links, view} = this.parts;
    this.tried.add(entry.id);
    this.ran += 1;
    view.noteStart(entry);
    const outcome = await this.runStream(entry);
    view.noteEnd(entry);
    if (outcome.kind === 'unknown') links.renew(entry.id);
    this.logAttempt(entry, outcome);
    if (outcome.kind === 'unknown') await this.guard.settle(entry);
    return outcome;
  }

  private async runStream(entry: EndpointEntry): Promise<StreamOutcome> {
    const {links, protocol} = this.parts;
    const {method, path, headers, body, attemptId, caller} = this.req;
    const isFit = await this.guard.isFit(entry);
    if (!isFit || this.isOver) return ENDPOINT_GONE;
    const watched = this.guard.begin(entry);
    this.watched = watched;
    const stream = new EndpointStream(links.open(entry), protocol, entry, this);
    this.stream = stream;
    this.watchSilence();
    const {lastEventId} = this;
    const outcome = await stream.run({
      method,
      path,
      headers: protocol.forwardHeaders(headers, {
        endpointId: entry.id,
        deadlineMs: Math.max(Math.floor(this.measureLeftMs() - RETURN_MS), 1),
        caller,
        ...(lastEventId === undefined ? {} : {lastEventId}),
      }),
      body,
      attemptId,
    });
    watched.end(judgeEnd(outcome.kind, stream.isOwnEnd));
    return outcome;
  }

  /** The result, or undefined where another attempt follows. */
  private conclude(outcome: StreamOutcome): StreamResult | undefined {
    if (outcome.kind === 'whole') {
      this.sendHead();
      this.res.end();
      return {kind: 'whole'};
    }
    if (this.isOver) return this.fail('deadline_passed');
    if (outcome.kind === 'not_executed' || outcome.kind === 'unsent') {
      this.ran -= 1;
      this.notRun += 1;
    }
    const tally = {ran: this.ran, notRun: this.notRun};
    switch (decideNextStep(this.terms, toAttemptEnd(outcome), tally).kind) {
      case 'try_again':
        return undefined;
      case 'refuse':
        return this.refuse();
      case 'pass_on':
        return outcome.kind === 'answered' && !this.res.headersSent
          ? outcome
          : this.fail();
      case 'fail':
        return this.fail();
    }
  }

  /** The head goes out with the first event: until then a failure can still be told as such. */
  private sendHead(): void {
    if (this.res.headersSent) return;
    this.res.statusCode = 200;
    copyHeaders(this.head ?? [], this.res);
    this.res.flushHeaders();
  }

  /** A connection can go silent for good; of a stream that may not be resumed silence is no reason to end it. */
  private watchSilence(): void {
    clearTimeout(this.stallTimer);
    if (!this.terms.isRepeatable) return;
    const {stream} = this;
    const stop = () => stream?.breakOff(`no event in ${STALL_MS} ms`);
    this.stallTimer = setTimeout(stop, STALL_MS);
  }

  private expire(): void {
    this.end('the deadline has passed');
  }

  private end(detail: string): void {
    this.isOver = true;
    this.stream?.breakOff(detail);
  }

  private measureLeftMs(): number {
    return this.req.deadlineMs - performance.now();
  }

  /** Requests like this one crash endpoints: none is tried any more. */
  private endHeld(): StreamResult {
    const error = this.guard.refuse();
    const hasRun = this.ran > 0 || this.res.headersSent;
    return hasRun ? this.fail() : {kind: 'failed', error};
  }

  private refuse(): StreamResult {
    // Part of the answer is out: what is left of it has no status of its own.
    if (this.res.headersSent) return this.fail();
    const extra = {retryAfterMs: RETRY_AFTER_MS};
    const error = createError('no_endpoint', 'endpoints are full', extra);
    return {kind: 'failed', error};
  }

  private fail(
    kind: 'endpoint_failed' | 'outcome_unknown' | 'deadline_passed' = this.terms
      .isRepeatable
      ? 'endpoint_failed'
      : 'outcome_unknown',
  ): StreamResult {
    return {kind: 'failed', error: createError(kind)};
  }

  private logAttempt(entry: EndpointEntry, outcome: StreamOutcome): void {
    if (outcome.kind === 'whole') return;
    const detail =
      outcome.kind === 'answered'
        ? `status ${outcome.answer.status}`
        : outcome.detail;
    this.parts.metrics.count(`stream_${outcome.kind}`);
    this.parts.logger.log('warn', 'stream attempt ended', {
      requestId: this.req.attemptId,
      rule: this.req.route.name,
      configVersion: this.req.configVersion,
      endpoint: entry.id,
      lastEvent: this.lastEventId ?? -1,
      outcome: outcome.kind,
      detail,
      fingerprint: this.guard.fingerprint,
    });
  }
}

function toAttemptEnd(
  outcome: Exclude<StreamOutcome, {kind: 'whole'}>,
): AttemptEnd {
  switch (outcome.kind) {
    case 'answered':
      return {kind: 'answered', status: outcome.answer.status};
    case 'not_executed':
    case 'unsent':
      return {kind: 'not_run'};
    case 'unknown':
      return {kind: 'unknown'};
  }
}
