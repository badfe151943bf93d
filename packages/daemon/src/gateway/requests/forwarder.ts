/**
 * Forwards a caller's request to endpoints of its route's service, retries and hedges
 * it according to the attempt policy, and settles on exactly one outcome.
 */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {
  type AttemptEnd,
  decideNextStep,
  type NextStep,
  type RequestTerms,
} from '@radishyoke/core/routing/attempt_policy';
import {
  hashToUnitInterval,
  pickService,
} from '@radishyoke/core/routing/route_table';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import type {ServerResponse} from 'node:http';
import {toWatchedEnd} from '../crashes/watched_request.js';
import {
  ENDPOINT_UNREACHABLE,
  type EndpointAnswer,
  EndpointExchange,
  type ExchangeOutcome,
} from '../endpoints/endpoint_exchange.js';
import {pickEndpoint} from '../endpoints/endpoint_picker.js';
import {AdmissionPass} from './admission_pass.js';
import type {ForwarderDeps, ForwardRequest} from './forward_request.js';
import {Hedger} from './hedger.js';
import {QuarantineGuard} from './quarantine_guard.js';
import {StreamCall} from './stream_call.js';

export type ForwardOutcome =
  | {readonly kind: 'answered'; readonly answer: EndpointAnswer}
  | {readonly kind: 'failed'; readonly error: RadishyokeError};

/** Subtracted from the remaining time to get an endpoint's deadline, ms, since its answer has to travel back. */
const RETURN_TRIP_MS = 4;
/** No attempt is started with less time left than this, ms. */
const MIN_ATTEMPT_MS = 8;
/** Retry delay sent to a caller whose request no endpoint could take, ms: about as long as the list of endpoints lags behind. */
const RETRY_AFTER_MS = 150;

export class Forwarder {
  constructor(private readonly deps: ForwarderDeps) {}

  /** Starts forwarding `req`; the returned call can be abandoned. */
  start(req: ForwardRequest): ForwardCall {
    return new ForwardCall(this.deps, req);
  }

  /** Prepares forwarding `req`, whose answer is streamed to `res` as events. */
  startStream(req: ForwardRequest, res: ServerResponse): StreamCall {
    return new StreamCall(this.deps, req, res);
  }
}

/** One request that is being forwarded. */
export class ForwardCall {
  readonly outcome: Promise<ForwardOutcome>;
  private readonly tried = new Set<string>();
  private readonly pending = new Set<EndpointExchange>();
  private readonly terms: RequestTerms;
  private readonly service: string | undefined;
  private readonly guard: QuarantineGuard;
  private readonly hedger: Hedger;
  private readonly pass: AdmissionPass;
  private ranCount = 0;
  private notRunCount = 0;
  private isSettled = false;
  private isUsageCounted = false;
  private failedAnswer: EndpointAnswer | undefined;
  private hedgeTimer: NodeJS.Timeout | undefined;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private resolve: (outcome: ForwardOutcome) => void = () => undefined;

  constructor(
    private readonly deps: ForwarderDeps,
    private readonly req: ForwardRequest,
  ) {
    const {route} = req;
    this.terms = {
      isRepeatable: route.kind === 'idempotent',
      attempts: route.attempts,
      objectiveMs: route.objectiveMs,
    };
    const {attemptId} = req;
    const random =
      attemptId === undefined ? Math.random() : hashToUnitInterval(attemptId);
    this.service = pickService(route, random);
    this.guard = new QuarantineGuard(deps, req);
    this.hedger = new Hedger(deps, this.service, this.terms, req.deadlineAtMs);
    this.pass = new AdmissionPass(deps.admission, req, this.service);
    this.outcome = new Promise(resolve => (this.resolve = resolve));
    const remainingMs = Math.max(req.deadlineAtMs - performance.now(), 0);
    this.deadlineTimer = setTimeout(() => this.expire(), remainingMs);
    this.attempt();
  }

  /** Aborts all pending attempts because the caller disconnected. */
  abandon(): void {
    this.settle({kind: 'failed', error: createError('cancelled')});
  }

  /** Settles now because this VM is about to stop; the refusal of a request that was never sent is final. */
  giveUp(): void {
    if (this.ranCount > 0) return this.fail('this VM is shutting down');
    this.settle({kind: 'failed', error: createError('draining')});
  }

  private scheduleHedge(delayMs = this.hedger.measureDelayMs()): void {
    clearTimeout(this.hedgeTimer);
    if (delayMs === undefined || this.isSettled) return;
    this.hedgeTimer = setTimeout(() => this.hedge(), delayMs);
  }

  private hedge(): void {
    const canHedge =
      this.pending.size === 1 && this.ranCount < this.terms.attempts;
    if (!canHedge || this.guard.isSuspected) return;
    const step = this.hedger.decide(this.tried, this.pass.hasIdleCapacity);
    if (step.kind === 'start') this.attempt(step.entry);
    if (step.kind === 'wait') this.scheduleHedge(step.delayMs);
  }

