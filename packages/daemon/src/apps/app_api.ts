/** The API for apps: routes each request by rule and streams the answer. */

import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Dispatcher as HttpDispatcher} from 'undici';
import {computeDigest} from '@radishyoke/core/ledger/digest';
import type {WorkItem} from '@radishyoke/core/scheduling/scheduler';
import {
  createError,
  RadishyokeError,
  resolveRan,
} from '@radishyoke/shared/error_kind';
import {HEADERS} from '@radishyoke/shared/header';
import {DataCentreId, RequestId, toRequestId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {sendError} from '@radishyoke/wire/error_answer';
import {type BodyLimits, readBody} from '@radishyoke/wire/request_body';
import {AppEnd, AppRunner} from './app_runner.js';
import {
  Caller,
  createRouteHeaders,
  identifyCaller,
  readRuleFacts,
  readSingleHeader,
} from '../callers/caller.js';
import type {Dispatcher} from '../scheduling/dispatcher.js';
import type {LogTask} from '../log/log_task.js';
import type {Logger} from '../logger.js';
import type {Route, RuleRegistry} from '../rule_registry.js';

/** Idempotent methods, whose requests may be repeated (RFC 9110, 9.2.2). */
const idempotentMethods: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'PUT',
  'DELETE',
  'OPTIONS',
  'TRACE',
]);

/**
 * Maximum size of a body that is buffered for retries; a longer one is sent
 * once.
 */
const maxReplayBytes = 65_536;
/** Maximum time without data from an endpoint within one request, ms. */
const progressTimeoutMs = 10_000;
const requestIdPattern = /^[\x21-\x7e]{1,200}$/;
/** Assumed bytes per token when the prompt tokens of a body are estimated. */
const bytesPerToken = 4;

/** One ended request, for metrics and the audit. */
export interface AppRecord {
  readonly caller: Caller;
  readonly requestId: RequestId;
  readonly route: Route;
  readonly end: AppEnd;
  readonly durationMs: number;
}

export interface AppApiOptions {
  readonly dataCentre: DataCentreId;
  readonly rules: RuleRegistry;
  readonly dispatcher: Dispatcher;
  readonly http: HttpDispatcher;
  readonly log: LogTask;
  /** Limits of request bodies that are read whole. */
  readonly bodyLimits: BodyLimits;
  readonly logger: Logger;
  readonly onEnd: (record: AppRecord) => void;
}

export class AppApi {
  private inFlight = 0;

  constructor(private readonly options: AppApiOptions) {}

  /** The number of requests in flight. */
  countInFlight(): number {
    return this.inFlight;
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {rules, dataCentre} = this.options;
    const caller = identifyCaller(req, rules);
    if (!caller.ok) return this.refuse(res, caller.error);
    const {tenant, team} = caller.value;
    const route = rules.resolve(team, readRuleFacts(req, tenant, dataCentre));
    if (!route.ok) return this.refuse(res, route.error);
    const idempotent = resolveIdempotent(req, route.value);
    if (!idempotent.ok) return this.refuse(res, idempotent.error);
    const body = await readReplayBody(req, this.options.bodyLimits);
    if (!body.ok) return this.refuse(res, body.error);
    const id = await this.claimRequest(req, caller.value, idempotent.value);
    if (!id.ok) return this.refuse(res, id.error);
    this.submit(
      {req, res, caller: caller.value, route: route.value, ...id.value},
      body.value,
      idempotent.value,
    );
  }

  private refuse(res: ServerResponse, err: RadishyokeError): void {
    sendError(res, err);
  }

  /**
   * Claims the id of a non-idempotent request through the log before it is sent
   * to an endpoint. A caller that got no answer may resend the request through
   * another VM; only one VM wins the claim, so the request runs at most once.
   */
  private async claimRequest(
    req: IncomingMessage,
    caller: Caller,
    idempotent: boolean,
  ): Promise<Result<ClaimedId>> {
    const suppliedId = readSingleHeader(req, HEADERS.requestId);
    if (suppliedId === undefined) {
      return succeed({id: toRequestId(randomUUID()), claimed: false});
    }
    if (!requestIdPattern.test(suppliedId)) {
      const detail = `header ${HEADERS.requestId} is malformed`;
      return fail(createError('bad_request', detail));
    }
    const id = toRequestId(suppliedId);
    if (idempotent) return succeed({id, claimed: false});
    const {tenant} = caller;
    const claimed = await this.options.log.append({
      kind: 'request_claimed',
      tenant,
      req: id,
    });
    if (!claimed.ok) return claimed;
    const {verdict} = claimed.value;
    if (verdict.kind === 'accepted') return succeed({id, claimed: true});
    if (verdict.reason === 'claims_full') {
      return fail(
        createError('overloaded', 'too many request ids are claimed'),
      );
    }
    return fail(createError('duplicate_request'));
  }

