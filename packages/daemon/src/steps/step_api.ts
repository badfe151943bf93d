/**
 * HTTP API for trainers: opens, streams, acknowledges, describes and cancels
 * steps.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Dispatcher as HttpDispatcher} from 'undici';
import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import {HEADERS} from '@radishyoke/shared/header';
import {DataCentreId, StepId, toStepId, VmId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {StepRequest, stepRequestSchema} from '@radishyoke/shared/rollout';
import {sendError, sendJson} from '@radishyoke/wire/error_answer';
import {Forward} from '@radishyoke/wire/forward';
import {type BodyLimits, readBody} from '@radishyoke/wire/request_body';
import {z} from 'zod';
import {
  Caller,
  createRouteHeaders,
  identifyCaller,
  readRuleFacts,
  readSingleHeader,
} from '../callers/caller.js';
import type {Route, RuleRegistry} from '../rule_registry.js';
import type {LimitSettings} from '../settings/settings.js';
import type {StepDirectory, StepLocation} from './step_directory.js';
import {HEARTBEAT_INTERVAL_MS} from './step_stream.js';

const stepsPrefix = '/v1/steps/';
const stepIdPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
/**
 * Retry delay given to a trainer when the step's owner is unknown or can not be
 * reached, ms.
 */
const ownerRetryMs = 500;
/** Missed heartbeats after which a forwarded stream is treated as broken. */
const maxMissedHeartbeats = 3;

const nonNegativeIntegerSchema = z.coerce.number().int().min(0);
const acknowledgementSchema = z.strictObject({
  cursor: z.number().int().min(0),
  weightVersion: z.number().int().min(0),
});

export interface StepApiOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  readonly limits: LimitSettings;
  /** Limits of request bodies. */
  readonly bodyLimits: BodyLimits;
  readonly rules: RuleRegistry;
  readonly directory: StepDirectory;
  readonly http: HttpDispatcher;
  /** Returns the `ip:port` on which another VM listens for callers. */
  readonly findCallerAddress: (vm: VmId) => string | undefined;
}

/** One API request about a step. */
interface StepCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly caller: Caller;
  readonly step: StepId;
  readonly url: URL;
  /** The body as received; empty if there was none. */
  readonly body: Buffer;
}

export class StepApi {
  constructor(private readonly options: StepApiOptions) {}

  /** Whether `path` belongs to this API. */
  static matches(path: string): boolean {
    return path.startsWith(stepsPrefix);
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const caller = identifyCaller(req, this.options.rules);
    if (!caller.ok) return sendError(res, caller.error);
    const url = new URL(req.url ?? '/', 'http://vm');
    const [id = '', subpath = ''] = url.pathname
      .slice(stepsPrefix.length)
      .split('/');
    if (!stepIdPattern.test(id)) {
      return sendError(res, createError('bad_request', 'malformed step id'));
    }
    const body = await readBody(req, this.options.bodyLimits);
    if (!body.ok) return sendError(res, body.error);
    const call: StepCall = {
      req,
      res,
      caller: caller.value,
      step: toStepId(id),
      url,
      body: body.value,
    };
    const err = await this.route(call, `${req.method} ${subpath}`.trim());
    if (err) sendError(res, err);
  }

  private async route(
    call: StepCall,
    operation: string,
  ): Promise<RadishyokeError | undefined> {
    switch (operation) {
      case 'PUT':
        return this.open(call);
      case 'GET rollouts':
        return this.follow(call);
      case 'POST ack':
        return this.acknowledge(call);
      case 'DELETE':
        return this.cancel(call);
      case 'GET':
        return this.describe(call);
      default:
        return createError('not_found', `no operation ${operation} on a step`);
    }
  }

  private async open(call: StepCall): Promise<RadishyokeError | undefined> {
    const req = parseStepRequest(call.body, this.options.limits);
    if (!req.ok) return req.error;
    const {rules, dataCentre, directory} = this.options;
    const {tenant, team} = call.caller;
    const facts = readRuleFacts(call.req, tenant, dataCentre, {
      workClass: 'rollout',
      model: req.value.model,
    });
    const route = rules.resolve(team, facts);
    if (!route.ok) return route.error;
    const location = await directory.open(
      tenant,
      call.step,
      limitStaleness(req.value, route.value),
      route.value,
    );
    if (!location.ok) return location.error;
    const headers = createRouteHeaders(route.value);
    const owner =
      location.value.kind === 'elsewhere' ? location.value.vm : this.options.vm;
    const state = location.value.kind === 'closed' ? 'closed' : 'open';
    sendJson(call.res, 200, {step: call.step, state, owner}, headers);
    return undefined;
  }

