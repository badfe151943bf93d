/**
 * Forwards a request whose answer is a stream of events, and sends each event to the
 * caller as it arrives. If the route allows resuming, a stream that ends early continues
 * at another endpoint within the same answer, which keeps the head of the first endpoint.
 * Otherwise the caller's connection is broken as well, so that a partial stream never
 * looks complete.
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
import {waitUntilTaken} from '@radishyoke/wire/whole_answer';
import {toWatchedEnd, type WatchedRequest} from '../crashes/watched_request.js';
import {
  ENDPOINT_UNREACHABLE,
  type EndpointAnswer,
} from '../endpoints/endpoint_exchange.js';
import {pickEndpoint} from '../endpoints/endpoint_picker.js';
import type {AnswerMetadata} from '../endpoints/endpoint_protocol.js';
import {
  EndpointStream,
  type StreamOutcome,
  type StreamReader,
} from '../endpoints/endpoint_stream.js';
import type {RawEvent} from '../endpoints/event_splitter.js';
import {AdmissionPass} from './admission_pass.js';
import {copyHeaders} from './caller_answer.js';
import type {ForwarderDeps, ForwardRequest} from './forward_request.js';
import {QuarantineGuard} from './quarantine_guard.js';

/** How a stream ended for the caller. */
export type StreamResult =
  /** All events were sent to the caller. */
  | {readonly kind: 'whole'}
  /** Nothing was sent to the caller yet; it receives this answer. */
  | {readonly kind: 'answered'; readonly answer: EndpointAnswer}
  /** The caller receives this error, or a broken connection if events were already sent. */
  | {readonly kind: 'failed'; readonly error: RadishyokeError};

/** A resumable stream without an event for this long continues at another endpoint, ms: callers give up after 2,000 ms, and engines were seen to take up to about 900 ms to load weights. */
const STALL_MS = 1500;
/** Subtracted from the remaining time to get an endpoint's deadline, ms, since its answer has to travel back. */
const RETURN_TRIP_MS = 4;
/** Retry delay sent to a caller whose request no endpoint could take, ms: about as long as the list of endpoints lags behind. */
const RETRY_AFTER_MS = 150;

