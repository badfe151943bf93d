/**
 * The listener of the administration API. Each request is first authenticated
 * by its token, which belongs to a team. Without a valid token the answer
 * reveals nothing, not even which paths exist.
 */

import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {z} from 'zod';
import {
  METRICS_CONTENT_TYPE,
  renderMetricsText,
} from '@radishyoke/core/metrics/metrics_text';
import {createError, ErrorKind} from '@radishyoke/shared/error_kind';
import type {TeamId, TenantId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {sendError, sendJson} from '@radishyoke/wire/error_answer';
import {ConnectionGuard} from '@radishyoke/wire/connection_guard';
import {listenAt} from '@radishyoke/wire/listen';
import {MemoryBudget} from '@radishyoke/wire/memory_budget';
import {readJson} from '@radishyoke/wire/request_body';
import {Authenticator, Principal} from './admin_auth.js';
import type {AdminBackend} from './admin_backend.js';
import {
  ADMIN_ROUTES,
  AdminCall,
  AdminRoute,
  matchesAnswer,
  mayShowSeries,
} from './admin_route.js';
import {ADMIN_ANSWERS, AdminAnswerName} from './admin_schema.js';
import type {Settings} from '../settings/settings.js';

/** One request, for the access log. Contains no part of any secret. */
export interface AdminAccess {
  /** Set only for a token name that the settings define. */
  readonly tokenName: string | undefined;
  readonly team: TeamId | undefined;
  readonly method: string;
  /** Without the query string. */
  readonly path: string;
  readonly remoteAddress: string;
  /** `granted`, or the kind of the error that was answered. */
  readonly outcome: 'granted' | ErrorKind;
}

export type AdminSettings = Pick<Settings, 'tenants' | 'tokens' | 'admin'>;

/** Maximum body size; fits the largest rule set with room for JSON escapes. */
const MAX_BODY_BYTES = 524_288;
const MAX_HEADER_BYTES = 8192;
const MAX_CONNECTIONS = 128;
const HEADERS_TIMEOUT_MS = 5000;
const REQUEST_TIMEOUT_MS = 15_000;
/** Requests of one connection that may wait for their answers. */
const MAX_REQUESTS_AHEAD = 16;
/** Memory for bodies and requests sent ahead, bytes. */
const MAX_HELD_BYTES = 8 * 1024 * 1024;
const MAX_LOGGED_PATH_CHARS = 200;

const METRICS_PATH = '/metrics';
const SCHEMA_PATH = '/admin/v1/schemas/';

/** Serves the administration API of one backend over HTTP. */
export class AdminServer {
  private readonly server: Server;
  private readonly authenticator: Authenticator;
  private readonly memory = new MemoryBudget(MAX_HELD_BYTES);

  constructor(
    private readonly backend: AdminBackend,
    private readonly settings: AdminSettings,
    private readonly logAccess: (access: AdminAccess) => void,
  ) {
    this.authenticator = new Authenticator(settings.tokens);
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
      },
      (req, res) => void this.handle(req, res).catch(() => res.destroy()),
    );
    const limits = {
      maxConnections: MAX_CONNECTIONS,
      maxRequestsAhead: MAX_REQUESTS_AHEAD,
    };
    new ConnectionGuard(this.server, limits, this.memory);
  }

  /** Listens at `address` (`ip:port`); resolves to the address in use. */
  listen(address: string): Promise<string> {
    return listenAt(this.server, address);
  }

  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = readUrl(req);
    const {authorization} = req.headers;
    const principal = await this.authenticator.authenticate(
      authorization,
      Date.now(),
    );
    const result = principal.ok
      ? await this.answer(req, res, url, principal.value)
      : principal;
    this.logAccess({
      tokenName: this.authenticator.findTokenName(authorization),
      team: principal.ok ? principal.value.team : undefined,
      method: req.method ?? '',
      path: url.pathname.slice(0, MAX_LOGGED_PATH_CHARS),
      remoteAddress: req.socket.remoteAddress ?? '',
      outcome: result.ok ? 'granted' : result.error.kind,
    });
    if (!result.ok) sendError(res, result.error, createChallenge(result.error));
  }

  private async answer(
    req: IncomingMessage,
    res: ServerResponse,
    url: URL,
    principal: Principal,
  ): Promise<Result<void>> {
    const call = this.createCall(principal, url);
    if (req.method === 'GET' && url.pathname === METRICS_PATH) {
      return this.answerMetrics(res, call);
    }
    if (req.method === 'GET' && url.pathname.startsWith(SCHEMA_PATH)) {
      return answerSchema(res, url.pathname.slice(SCHEMA_PATH.length));
    }
    const route = ADMIN_ROUTES.find(
      candidate =>
        candidate.method === req.method && candidate.path === url.pathname,
    );
    if (!route) return fail(createError('not_found'));
    const allowed = checkAllowed(route, call);
    if (!allowed.ok) return allowed;
    const body = await readCallBody(req, this.memory);
    if (!body.ok) return body;
    return this.run(res, route, {...call, body: body.value});
  }

  private async run(
    res: ServerResponse,
    route: AdminRoute,
    call: AdminCall,
  ): Promise<Result<void>> {
    const result = await route.run(this.backend, call);
    if (!result.ok) return result;
    // An unexpected field could expose another team's data, so every answer is
    // validated against its schema, which rejects extra keys.
    if (!matchesAnswer(route.answer, result.value)) {
      const detail = `the answer ${route.answer} does not match its schema`;
      return fail(createError('internal', detail));
    }
    sendJson(res, 200, result.value);
    return succeed(undefined);
  }

  private answerMetrics(res: ServerResponse, call: AdminCall): Result<void> {
    const allowed = checkRole(call, 'read');
    if (!allowed.ok) return allowed;
    const text = renderMetricsText(this.backend.metrics, key =>
      mayShowSeries(call, key),
    );
    res.writeHead(200, {'content-type': METRICS_CONTENT_TYPE});
    res.end(text);
    return succeed(undefined);
  }

  private createCall(principal: Principal, url: URL): AdminCall {
    const {tenants, admin} = this.settings;
    const ownTenants = [...tenants].filter(
      ([, team]) => team === principal.team,
    );
    return {
      principal,
      isPlatformTeam: admin.platformTeam === principal.team,
      tenants: new Set<TenantId>(ownTenants.map(([tenant]) => tenant)),
      query: url.searchParams,
      body: undefined,
    };
  }
}