  private async follow(call: StepCall): Promise<RadishyokeError | undefined> {
    const cursor = nonNegativeIntegerSchema.safeParse(
      call.url.searchParams.get('cursor') ?? 0,
    );
    const version = nonNegativeIntegerSchema.safeParse(
      call.url.searchParams.get('weightVersion') ?? 0,
    );
    if (!cursor.success || !version.success) {
      const detail = 'cursor and weightVersion must be whole numbers';
      return createError('bad_request', detail);
    }
    return this.withStep(call, location => {
      if (location.kind === 'here') {
        location.task.attach(call.res, cursor.data, version.data, {});
        return;
      }
      const end = {kind: 'end', fencing: 0, ...countSettled(location)};
      call.res.writeHead(200, {'content-type': 'application/x-ndjson'});
      call.res.end(`${JSON.stringify(end)}\n`);
    });
  }

  private async acknowledge(
    call: StepCall,
  ): Promise<RadishyokeError | undefined> {
    const body = parseJson(call.body);
    const parsed = acknowledgementSchema.safeParse(body);
    if (!parsed.success) {
      return createError('bad_request', z.prettifyError(parsed.error));
    }
    const {cursor, weightVersion} = parsed.data;
    return this.withStep(call, location => {
      if (location.kind === 'here')
        location.task.acknowledge(cursor, weightVersion);
      sendJson(call.res, 202, {cursor});
    });
  }

  private async cancel(call: StepCall): Promise<RadishyokeError | undefined> {
    return this.withStep(call, location => {
      if (location.kind === 'here') location.task.cancel();
      sendJson(call.res, 202, {step: call.step});
    });
  }

  private async describe(call: StepCall): Promise<RadishyokeError | undefined> {
    return this.withStep(call, location => {
      const {step} = call;
      if (location.kind === 'here') {
        const progress = location.task.describe();
        sendJson(call.res, 200, {step, state: 'open', ...progress});
        return;
      }
      const state = location.ledger.closed;
      sendJson(call.res, 200, {step, state, ...countSettled(location)});
    });
  }

  /**
   * Calls `answer` if this VM owns the step or it is closed; otherwise forwards
   * the request to the owner.
   */
  private async withStep(
    call: StepCall,
    answer: (location: Exclude<StepLocation, {kind: 'elsewhere'}>) => void,
  ): Promise<RadishyokeError | undefined> {
    const {tenant} = call.caller;
    const location = await this.options.directory.locate(tenant, call.step);
    if (!location.ok) return location.error;
    if (location.value.kind !== 'elsewhere') {
      answer(location.value);
      return undefined;
    }
    return this.forward(call, location.value.vm);
  }

  private async forward(
    call: StepCall,
    owner: VmId,
  ): Promise<RadishyokeError | undefined> {
    const retry = {retryAfterMs: ownerRetryMs};
    const address = this.options.findCallerAddress(owner);
    const {forwardedBy} = HEADERS;
    // Two VMs that each consider the other the owner would forward a request
    // back and forth. A single hop suffices when both have read the log.
    if (!address || readSingleHeader(call.req, forwardedBy)) {
      return createError('not_owner', undefined, retry);
    }
    const forward = new Forward(
      this.options.http,
      {
        origin: `http://${address}`,
        method: call.req.method ?? 'GET',
        path: call.req.url ?? '/',
        headers: {...call.req.headers, [forwardedBy]: this.options.vm},
        body: call.body,
        answerHeaders: {},
        progressTimeoutMs: maxMissedHeartbeats * HEARTBEAT_INTERVAL_MS,
      },
      call.res,
    );
    const end = await forward.run();
    if (end.kind !== 'failed') return undefined;
    if (end.answered) {
      call.res.destroy();
      return undefined;
    }
    return createError(
      'not_owner',
      `the owner ${owner} can not be reached`,
      retry,
    );
  }
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function parseStepRequest(
  body: Buffer,
  limits: LimitSettings,
): Result<StepRequest> {
  const parsed = stepRequestSchema.safeParse(parseJson(body));
  if (!parsed.success) {
    return fail(createError('bad_request', z.prettifyError(parsed.error)));
  }
  const {groups} = parsed.data;
  const samples = groups.reduce((sum, group) => sum + group.samples, 0);
  const tooLarge =
    groups.length > limits.maxGroups ||
    samples > limits.maxSamples ||
    groups.some(
      group =>
        group.samples > limits.maxSamplesPerGroup ||
        Buffer.byteLength(group.prompt) > limits.maxPromptBytes,
    );
  if (tooLarge) {
    return fail(createError('too_large', 'the step is over a size limit'));
  }
  return succeed(parsed.data);
}

/** Limits the trainer's staleness bound to the one set by the rule. */
function limitStaleness(req: StepRequest, route: Route): StepRequest {
  const {maxStaleness} = route.action;
  if (maxStaleness === undefined) return req;
  return {...req, maxStaleness: Math.min(req.maxStaleness, maxStaleness)};
}

function countSettled(location: Extract<StepLocation, {kind: 'closed'}>) {
  const committed = location.ledger.listCommitted();
  const shortfalls = committed.filter(entry => entry.shortfall).length;
  return {rollouts: committed.length - shortfalls, shortfalls};
}
