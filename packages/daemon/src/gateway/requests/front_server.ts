/**
 * The HTTP server for callers: reads each request completely, finds the route that
 * matches it and hands it to the batch API or the forwarder.
 */

import http from 'node:http';
import {
  canonicalizeHost,
  type Route,
} from '@radishyoke/core/routing/route_table';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import {listenAt} from '@radishyoke/wire/listen';
import type {CallerLimits} from '@radishyoke/wire/caller_limits';
import {ConnectionGuard} from '@radishyoke/wire/connection_guard';
import type {MemoryBudget} from '@radishyoke/wire/memory_budget';
import {BodyReceipt, readAnnouncedBytes} from '@radishyoke/wire/request_body';
import {countAnswer, sendWhole} from '@radishyoke/wire/whole_answer';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import type {Caller} from '@radishyoke/core/accounts/client_account';
import type {EventLogger} from '../../logger.js';
import type {BatchApi} from '../batches/batch_api.js';
import {ActiveRequests} from './active_requests.js';
import {answerError, copyHeaders} from './caller_answer.js';
import type {CallerCall, CallerProtocol} from './caller_protocol.js';
import {fingerprintKey} from './key_fingerprint.js';
import type {ConfigHolder} from '../store/config_holder.js';
import type {EndpointAnswer} from '../endpoints/endpoint_exchange.js';
import type {ForwardRequest} from './forward_request.js';
import type {Forwarder, ForwardOutcome} from './forwarder.js';
import type {StreamResult} from './stream_call.js';
import type {GatewayMetrics} from '../gateway_metrics.js';

export interface FrontDeps {
  readonly protocol: CallerProtocol;
  readonly config: ConfigHolder;
  readonly forwarder: Forwarder;
  readonly batches: BatchApi;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
  readonly limits: CallerLimits;
  /** What is held for all callers. */
  readonly memory: MemoryBudget;
}

/** The route that matches a request, and the configuration that it is from. */
interface MatchedRoute {
  readonly route: Route;
  readonly configVersion: number;
}

/** A matched request and the caller it is accounted to. */
interface MatchedRequest extends MatchedRoute {
  readonly caller: Caller;
}

/** A matched request whose body has come. */
interface ReceivedRequest extends MatchedRequest {
  readonly body: Buffer;
  /** Steady ms by which the caller must have its answer. */
  readonly deadlineAtMs: number;
}

/** When the head of a request arrived, and the receipt of its body, if it has one. */
interface Arrival {
  readonly receivedMs: number;
  readonly receipt: BodyReceipt | undefined;
}

/** Retry delay sent while this VM can not tell whether its configuration is current, ms; another VM may accept the retry. */
const NOT_CURRENT_RETRY_MS = 150;
/** Header limit, set when the server is created, before a configuration was read. */
const DEFAULT_MAX_HEADER_BYTES = 64 * 1024;
/** Longest body that is ignored on a call that needs none, bytes. */
const MAX_IGNORED_BYTES = 64 * 1024;
const EMPTY_BODY = Buffer.alloc(0);
/** Interval at which connections without a whole head are looked at, ms. */
const CHECK_INTERVAL_MS = 1000;
/** Connections stay open this much longer than callers may reuse them, ms. */
const IDLE_SLACK_MS = 1000;
/** Time-out if neither the caller nor the route sets one, ms. */
const DEFAULT_TIMEOUT_MS = 10_000;
/** The answer is sent this long before the caller stops waiting, ms. */
const ANSWER_MARGIN_MS = 5;

/** What callers hold, and how often they have met a limit since the start. */
export interface LimitCounts {
  readonly evicted: number;
  readonly connectionsClosed: number;
  readonly connectionsRefused: number;
  readonly heldBytes: number;
  readonly connections: number;
}

/** A request that is being forwarded. */
interface PendingCall {
  /** Ends it because its caller disconnected. */
  abandon(): void;
  /** Ends it because this VM is about to stop; the caller still gets an answer. */
  giveUp(): void;
}

