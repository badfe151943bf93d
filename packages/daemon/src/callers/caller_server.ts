/** The HTTP listener for callers. */

import http from 'node:http';
import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import {sendError, sendJson} from '@radishyoke/wire/error_answer';
import {ConnectionGuard} from '@radishyoke/wire/connection_guard';
import {listenAt} from '@radishyoke/wire/listen';
import type {MemoryBudget} from '@radishyoke/wire/memory_budget';
import type {AppApi} from '../apps/app_api.js';
import type {Logger} from '../logger.js';
import type {LimitSettings} from '../settings/settings.js';
import {StepApi} from '../steps/step_api.js';

export interface CallerServerOptions {
  /** `ip:port`; port 0 selects a free port. */
  readonly address: string;
  readonly limits: LimitSettings;
  readonly steps: StepApi;
  readonly apps: AppApi;
  readonly logger: Logger;
  /** What is held for all callers. */
  readonly memory: MemoryBudget;
  /** Returns the error with which this VM refuses all requests, if it does. */
  readonly findRefusal: () => RadishyokeError | undefined;
  /**
   * Returns why this VM is not ready, if so. A drain makes it unready some time
   * before it refuses requests.
   */
  readonly findReadinessFailure: () => RadishyokeError | undefined;
}

/**
 * Maximum idle time of a connection, ms; longer than that of load balancers.
 */
const keepAliveTimeoutMs = 75_000;

export class CallerServer {
  private readonly server: http.Server;

  constructor(private readonly options: CallerServerOptions) {
    const {limits} = options;
    this.server = http.createServer(
      {
        maxHeaderSize: limits.maxHeaderBytes,
        keepAliveTimeout: keepAliveTimeoutMs,
        headersTimeout: limits.slowWriterTimeoutMs,
        requestTimeout: 0,
      },
      (req, res) => void this.handle(req, res),
    );
    new ConnectionGuard(this.server, limits, options.memory);
  }

  /** Resolves with the address in use. */
  listen(): Promise<string> {
    return listenAt(this.server, this.options.address);
  }

  /** Accepts no new connections; resolves when the open ones have ended. */
  async close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    await closed;
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const path = req.url ?? '/';
    if (path === '/healthz') return sendJson(res, 200, {healthy: true});
    if (path === '/readyz') return this.answerReadiness(res);
    const refusal = this.options.findRefusal();
    if (refusal) {
      // Load balancers notice a draining VM late. Closing the connection makes
      // a refused caller's retry open a new one, which may reach another VM.
      res.setHeader('connection', 'close');
      return sendError(res, refusal);
    }
    this.enforceBodyTimeout(req);
    try {
      if (StepApi.matches(path)) await this.options.steps.handle(req, res);
      else await this.options.apps.handle(req, res);
    } catch (err) {
      this.options.logger.log('error', 'request handler failed', {
        path,
        detail: err instanceof Error ? (err.stack ?? err.message) : String(err),
      });
      sendError(res, createError('internal'));
    }
  }

  private answerReadiness(res: http.ServerResponse): void {
    const failure = this.options.findReadinessFailure();
    if (failure) sendError(res, failure);
    else sendJson(res, 200, {ready: true});
  }

  /** Disconnects a caller that stalls in the middle of its request body. */
  private enforceBodyTimeout(req: http.IncomingMessage): void {
    const {slowWriterTimeoutMs} = this.options.limits;
    const {socket} = req;
    const closeIfIncomplete = () => {
      if (!req.complete) socket.destroy();
    };
    socket.setTimeout(slowWriterTimeoutMs, closeIfIncomplete);
    req.once('close', () => {
      socket.setTimeout(0);
      socket.off('timeout', closeIfIncomplete);
    });
  }
}
