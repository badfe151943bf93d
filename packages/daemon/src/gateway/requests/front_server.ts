/**
 * The listener towards callers: reads requests whole, finds the rule that
 * decides each of them and hands it to the batch API or the forwarder.
 */

import http from 'node:http';
import {canonicalHost, type Route} from '@radishyoke/core/routing/route_table';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import {listenAt} from '@radishyoke/wire/listen';
import {readBody} from '@radishyoke/wire/request_body';
import type {EventLogger} from '../../logger.js';
import type {BatchApi} from '../batches/batch_api.js';
import {answerError, copyHeaders} from './caller_answer.js';
import type {CallerProtocol} from './caller_protocol.js';
import type {ConfigHolder} from '../store/config_holder.js';
import type {EndpointAnswer} from '../endpoints/endpoint_exchange.js';
import type {ForwardRequest} from './forward_request.js';
import type {Forwarder, ForwardOutcome} from './forwarder.js';
import type {StreamResult} from './stream_call.js';
import type {GatewayMetrics} from '../gateway_metrics.js';

export interface FrontParts {
  readonly protocol: CallerProtocol;
  readonly config: ConfigHolder;
  readonly forwarder: Forwarder;
  readonly batches: BatchApi;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
}

/** Limits until the operator's are known. */
const DEFAULT_MAX_HEADER_BYTES = 64 * 1024;
/** Bodies that are held at once over all requests, bytes: an eighth of the smallest VM's memory. */
const MAX_HELD_BYTES = 24 * 1024 * 1024;
/** A connection is kept a little longer than callers may reuse it, ms. */
const IDLE_SLACK_MS = 1000;
/** Used where a caller states no deadline and the route no time-out, ms. */
const DEFAULT_TIMEOUT_MS = 10_000;
/** The answer leaves this long before the caller stops waiting, ms. */
const ANSWER_MS = 5;

export class FrontServer {
  private readonly server: http.Server;
  private heldBytes = 0;
  private active = 0;
  private isDraining = false;
  private onIdle: (() => void) | undefined;

  constructor(private readonly parts: FrontParts) {
    this.server = http.createServer(
      {
        maxHeaderSize: DEFAULT_MAX_HEADER_BYTES,
        // Requests differ in time allowed; each is bounded by its own deadline.
        requestTimeout: 0,
      },
      (req, res) => void this.serve(req, res),
    );
    this.applyLimits();
  }

  listen(address: string): Promise<string> {
    return listenAt(this.server, address);
  }

  /** Takes over the operator's limits; called on each new configuration. */
  applyLimits(): void {
    const limits = this.parts.config.table?.cfg.limits;
    if (!limits) return;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
    this.server.headersTimeout =
      limits.headerTimeoutMs + limits.idleTimeoutMs + IDLE_SLACK_MS;
  }

  /** Tells callers on kept connections to leave with their next answer. */
  startDrain(): void {
    this.isDraining = true;
  }

  /** Stops listening and closes idle connections; resolves when no request is left. */
  finish(): Promise<void> {
    this.server.close();
    this.server.closeIdleConnections();
    if (this.active === 0) return Promise.resolve();
    return new Promise(resolve => (this.onIdle = resolve));
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    this.active += 1;
    res.once('close', () => {
      this.active -= 1;
      if (this.active === 0) this.onIdle?.();
    });
    if (this.isDraining) res.setHeader('Connection', 'close');
    const receivedMs = performance.now();
    try {
      await this.dispatch(req, res, receivedMs);
    } catch (err) {
      // A fault of ours: what it did to the request is not known.
      const detail =
        err instanceof Error ? (err.stack ?? err.message) : 'unknown';
      this.parts.logger.log('error', 'request failed inside', {
        requestId: this.parts.protocol.readAttempt(req.headers).id,
        detail,
      });
      this.sendError(res, createError('internal'));
    }
  }