  /** Starts an attempt at `target`, or at the best endpoint if it is undefined. */
  private attempt(target?: EndpointEntry): void {
    if (this.pending.size > 0) {
      if (this.pass.takeIdleCapacity()) this.send(target);
      return;
    }
    this.pass.acquire({
      send: () => this.send(target),
      refuse: error => this.settleWithoutCapacity(error),
    });
  }

  private send(target?: EndpointEntry): void {
    const entry = this.prepareSend(target);
    if (!entry) return this.pass.releaseUnused();
    // A request that waited for room is hedged by the time since it was sent.
    const isFirst = this.pass.isChecked
      ? this.ranCount === 0
      : this.hedgeTimer === undefined;
    this.tried.add(entry.id);
    void this.runAttempt(entry);
    if (isFirst) this.scheduleHedge();
  }

  /** Returns the endpoint of the next attempt, `target` if given; settles the request if none may follow. */
  private prepareSend(target?: EndpointEntry): EndpointEntry | undefined {
    if (this.isSettled) return undefined;
    const remainingMs = this.req.deadlineAtMs - performance.now();
    if (remainingMs < MIN_ATTEMPT_MS) {
      this.expire();
      return undefined;
    }
    if (this.guard.isQuarantined) {
      this.settleQuarantined();
      return undefined;
    }
    const entry = target ?? this.chooseEndpoint();
    if (!entry) this.settleWithoutEndpoint();
    return entry;
  }

  private chooseEndpoint(): EndpointEntry | undefined {
    if (this.service === undefined) return undefined;
    return pickEndpoint(this.deps, this.service, this.tried);
  }

  private async runAttempt(entry: EndpointEntry): Promise<void> {
    const {links, view, protocol} = this.deps;
    const attempt = new EndpointExchange(
      links.getAgent(entry),
      protocol,
      entry,
      links.bodies,
    );
    this.pending.add(attempt);
    this.ranCount += 1;
    view.recordStart(entry);
    if (this.ranCount === 1) this.hedger.recordStart();
    const startedMs = performance.now();
    const outcome = await this.runExchange(entry, attempt);
    view.recordEnd(entry);
    this.pending.delete(attempt);
    const tookMs = performance.now() - startedMs;
    this.pass.recordAttempt(outcome, {answeredInMs: tookMs, tookMs});
    if (mayHaveRun(outcome)) this.countUsage(attempt);
    if (this.isSettled) return this.hedger.recordUnfinished(entry, attempt);
    this.recordOutcome(entry, outcome);
    this.hedger.recordOutcome(entry, outcome, tookMs);
    this.logAttempt(entry, outcome, tookMs);
    if (outcome.kind === 'unknown') await this.guard.waitForCrashCheck(entry);
    if (!this.isSettled) this.handleOutcome(outcome);
  }

  private async runExchange(
    entry: EndpointEntry,
    exchange: EndpointExchange,
  ): Promise<ExchangeOutcome> {
    const {protocol} = this.deps;
    const {method, path, headers, body, attemptId, caller} = this.req;
    const maySend = await this.guard.maySendTo(entry);
    if (!maySend || this.isSettled) return ENDPOINT_UNREACHABLE;
    const watched = this.guard.recordStart(entry);
    const remainingMs = this.req.deadlineAtMs - performance.now();
    const outcome = await exchange.run({
      method,
      path,
      headers: protocol.forwardHeaders(headers, {
        endpointId: entry.id,
        deadlineMs: Math.max(Math.floor(remainingMs - RETURN_TRIP_MS), 1),
        caller,
      }),
      body,
      attemptId,
    });
    watched.end(toWatchedEnd(outcome.kind, exchange.isEndedLocally));
    return outcome;
  }

  /** Counts the request once in usage, at the time it was first sent to an endpoint. */
  private countUsage(exchange: EndpointExchange): void {
    if (this.isUsageCounted) return;
    this.isUsageCounted = true;
    const sendTimesMs = [exchange, ...this.pending].map(({sentMs}) => sentMs);
    const firstMs = Math.min(...sendTimesMs.map(ms => ms ?? Infinity));
    const {meter} = this.deps;
    meter?.record(this.req.caller, toUnixMs(firstMs));
  }

  private recordOutcome(entry: EndpointEntry, outcome: ExchangeOutcome): void {
    const {view, links} = this.deps;
    view.recordOutcome(entry, outcome, performance.now());
    if (outcome.kind === 'unknown') links.closeIdle(entry.id);
  }

