/** Runs one app's request: forwards it to the endpoints the scheduler names. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Dispatcher as HttpDispatcher} from 'undici';
import type {AttemptOutcome} from '@radishyoke/core/failure';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import {HEADERS} from '@radishyoke/shared/header';
import {sendError} from '@radishyoke/wire/error_answer';
import {Forward, ForwardEnd} from '@radishyoke/wire/forward';
import {Dispatcher, StartAction, WorkRunner} from './dispatcher.js';

export interface AppRunnerOptions {
  readonly workId: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** The whole body, or undefined where it is streamed from `req`. */
  readonly body: Buffer | undefined;
  /** Rule and configuration version, for the answer. */
  readonly answerHeaders: Readonly<Record<string, string>>;
  readonly progressTimeoutMs: number;
  readonly http: HttpDispatcher;
  readonly dispatcher: Dispatcher;
  /** Called once, when the caller has its answer or has gone. */
  readonly onEnd: (end: AppEnd) => void;
}

/** What became of an app's request. */
export interface AppEnd {
  readonly endpoint?: EndpointInfo;
  readonly attempts: number;
  readonly status: number;
  readonly error?: RadishyokeError;
}

export class AppRunner extends WorkRunner {
  private readonly running = new Map<number, Forward>();
  private attempts = 0;
  private endpoint: EndpointInfo | undefined;
  private ended = false;

  constructor(private readonly options: AppRunnerOptions) {
    super();
    options.res.once('close', () => this.leave());
  }

  start(action: StartAction, endpoint: EndpointInfo): void {
    const {req, res, body, http, progressTimeoutMs} = this.options;
    this.attempts = action.attempt;
    this.endpoint = endpoint;
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
        onHead: () => this.options.dispatcher.noteOutput(this.options.workId),
      },
      res,
    );
    this.running.set(action.attempt, forward);
    void forward.run().then(end => this.finish(action.attempt, end));
  }

  stop(attempt: number): void {
    this.running.get(attempt)?.stop();
    this.running.delete(attempt);
  }

  done(): void {
    this.end(this.options.res.statusCode);
  }

  giveUp(error: RadishyokeError): void {
    const {res, answerHeaders} = this.options;
    if (!res.destroyed) sendError(res, error, answerHeaders);
    this.end(res.statusCode, error);
  }

  private finish(attempt: number, end: ForwardEnd): void {
    if (!this.running.delete(attempt)) return;
    // Once the caller has the head of an answer no other attempt can give it
    // the rest: the connection is broken so that half is not taken for whole.
    if (end.kind === 'failed' && end.answered) {
      this.options.res.destroy();
      return;
    }
    const {workId, dispatcher} = this.options;
    dispatcher.post({
      kind: 'ended',
      workId,
      attempt,
      outcome: resolveOutcome(end),
    });
  }

  private leave(): void {
    if (this.ended) return;
    if (this.options.res.writableFinished) return;
    for (const forward of this.running.values()) forward.stop();
    this.options.dispatcher.cancel(this.options.workId);
    this.end(0);
  }

  private end(status: number, error?: RadishyokeError): void {
    if (this.ended) return;
    this.ended = true;
    this.options.onEnd({
      endpoint: this.endpoint,
      attempts: this.attempts,
      status,
      error,
    });
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