  private async dispatch(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    receivedMs: number,
  ): Promise<void> {
    const {protocol, config, batches} = this.parts;
    const method = req.method ?? 'GET';
    const path = req.url ?? '/';
    const call = protocol.decodeCall(method, path, req.headers);
    if (!call.ok) {
      req.resume();
      return this.sendError(res, call.error);
    }
    if (call.value.kind !== 'request') {
      req.resume();
      return batches.answer(call.value, res);
    }
    const {table} = config;
    if (!table) {
      req.resume();
      return this.refuse(req, res, createError('not_current'));
    }
    const host = canonicalHost(req.headers.host ?? '');
    const route = table.match(host, path);
    if (!route) {
      req.resume();
      return this.refuse(req, res, createError('not_found'));
    }
    const body = await this.takeBody(req, res, table.cfg.limits.maxBodyBytes);
    if (!body) return;
    try {
      if (route.kind === 'batch') {
        await batches.submit(route, host, path, body, req, res);
        return;
      }
      await this.forward(req, res, route, body, receivedMs);
    } finally {
      this.heldBytes -= body.length;
    }
  }

  private async takeBody(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    maxBytes: number,
  ): Promise<Buffer | undefined> {
    if (this.heldBytes > MAX_HELD_BYTES) {
      req.resume();
      const detail = 'too many bodies are held';
      this.refuse(
        req,
        res,
        createError('overloaded', detail, {retryAfterMs: 300}),
      );
      return undefined;
    }
    const body = await readBody(req, maxBytes);
    if (!body.ok) {
      this.refuse(req, res, body.error);
      return undefined;
    }
    this.heldBytes += body.value.length;
    return body.value;
  }

  private async forward(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    route: Route,
    body: Buffer,
    receivedMs: number,
  ): Promise<void> {
    const {protocol, config} = this.parts;
    const attempt = protocol.readAttempt(req.headers);
    const timeoutMs = Math.min(
      attempt.deadlineMs ?? Infinity,
      route.timeoutMs > 0 ? route.timeoutMs : DEFAULT_TIMEOUT_MS,
    );
    if (res.destroyed) return;
    const forwarded: ForwardRequest = {
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: req.headers,
      body,
      attemptId: attempt.id,
      route,
      configVersion: config.version,
      deadlineMs: receivedMs + timeoutMs - ANSWER_MS,
    };
    const outcome =
      route.kind === 'streaming'
        ? await this.stream(forwarded, res)
        : await this.exchange(forwarded, res);
    const tookMs = performance.now() - receivedMs;
    if (outcome.kind === 'whole') {
      return this.report(route, attempt.id, 'whole', tookMs);
    }
    if (res.destroyed) return;
    this.report(route, attempt.id, describeOutcome(outcome), tookMs);
    if (outcome.kind === 'answered') this.passOn(res, outcome.answer);
    else this.sendError(res, outcome.error);
  }

  private exchange(
    req: ForwardRequest,
    res: http.ServerResponse,
  ): Promise<ForwardOutcome> {
    const call = this.parts.forwarder.start(req);
    res.once('close', () => call.abandon());
    return call.outcome;
  }

  private stream(
    req: ForwardRequest,
    res: http.ServerResponse,
  ): Promise<StreamResult> {
    const call = this.parts.forwarder.startStream(req, res);
    res.once('close', () => call.abandon());
    return call.run();
  }

  private passOn(res: http.ServerResponse, answer: EndpointAnswer): void {
    copyHeaders(answer.rawHeaders, res);
    res.statusCode = answer.status;
    res.setHeader('Content-Length', answer.body.length);
    res.end(answer.body);
  }

  private refuse(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    error: RadishyokeError,
  ): void {
    this.parts.metrics.count(`refused_${error.kind}`);
    this.parts.logger.log('info', 'request refused', {
      requestId: this.parts.protocol.readAttempt(req.headers).id,
      configVersion: this.parts.config.version,
      host: req.headers.host,
      path: req.url,
      outcome: error.kind,
    });
    this.sendError(res, error);
  }

  private sendError(res: http.ServerResponse, error: RadishyokeError): void {
    answerError(res, this.parts.protocol, error);
  }

  private report(
    route: Route,
    requestId: string | undefined,
    result: string,
    tookMs: number,
  ): void {
    const {metrics, logger, config} = this.parts;
    metrics.noteResult('requests', route.name, result, tookMs);
    logger.log('info', 'request', {
      requestId,
      rule: route.name,
      configVersion: config.version,
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
