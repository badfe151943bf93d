/** Runs one app request: forwards it to the endpoints the scheduler chooses. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Dispatcher as HttpDispatcher} from 'undici';
import type {
  AttemptOutcome,
  FailureKind,
} from '@radishyoke/core/scheduling/failure';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointId} from '@radishyoke/shared/ids';
import {HEADERS} from '@radishyoke/shared/header';
import {sendError} from '@radishyoke/wire/error_answer';
import {Forward, ForwardEnd} from '@radishyoke/wire/forward';
import {Dispatcher, StartAction, WorkRunner} from '../scheduling/dispatcher.js';

export interface AppRunnerOptions {
  readonly workId: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** The complete body, or undefined if it is streamed from `req`. */
  readonly body: Buffer | undefined;
  /** Headers of the answer that name the rule and configuration version. */
  readonly answerHeaders: Readonly<Record<string, string>>;
  readonly progressTimeoutMs: number;
  readonly http: HttpDispatcher;
  readonly dispatcher: Dispatcher;
  /** Called once, when the caller has its answer or has disconnected. */
  readonly onEnd: (end: AppEnd) => void;
}

/** The outcome of an app request. */
export interface AppEnd {
  /** In the order in which they ended. */
  readonly attempts: readonly AppAttempt[];
  /** HTTP status that the caller received; 0 for none. */
  readonly status: number;
  /** Absent when the caller received the complete answer. */
  readonly error?: RadishyokeError;
}

/** One attempt of an app request. Times are Unix ms. */
export interface AppAttempt {
  readonly attempt: number;
  readonly endpoint: EndpointId;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly end: 'finished' | 'stopped' | FailureKind;
}

interface RunningAttempt {
  readonly forward: Forward;
  readonly endpoint: EndpointId;
  readonly startedAtMs: number;
}

export class AppRunner extends WorkRunner {
  private readonly running = new Map<number, RunningAttempt>();
  private readonly attempts: AppAttempt[] = [];
  private ended = false;

  constructor(private readonly options: AppRunnerOptions) {
    super();
    options.res.once('close', () =>
      this.abort(createError('cancelled', 'the caller disconnected')),
    );
  }

  start(action: StartAction, endpoint: EndpointInfo): void {
    const {req, res, body, http, progressTimeoutMs} = this.options;
    const forward = new Forward(
      http,
      {
        origin: `http://${endpoint.address}`,
        method: req.method ?? 'GET',
        path: req.url ?? '/',
        headers: req.headers,
        body: body ?? req,
        answerHeaders: {
          ...this.options.answerHeaders,
          [HEADERS.endpoint]: endpoint.id,
          [HEADERS.ran]: 'yes',
        },
        progressTimeoutMs,
        onHead: () => this.options.dispatcher.recordOutput(this.options.workId),
      },
      res,
    );
    this.running.set(action.attempt, {
      forward,
      endpoint: endpoint.id,
      startedAtMs: Date.now(),
    });
    void forward.run().then(end => this.onAttemptEnd(action.attempt, end));
  }

  stop(attempt: number): void {
    this.running.get(attempt)?.forward.stop();
    this.closeAttempt(attempt, 'stopped');
  }

  done(): void {
    this.end(this.options.res.statusCode);
  }

  giveUp(error: RadishyokeError): void {
    const {res, answerHeaders} = this.options;
    if (!res.destroyed) sendError(res, error, answerHeaders);
    this.end(res.statusCode, error);
  }

  private onAttemptEnd(attempt: number, end: ForwardEnd): void {
    const attemptEnd = end.kind === 'failed' ? end.failure : end.kind;
    if (!this.closeAttempt(attempt, attemptEnd)) return;
    // When the caller has received the head of an answer, no other attempt can
    // continue it. Closing the connection shows the caller that the answer is
    // incomplete.
    const {workId, dispatcher, res} = this.options;
    if (end.kind === 'failed' && end.answered) {
      this.abort(
        createError('endpoint_failed', 'the endpoint failed while answering'),
      );
      res.destroy();
      return;
    }
    dispatcher.post({
      kind: 'ended',
      workId,
      attempt,
      outcome: resolveOutcome(end),
    });
  }

  /** Ends the request without a complete answer and stops its attempts. */
  private abort(error: RadishyokeError): void {
    if (this.ended || this.options.res.writableFinished) return;
    for (const [attempt, {forward}] of [...this.running]) {
      forward.stop();
      this.closeAttempt(attempt, 'stopped');
    }
    this.options.dispatcher.cancel(this.options.workId);
    this.end(0, error);
  }

  /** Records the end of an attempt; returns whether it was still running. */
  private closeAttempt(attempt: number, end: AppAttempt['end']): boolean {
    const running = this.running.get(attempt);
    if (!running) return false;
    this.running.delete(attempt);
    const {endpoint, startedAtMs} = running;
    const endedAtMs = Date.now();
    this.attempts.push({attempt, endpoint, startedAtMs, endedAtMs, end});
    return true;
  }

  private end(status: number, error?: RadishyokeError): void {
    if (this.ended) return;
    this.ended = true;
    this.options.onEnd({attempts: this.attempts, status, error});
  }
}

function resolveOutcome(end: ForwardEnd): AttemptOutcome {
  switch (end.kind) {
    case 'finished':
      return {kind: 'finished', tokens: 0, spans: []};
    case 'failed':
      return {
        kind: 'failed',
        failure: end.failure,
        sent: end.sent,
        tokensReceived: 0,
      };
    case 'stopped':
      return {kind: 'stopped'};
  }
}