  /**
   * Releases the claim of a request that did not run. The error allows the
   * caller to resend it, but a remaining claim would refuse that for an hour.
   */
  private releaseRequest({caller, id}: AppCall): void {
    const {tenant} = caller;
    void this.options.log.append({kind: 'request_released', tenant, req: id});
  }

  private submit(
    call: AppCall,
    body: Buffer | undefined,
    idempotent: boolean,
  ): void {
    const {dispatcher, http} = this.options;
    const work = buildWorkItem(call, body, idempotent);
    const startedAtMs = Date.now();
    this.inFlight++;
    const runner = new AppRunner({
      workId: work.id,
      req: call.req,
      res: call.res,
      body,
      answerHeaders: createRouteHeaders(call.route),
      progressTimeoutMs,
      http,
      dispatcher,
      onEnd: end => this.finish(call, end, Date.now() - startedAtMs),
    });
    dispatcher.submit(work, runner);
  }

  private finish(call: AppCall, end: AppEnd, durationMs: number): void {
    this.inFlight--;
    const {caller, route, id} = call;
    if (call.claimed && !mayHaveRun(end)) this.releaseRequest(call);
    this.options.logger.log(end.error ? 'warn' : 'debug', 'request ended', {
      requestId: id,
      tenant: caller.tenant,
      rule: route.rule,
      configVersion: route.configVersion,
      endpoint: end.attempts.at(-1)?.endpoint,
      status: end.status,
      attempts: end.attempts.length,
      error: end.error?.kind,
    });
    this.options.onEnd({caller, requestId: id, route, end, durationMs});
  }
}

/** A request's id, and whether this VM claimed it through the log. */
interface ClaimedId {
  readonly id: RequestId;
  readonly claimed: boolean;
}

interface AppCall extends ClaimedId {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly caller: Caller;
  readonly route: Route;
}

let nextWorkNumber = 1;

function buildWorkItem(
  call: AppCall,
  body: Buffer | undefined,
  idempotent: boolean,
): WorkItem {
  const {req, route, caller} = call;
  const {action} = route;
  const target = `${req.method} ${req.url}`;
  const fingerprint = body?.length
    ? `${target} ${computeDigest(body.toString('latin1'))}`
    : target;
  return {
    id: `app/${nextWorkNumber++}`,
    tenant: caller.tenant,
    workClass: action.workClass ?? 'interactive',
    group: action.group,
    priority: action.priority,
    deadlineAtMs: Date.now() + action.timeoutMs,
    promptTokens: Math.ceil((body?.length ?? 0) / bytesPerToken),
    maxTokens: 0,
    prefixKey: '',
    stepKey: '',
    groupKey: '',
    minWeightVersion: 0,
    idempotent,
    maxAttempts: body === undefined ? 1 : action.maxAttempts,
    hedge: false,
    maxQueue: action.maxQueue,
    maxInFlight: action.maxInFlight,
    fingerprint,
  };
}

/** Whether an endpoint may have received the request. */
function mayHaveRun(end: AppEnd): boolean {
  if (end.attempts.length === 0) return false;
  return end.error === undefined || resolveRan(end.error) !== 'no';
}

/**
 * Decides whether a request may be repeated. The caller's header takes
 * precedence if it says non-idempotent; otherwise the rule, then the header,
 * then the method.
 */
function resolveIdempotent(
  req: IncomingMessage,
  route: Route,
): Result<boolean> {
  const headerValue = readSingleHeader(req, HEADERS.nonIdempotent);
  if (
    headerValue !== undefined &&
    headerValue !== 'true' &&
    headerValue !== 'false'
  ) {
    const detail = `header ${HEADERS.nonIdempotent} must be true or false`;
    return fail(createError('bad_request', detail));
  }
  // The caller's `true` takes precedence over the rule: a rule meant for reads
  // could otherwise have a write retried and executed twice.
  if (headerValue === 'true') return succeed(false);
  if (route.action.idempotent !== undefined) {
    return succeed(route.action.idempotent);
  }
  if (headerValue === 'false') return succeed(true);
  return succeed(idempotentMethods.has(req.method ?? ''));
}

/** Reads a short body into memory; undefined for one that must be streamed. */
async function readReplayBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Buffer | undefined>> {
  const length = req.headers['content-length'];
  if (length === undefined) {
    const chunked = req.headers['transfer-encoding'] !== undefined;
    return succeed(chunked ? undefined : Buffer.alloc(0));
  }
  if (Number(length) > maxReplayBytes) return succeed(undefined);
  return readBody(req, {...limits, maxBytes: maxReplayBytes});
}
