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
import {toWatchedEnd, type WatchedRequest} from '../crashes/watched_request.js';
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
import type {ForwarderDeps, ForwardRequest} from './forward_request.js';
import {QuarantineGuard} from './quarantine_guard.js';

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
const RETURN_TRIP_MS = 4;
/** When to come back after nothing could take the request, ms: about as long as the list of endpoints lags. */
const RETRY_AFTER_MS = 150;

export class StreamCall implements StreamReader {
  private readonly terms: RequestTerms;
  private readonly service: string | undefined;
  private readonly tried = new Set<string>();
  private readonly guard: QuarantineGuard;
  private stream: EndpointStream | undefined;
  private watchedRequest: WatchedRequest | undefined;
  private stallTimer: NodeJS.Timeout | undefined;
  /** Head of the first endpoint's answer. */
  private firstRawHeaders: readonly string[] | undefined;
  private lastEventId: number | undefined;
  private ranCount = 0;
  private notRunCount = 0;
  private isFinished = false;
  private isUsageCounted = false;

  constructor(
    private readonly deps: ForwarderDeps,
    private readonly req: ForwardRequest,
    private readonly res: ServerResponse,
  ) {
    const {route, attemptId} = req;
    this.terms = {
      isRepeatable: route.resumable,
      attempts: route.attempts,
      objectiveMs: route.objectiveMs,
    };
    const random =
      attemptId === undefined ? Math.random() : hashToUnitInterval(attemptId);
    this.service = pickService(route, random);
    this.guard = new QuarantineGuard(deps, req);
  }

  /** Runs until the caller has its answer; never rejects. */
  async run(): Promise<StreamResult> {
    const remainingMs = Math.max(this.measureRemainingMs(), 0);
    const deadline = setTimeout(() => this.expire(), remainingMs);
    const result = await this.runAttempts();
    clearTimeout(deadline);
    clearTimeout(this.stallTimer);
    this.isFinished = true;
    return result;
  }

  /** The caller has gone: the endpoint is told by the end of its connection. */
  abandon(): void {
    this.stop('the caller has gone');
  }

  onHead(rawHeaders: readonly string[]): void {
    this.firstRawHeaders ??= rawHeaders;
  }

  onEvent(event: RawEvent): boolean {
    if (this.isFinished) return true;
    const {lastEventId} = this;
    const isNext =
      lastEventId === undefined ||
      event.id === undefined ||
      event.id === lastEventId + 1;
    if (!isNext) return false;
    this.watchedRequest?.recordEvent();
    if (lastEventId === undefined) this.countUsage();
    this.restartStallTimer();
    this.sendHead();
    this.res.write(event.bytes);
    this.lastEventId = event.id ?? lastEventId;
    return true;
  }

  /** A stream counts in usage from its first event, at whichever endpoint that was made. */
  private countUsage(): void {
    if (this.isUsageCounted) return;
    this.isUsageCounted = true;
    this.deps.meter?.record(this.req.caller, Date.now());
  }

  waitForDrain(): Promise<void> | undefined {
    if (!this.res.writableNeedDrain) return undefined;
    clearTimeout(this.stallTimer);
    return new Promise(resolve => this.res.once('drain', resolve));
  }

  private async runAttempts(): Promise<StreamResult> {
    for (;;) {
      if (this.isFinished) return this.fail('deadline_passed');
      if (this.guard.isQuarantined) return this.refuseQuarantined();
      const entry =
        this.service === undefined
          ? undefined
          : pickEndpoint(this.deps, this.service, this.tried);
      if (!entry) return this.ranCount === 0 ? this.refuse() : this.fail();
      const outcome = await this.attempt(entry);
      const result = this.handleOutcome(outcome);
      if (result) return result;
    }
  }

  private async attempt(entry: EndpointEntry): Promise<StreamOutcome> {
    const {links, view} = this.deps;
    this.tried.add(entry.id);
    this.ranCount += 1;
    view.recordStart(entry);
    const outcome = await this.runStream(entry);
    view.recordEnd(entry);
    if (outcome.kind === 'unknown') links.closeIdle(entry.id);
    this.logAttempt(entry, outcome);
    if (outcome.kind === 'unknown') await this.guard.waitForCrashCheck(entry);
    return outcome;
  }

  private async runStream(entry: EndpointEntry): Promise<StreamOutcome> {
    const {links, protocol} = this.deps;
    const {method, path, headers, body, attemptId, caller} = this.req;
    const maySend = await this.guard.maySendTo(entry);
    if (!maySend || this.isFinished) return ENDPOINT_GONE;
    const watched = this.guard.recordStart(entry);
    this.watchedRequest = watched;
    const stream = new EndpointStream(
      links.getAgent(entry),
      protocol,
      entry,
      this,
    );
    this.stream = stream;
    this.restartStallTimer();
    const {lastEventId} = this;
    const outcome = await stream.run({
      method,
      path,
      headers: protocol.forwardHeaders(headers, {
        endpointId: entry.id,
        deadlineMs: Math.max(
          Math.floor(this.measureRemainingMs() - RETURN_TRIP_MS),
          1,
        ),
        caller,
        ...(lastEventId === undefined ? {} : {lastEventId}),
      }),
      body,
      attemptId,
    });
    watched.end(toWatchedEnd(outcome.kind, stream.isEndedLocally));
    return outcome;
  }

  /** The result, or undefined where another attempt follows. */
  private handleOutcome(outcome: StreamOutcome): StreamResult | undefined {
    if (outcome.kind === 'whole') {
      this.sendHead();
      this.res.end();
      return {kind: 'whole'};
    }
    if (this.isFinished) return this.fail('deadline_passed');
    if (outcome.kind === 'not_executed' || outcome.kind === 'unsent') {
      this.ranCount -= 1;
      this.notRunCount += 1;
    }
    const tally = {ran: this.ranCount, notRun: this.notRunCount};
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
    copyHeaders(this.firstRawHeaders ?? [], this.res);
    this.res.flushHeaders();
  }

  /** A connection can go silent for good; of a stream that may not be resumed silence is no reason to end it. */
  private restartStallTimer(): void {
    clearTimeout(this.stallTimer);
    if (!this.terms.isRepeatable) return;
    const {stream} = this;
    const stop = () => stream?.abort(`no event in ${STALL_MS} ms`);
    this.stallTimer = setTimeout(stop, STALL_MS);
  }

  private expire(): void {
    this.stop('the deadline has passed');
  }

  private stop(detail: string): void {
    this.isFinished = true;
    this.stream?.abort(detail);
  }

  private measureRemainingMs(): number {
    return this.req.deadlineMs - performance.now();
  }

  /** Requests like this one crash endpoints: none is tried any more. */
  private refuseQuarantined(): StreamResult {
    const error = this.guard.refuse();
    const hasRun = this.ranCount > 0 || this.res.headersSent;
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
    this.deps.metrics.count(`stream_${outcome.kind}`);
    this.deps.logger.log('warn', 'stream attempt ended', {
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