export class StreamCall implements StreamReader {
  private readonly terms: RequestTerms;
  private readonly service: string | undefined;
  private readonly tried = new Set<string>();
  private readonly guard: QuarantineGuard;
  private readonly pass: AdmissionPass;
  private stream: EndpointStream | undefined;
  /** Endpoint of `stream`. */
  private entry: EndpointEntry | undefined;
  private watchedRequest: WatchedRequest | undefined;
  private stallTimer: NodeJS.Timeout | undefined;
  /** Headers of the first endpoint's answer. */
  private firstRawHeaders: readonly string[] | undefined;
  /** Steady ms of the current attempt's first event. */
  private firstEventMs: number | undefined;
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
    this.pass = new AdmissionPass(deps.admission, req, this.service);
  }

  /** Runs until the stream has ended for the caller; never rejects. */
  async run(): Promise<StreamResult> {
    const remainingMs = Math.max(this.measureRemainingMs(), 0);
    const deadline = setTimeout(() => this.expire(), remainingMs);
    const result = await this.runAttempts();
    clearTimeout(deadline);
    clearTimeout(this.stallTimer);
    this.isFinished = true;
    return result;
  }

  /** Stops because the caller disconnected; the endpoint sees its connection close. */
  abandon(): void {
    this.stop('the caller disconnected');
  }

  /** Stops because this VM is about to stop. */
  giveUp(): void {
    this.stop('this VM is shutting down');
  }

  onHead(rawHeaders: readonly string[], {load}: AnswerMetadata): void {
    this.firstRawHeaders ??= rawHeaders;
    if (!load || !this.entry) return;
    this.deps.view.recordStreamLoad(this.entry, load, performance.now());
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
    this.firstEventMs ??= performance.now();
    if (lastEventId === undefined) this.countUsage();
    this.restartStallTimer();
    this.sendHead();
    this.res.write(event.bytes);
    this.lastEventId = event.id ?? lastEventId;
    return true;
  }

  /** Counts the stream once in usage, at the time of its first event from any endpoint. */
  private countUsage(): void {
    if (this.isUsageCounted) return;
    this.isUsageCounted = true;
    this.deps.meter?.record(this.req.caller, Date.now());
  }

  waitForDrain(): Promise<void> | undefined {
    if (!this.res.writableNeedDrain) return undefined;
    clearTimeout(this.stallTimer);
    return waitUntilTaken(this.res, this.deps.links.bodies);
  }

  private async runAttempts(): Promise<StreamResult> {
    for (;;) {
      if (this.isFinished) return this.fail('deadline_passed');
      if (this.guard.isQuarantined) return this.refuseQuarantined();
      const refusal = this.pass.isChecked
        ? await this.pass.waitForCapacity()
        : undefined;
      if (refusal) return this.refuseForCapacity(refusal);
      if (this.pass.isChecked && this.guard.isQuarantined) {
        this.pass.releaseUnused();
        return this.refuseQuarantined();
      }
      const entry = this.chooseEndpoint();
      if (!entry) {
        this.pass.releaseUnused();
        if (this.isFinished) return this.expireUnsent();
        return this.ranCount === 0 ? this.refuse() : this.fail();
      }
      const outcome = await this.attempt(entry);
      const result = this.handleOutcome(outcome);
      if (result) return result;
    }
  }

  private chooseEndpoint(): EndpointEntry | undefined {
    if (this.service === undefined || this.isFinished) return undefined;
    return pickEndpoint(this.deps, this.service, this.tried);
  }

  private async attempt(entry: EndpointEntry): Promise<StreamOutcome> {
    const {links, view} = this.deps;
    const startedMs = performance.now();
    this.forgetAttempt();
    this.tried.add(entry.id);
    this.ranCount += 1;
    view.recordStart(entry);
    const outcome = await this.runStream(entry);
    view.recordEnd(entry);
    // A caller that left before anything was sent tells nothing about the endpoint.
    const isEndedByEndpoint =
      !this.stream?.isEndedLocally || this.stream.isFlooded;
    if (!this.isFinished && isEndedByEndpoint) {
      view.recordStreamEnd(entry, outcome, performance.now());
    }
    this.recordAttempt(outcome, startedMs);
    if (outcome.kind === 'unknown') links.closeIdle(entry.id);
    this.logAttempt(entry, outcome);
    if (outcome.kind === 'unknown') await this.guard.waitForCrashCheck(entry);
    return outcome;
  }

  private forgetAttempt(): void {
    this.firstEventMs = undefined;
    this.stream = undefined;
  }

  private recordAttempt(outcome: StreamOutcome, startedMs: number): void {
    const {firstEventMs} = this;
    const answeredInMs =
      firstEventMs === undefined ? undefined : firstEventMs - startedMs;
    const tookMs = performance.now() - startedMs;
    this.pass.recordAttempt(outcome, {answeredInMs, tookMs});
  }

  private async runStream(entry: EndpointEntry): Promise<StreamOutcome> {
    const {links, protocol} = this.deps;
    const {method, path, headers, body, attemptId, caller} = this.req;
    const maySend = await this.guard.maySendTo(entry);
    if (!maySend || this.isFinished) return ENDPOINT_UNREACHABLE;
    const watched = this.guard.recordStart(entry);
    this.watchedRequest = watched;
    const stream = new EndpointStream(
      links.getAgent(entry),
      protocol,
      entry,
      this,
      links.bodies,
    );
    this.stream = stream;
    this.entry = entry;
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

  /** Returns the result, or undefined if another attempt follows. */
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
    if (this.pass.mayWaitAgain(outcome)) return undefined;
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

  /** Sends the head, once, with the first event: until then a failure can still be answered with its own status. */
  private sendHead(): void {
    if (this.res.headersSent) return;
    this.res.statusCode = 200;
    copyHeaders(this.firstRawHeaders ?? [], this.res);
    this.res.flushHeaders();
  }

  /** Restarts the timer that detects connections that went silent. Streams that can not be resumed are not ended for silence. */
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
    this.pass.leave();
    this.stream?.abort(detail);
  }

  private measureRemainingMs(): number {
    return this.req.deadlineAtMs - performance.now();
  }

  /** Returns the result without a further attempt, because the request is quarantined for crashing endpoints. */
  private refuseQuarantined(): StreamResult {
    const error = this.guard.refuse();
    const hasRun = this.ranCount > 0 || this.res.headersSent;
    return hasRun ? this.fail() : {kind: 'failed', error};
  }

  /** Returns the result without a further attempt, because it was not admitted. */
  private refuseForCapacity(error: RadishyokeError): StreamResult {
    if (this.isFinished) return this.expireUnsent();
    const hasRun = this.ranCount > 0 || this.res.headersSent;
    return hasRun ? this.fail() : {kind: 'failed', error};
  }

  /** Returns the result of a stream whose deadline passed while it waited for admission. */
  private expireUnsent(): StreamResult {
    const hasRun = this.ranCount > 0 || this.res.headersSent;
    if (hasRun) return this.fail('deadline_passed');
    return {kind: 'failed', error: createError('deadline_unreachable')};
  }

  private refuse(): StreamResult {
    // The head was already sent, so a refusal can no longer be answered with its own status.
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