export class FrontServer {
  private readonly server: http.Server;
  private readonly guard: ConnectionGuard;
  private readonly active = new ActiveRequests();
  /** Calls and streams that have no result yet. */
  private readonly pendingCalls = new Set<PendingCall>();
  private isDraining = false;
  private isRefusing = false;

  constructor(private readonly deps: FrontDeps) {
    this.server = http.createServer(
      {
        maxHeaderSize: DEFAULT_MAX_HEADER_BYTES,
        // Disabled, since each request is bounded by its own deadline.
        requestTimeout: 0,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
      },
      (req, res) => void this.serve(req, res),
    );
    this.guard = this.createGuard();
    this.applyLimits();
  }

  private createGuard(): ConnectionGuard {
    const {limits, memory, metrics} = this.deps;
    metrics.registerGauge('caller_connections', () => this.guard.size);
    metrics.registerGauge(
      'caller_connections_limit',
      () => limits.maxConnections,
    );
    metrics.registerGauge(
      'caller_connections_closed_total',
      () => this.guard.closedCount,
    );
    metrics.registerGauge(
      'caller_connections_refused_total',
      () => this.guard.refusedCount,
    );
    return new ConnectionGuard(this.server, limits, memory);
  }

  /** Refuses requests whose heads take longer than the operator allows. */
  closeLateHeads(): void {
    const limits = this.deps.config.table?.cfg.limits;
    if (limits) this.guard.closeLateHeads(limits.headerTimeoutMs);
  }

  /** The limits that callers have met so far. */
  get limitCounts(): LimitCounts {
    const {evictedCount, heldBytes} = this.deps.memory;
    const {closedCount, refusedCount, size} = this.guard;
    return {
      evicted: evictedCount,
      connectionsClosed: closedCount,
      connectionsRefused: refusedCount,
      heldBytes,
      connections: size,
    };
  }

  listen(address: string): Promise<string> {
    return listenAt(this.server, address);
  }

  /** Applies the operator's limits; called on each new configuration. */
  applyLimits(): void {
    const limits = this.deps.config.table?.cfg.limits;
    if (!limits) return;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
    this.server.headersTimeout =
      limits.headerTimeoutMs + limits.idleTimeoutMs + IDLE_SLACK_MS;
  }

  /** Closes each kept-alive connection with its next answer. */
  startDrain(): void {
    this.isDraining = true;
    this.active.closeAfterAnswer();
  }

  /**
   * Takes no further request: stops listening, closes idle connections and
   * refuses what still arrives on the others, such as after a stream whose head
   * was sent before the drain. Resolves when all requests are answered.
   */
  finish(): Promise<void> {
    this.isRefusing = true;
    this.server.close();
    this.server.closeIdleConnections();
    return this.active.waitUntilIdle();
  }

  /** Answers the requests that are still being forwarded; resolves when their answers have been sent. */
  giveUp(): Promise<void> {
    for (const call of [...this.pendingCalls]) call.giveUp();
    return this.active.waitUntilIdle();
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    this.active.add(res);
    if (this.isDraining) res.setHeader('Connection', 'close');
    if (this.isRefusing) {
      return this.refuse(req, res, createError('draining'));
    }
    const receivedMs = performance.now();
    const {protocol} = this.deps;
    const {method = 'GET', url = '/', headers} = req;
    const call = protocol.decodeCall(method, url, headers);
    if (!call.ok) return this.sendError(res, call.error);
    // Begun before anything is waited for, since unread pieces would pile up.
    const receipt = this.receiveBody(req, call.value);
    try {
      await this.dispatch(req, res, call.value, {receipt, receivedMs});
    } catch (err) {
      // An internal fault: whether the request was executed is unknown.
      const detail =
        err instanceof Error ? (err.stack ?? err.message) : 'unknown';
      this.deps.logger.log('error', 'request failed inside', {
        requestId: protocol.readAttempt(headers).id,
        detail,
      });
      this.sendError(res, createError('internal'));
    } finally {
      receipt?.release();
    }
  }