  private handleOutcome(outcome: ExchangeOutcome): void {
    if (outcome.kind === 'not_executed' || outcome.kind === 'unsent') {
      this.ranCount -= 1;
      this.notRunCount += 1;
    }
    if (this.pass.mayWaitAgain(outcome)) {
      if (!this.hasOtherAttempt) this.attempt();
      return;
    }
    const next = this.decideNext(toAttemptEnd(outcome));
    switch (next.kind) {
      case 'pass_on':
        if (outcome.kind !== 'answered') return;
        this.failedAnswer = outcome.answer;
        // Another attempt may still bring a success.
        if (outcome.answer.status >= 500 && this.hasOtherAttempt) return;
        this.settle({kind: 'answered', answer: outcome.answer});
        return;
      case 'try_again':
        if (outcome.kind === 'answered') this.failedAnswer = outcome.answer;
        // An attempt that is still pending takes the place of a retry.
        if (!this.hasOtherAttempt) this.attempt();
        return;
      case 'refuse':
        if (!this.hasOtherAttempt) this.refuse('endpoints are full');
        return;
      case 'fail':
        if (!this.hasOtherAttempt) this.fail('the outcome is unknown');
    }
  }

  /** Whether an attempt is running or waits for room. */
  private get hasOtherAttempt(): boolean {
    return this.pending.size > 0 || this.pass.isWaiting;
  }

  private decideNext(end: AttemptEnd): NextStep {
    const tally = {ran: this.ranCount, notRun: this.notRunCount};
    const next = decideNextStep(this.terms, end, tally);
    const isRetry = next.kind === 'try_again' && !this.hasOtherAttempt;
    // An endpoint that refused the request did no work for it.
    if (!isRetry || end.kind === 'not_run') return next;
    if (this.hedger.takeRetry()) return next;
    return decideNextStep({...this.terms, attempts: tally.ran}, end, tally);
  }

  private settleWithoutEndpoint(): void {
    if (this.pending.size > 0) return;
    if (this.ranCount === 0) this.refuse('no endpoint is usable');
    else this.fail('no other endpoint is usable');
  }

  /** Settles without a further attempt, because it was not admitted. */
  private settleWithoutCapacity(error: RadishyokeError): void {
    // A refusal promises that nothing ran.
    if (this.ranCount === 0) this.settle({kind: 'failed', error});
    else this.fail('there is no room for another attempt');
  }

  /** Settles without a further attempt, because the request is quarantined for crashing endpoints. */
  private settleQuarantined(): void {
    if (this.pending.size > 0) return;
    const error = this.guard.refuse();
    if (this.ranCount === 0) this.settle({kind: 'failed', error});
    else this.fail(error.detail);
  }

  private refuse(detail: string): void {
    const extra = {retryAfterMs: RETRY_AFTER_MS};
    const error = createError('no_endpoint', detail, extra);
    this.settle({kind: 'failed', error});
  }

  private fail(detail: string): void {
    if (this.failedAnswer) {
      this.settle({kind: 'answered', answer: this.failedAnswer});
      return;
    }
    const kind = this.terms.isRepeatable
      ? 'endpoint_failed'
      : 'outcome_unknown';
    this.settle({kind: 'failed', error: createError(kind, detail)});
  }

  private expire(): void {
    // A request that was never sent can be refused as unreachable; one that was sent may have run.
    const kind =
      this.ranCount === 0 ? 'deadline_unreachable' : 'deadline_passed';
    this.settle({kind: 'failed', error: createError(kind)});
  }

  private settle(outcome: ForwardOutcome): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.hedgeTimer);
    clearTimeout(this.deadlineTimer);
    this.pass.leave();
    for (const exchange of this.pending) exchange.abort();
    this.resolve(outcome);
  }

  private logAttempt(
    entry: EndpointEntry,
    outcome: ExchangeOutcome,
    tookMs: number,
  ): void {
    if (outcome.kind === 'answered' && outcome.answer.status < 500) return;
    this.deps.metrics.count(`attempt_${outcome.kind}`);
    this.deps.logger.log('warn', 'attempt failed', {
      requestId: this.req.attemptId,
      rule: this.req.route.name,
      configVersion: this.req.configVersion,
      endpoint: entry.id,
      tookMs: Math.round(tookMs),
      outcome: outcome.kind,
      detail:
        outcome.kind === 'answered'
          ? `status ${outcome.answer.status}`
          : outcome.detail,
      fingerprint: this.guard.fingerprint,
    });
  }
}

/** Whether an endpoint may have started the request; usage counts it as started. */
function mayHaveRun({kind}: ExchangeOutcome): boolean {
  return kind === 'answered' || kind === 'unknown';
}

function toUnixMs(steadyMs: number): number {
  return Date.now() - (performance.now() - steadyMs);
}

function toAttemptEnd(outcome: ExchangeOutcome): AttemptEnd {
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