/** The request target as a URL; an invalid one becomes `/`, an unknown path. */
function readUrl(req: IncomingMessage): URL {
  const base = 'http://admin';
  const target = req.url ?? '/';
  return new URL(URL.canParse(target, base) ? target : '/', base);
}

function checkAllowed(route: AdminRoute, call: AdminCall): Result<void> {
  if (route.platformOnly && !call.isPlatformTeam) {
    return fail(
      createError('forbidden', 'only the platform team may make this call'),
    );
  }
  return checkRole(call, route.role);
}

function checkRole(
  {principal}: AdminCall,
  role: AdminRoute['role'],
): Result<void> {
  return principal.roles.includes(role)
    ? succeed(undefined)
    : fail(createError('forbidden', `the token lacks the role ${role}`));
}

async function readCallBody(
  req: IncomingMessage,
  budget: MemoryBudget,
): Promise<Result<unknown>> {
  if (req.method !== 'POST') return succeed(undefined);
  return readJson(req, {
    maxBytes: MAX_BODY_BYTES,
    maxSilenceMs: REQUEST_TIMEOUT_MS,
    maxMs: REQUEST_TIMEOUT_MS,
    budget,
  });
}

function answerSchema(res: ServerResponse, name: string): Result<void> {
  if (!Object.hasOwn(ADMIN_ANSWERS, name)) {
    return fail(createError('not_found', 'no such schema'));
  }
  const schema = ADMIN_ANSWERS[name as AdminAnswerName];
  sendJson(res, 200, z.toJSONSchema(schema, {io: 'input'}));
  return succeed(undefined);
}

function createChallenge(err: {
  readonly kind: ErrorKind;
}): Readonly<Record<string, string>> {
  return err.kind === 'unauthorized' ? {'www-authenticate': 'Bearer'} : {};
}