  /** Begins to receive the body of a request, if it has one. */
  private receiveBody(
    req: http.IncomingMessage,
    call: CallerCall,
  ): BodyReceipt | undefined {
    if (readAnnouncedBytes(req) === 0) return undefined;
    const {protocol, config, limits, memory} = this.deps;
    const {table} = config;
    const {deadlineMs = Infinity} = protocol.readAttempt(req.headers);
    const isNeeded = call.kind === 'request' && table !== undefined;
    return new BodyReceipt(req, {
      maxBytes: isNeeded ? table.cfg.limits.maxBodyBytes : MAX_IGNORED_BYTES,
      maxSilenceMs: limits.maxBodySilenceMs,
      maxMs: Math.min(deadlineMs, limits.maxBodyMs),
      budget: memory,
    });
  }

  private async dispatch(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    call: CallerCall,
    arrival: Arrival,
  ): Promise<void> {
    const {protocol, batches} = this.deps;
    if (call.kind !== 'request') {
      // A batch submitted through a public route needs no key for later calls
      // either; the batch API checks which account owns it.
      const isKeyless = protocol.readKey(req.headers) === undefined;
      const admitted = await this.admit(req, isKeyless);
      if (!admitted.ok) return this.refuse(req, res, admitted.error);
      return batches.answer(call, admitted.value, res);
    }
    const host = canonicalizeHost(req.headers.host ?? '');
    const path = req.url ?? '/';
    const match = await this.findRoute(host, path);
    if (!match.ok) return this.refuse(req, res, match.error);
    const {route} = match.value;
    const caller = await this.admit(req, route.isPublic ?? false);
    if (!caller.ok) return this.refuse(req, res, caller.error);
    const matched = {...match.value, caller: caller.value};
    const {receipt} = arrival;
    const timeoutMs = this.computeTimeoutMs(req, route);
    // The time limit of a batch route is not for its submissions.
    if (route.kind !== 'batch') receipt?.limitTo(timeoutMs);
    const received = (await receipt?.whole) ?? succeed(undefined);
    if (!received.ok) return this.refuse(req, res, received.error);
    if (route.kind === 'batch') {
      const takeBody = () => receipt?.take() ?? EMPTY_BODY;
      return batches.submit({...matched, host, path, takeBody}, req, res);
    }
    const body = receipt?.body ?? EMPTY_BODY;
    const deadlineAtMs = arrival.receivedMs + timeoutMs - ANSWER_MARGIN_MS;
    await this.forward(req, res, {...matched, body, deadlineAtMs}, arrival);
  }

  /** Returns how long the caller waits, and the route allows it to be kept waiting, ms. */
  private computeTimeoutMs(
    {headers}: http.IncomingMessage,
    {timeoutMs}: Route,
  ): number {
    const {deadlineMs = Infinity} = this.deps.protocol.readAttempt(headers);
    return Math.min(deadlineMs, timeoutMs > 0 ? timeoutMs : DEFAULT_TIMEOUT_MS);
  }

  /** Finds the matching route; answers that there is none only if this VM's configuration is confirmed to be current. */
  private async findRoute(
    host: string,
    path: string,
  ): Promise<Result<MatchedRoute>> {
    const {config} = this.deps;
    const match = this.matchRoute(host, path);
    if (match) return succeed(match);
    if (!config.table || !(await config.confirmCurrent())) {
      return fail(createError('not_current'));
    }
    const route = this.matchRoute(host, path);
    return route ? succeed(route) : fail(createError('not_found'));
  }

  private matchRoute(host: string, path: string): MatchedRoute | undefined {
    const {table, version} = this.deps.config;
    const route = table?.match(host, path);
    return route && {route, configVersion: version};
  }

  private async admit(
    req: http.IncomingMessage,
    isPublic: boolean,
  ): Promise<Result<Caller>> {
    const {protocol, config} = this.deps;
    const key = protocol.readKey(req.headers);
    const admission = await config.admit(key, isPublic);
    switch (admission.kind) {
      case 'admitted':
        return succeed(admission.caller);
      case 'refused':
        return fail(createError('unauthorized'));
      case 'uncertain':
        return fail(
          createError('not_current', undefined, {
            retryAfterMs: NOT_CURRENT_RETRY_MS,
          }),
        );
    }
  }

  private async forward(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    matched: ReceivedRequest,
    {receivedMs}: Arrival,
  ): Promise<void> {
    if (res.destroyed) return;
    const {protocol, config} = this.deps;
    const {route} = matched;
    const forwarded: ForwardRequest = {
      ...matched,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: req.headers,
      attemptId: protocol.readAttempt(req.headers).id,
      configVersion: config.version,
    };
    const outcome =
      route.kind === 'streaming'
        ? await this.stream(forwarded, res)
        : await this.exchange(forwarded, res);
    const tookMs = performance.now() - receivedMs;
    if (outcome.kind === 'whole') {
      return this.recordResult(forwarded, 'whole', tookMs);
    }
    if (res.destroyed) return;
    this.recordResult(forwarded, describeOutcome(outcome), tookMs);
    if (outcome.kind === 'answered') this.sendAnswer(res, outcome.answer);
    else this.sendError(res, outcome.error);
  }

  private exchange(
    req: ForwardRequest,
    res: http.ServerResponse,
  ): Promise<ForwardOutcome> {
    const call = this.deps.forwarder.start(req);
    return this.track(call, call.outcome, res);
  }

  private stream(
    req: ForwardRequest,
    res: http.ServerResponse,
  ): Promise<StreamResult> {
    const call = this.deps.forwarder.startStream(req, res);
    return this.track(call, call.run(), res);
  }

  private track<T>(
    call: PendingCall,
    outcome: Promise<T>,
    res: http.ServerResponse,
  ): Promise<T> {
    res.once('close', () => call.abandon());
    this.pendingCalls.add(call);
    return outcome.finally(() => this.pendingCalls.delete(call));
  }

  private sendAnswer(res: http.ServerResponse, answer: EndpointAnswer): void {
    const {status, rawHeaders, body} = answer;
    if (!countAnswer(res, body.length, this.deps.memory)) return;
    copyHeaders(rawHeaders, res);
    sendWhole(res, status, {}, body);
  }

  private refuse(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    error: RadishyokeError,
  ): void {
    this.deps.metrics.count(`refused_${error.kind}`);
    this.deps.logger.log('info', 'request refused', {
      requestId: this.deps.protocol.readAttempt(req.headers).id,
      configVersion: this.deps.config.version,
      host: req.headers.host,
      path: req.url,
      key: fingerprintKey(this.deps.protocol.readKey(req.headers)),
      outcome: error.kind,
    });
    this.sendError(res, error);
  }

  private sendError(res: http.ServerResponse, error: RadishyokeError): void {
    answerError(res, this.deps.protocol, error);
  }

  private recordResult(
    {route, caller, attemptId, configVersion}: ForwardRequest,
    result: string,
    tookMs: number,
  ): void {
    const {metrics, logger} = this.deps;
    const account = caller.kind === 'account' ? caller.name : undefined;
    metrics.recordResult('requests', route.name, result, tookMs);
    if (account !== undefined) {
      metrics.recordResult('accounts', account, result, tookMs);
    }
    logger.log('info', 'request', {
      requestId: attemptId,
      rule: route.name,
      account,
      configVersion,
      outcome: result,
      tookMs: Math.round(tookMs),
    });
  }
}

function describeOutcome(outcome: ForwardOutcome): string {
  return outcome.kind === 'answered'
    ? String(outcome.answer.status)
    : outcome.error.kind;
}
