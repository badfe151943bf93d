/**
 * Finds the route of a request by host and path prefix. The route with the longest
 * matching prefix applies, so an answer can name the one route that caused it.
 */

import {AccountDirectory} from '../accounts/account_directory.js';
import type {ClientAccount} from '../accounts/client_account.js';

/** The kind of a route's requests, which decides how they may be retried. */
export type RequestKind =
  | 'idempotent'
  | 'non_idempotent'
  /** The answer is a stream of events. */
  | 'streaming'
  /** Many items are submitted at once, and results are read by position. */
  | 'batch';

/** One service of a route with its share of the traffic. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other services of the route. */
  readonly weight: number;
}

/** Guarantees of a batch route for its items. */
export interface BatchTerms {
  /** All results are due this long after a batch's first submission, ms. */
  readonly dueMs: number;
  /** An item may be given up this long after the submission, ms. */
  readonly retentionMs: number;
  /** Whether each result must come from a single weight version. */
  readonly singleVersion: boolean;
}

/** One route: how requests with its host and path prefix are handled. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Whether a broken event stream may be resumed on another endpoint. */
  readonly resumable: boolean;
  readonly services: readonly WeightedService[];
  /** Maximum number of endpoints to which one attempt of a caller is sent. */
  readonly attempts: number;
  readonly timeoutMs: number;
  /** Answers within this time have full value for the caller, ms. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no client account key; when absent, they do. */
  readonly isPublic?: boolean;
  /** Present where `kind` is `batch`. */
  readonly batch?: BatchTerms;
}

/** The operator's description of one service's endpoints. */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections to one endpoint from all VMs together. */
  readonly maxConnections: number;
  /** Present for model engines. */
  readonly engine?: EngineSpec;
}

export interface EngineSpec {
  /** Maximum number of generations running at once on one endpoint. */
  readonly slots: number;
  /** Capacity of the engine's KV cache in tokens. */
  readonly kvTokens: number;
  readonly models: readonly string[];
  /** Output tokens per event of a generation stream. */
  readonly tokensPerEvent: number;
}

/** Limits on the size of callers' requests and the time for sending them. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the operator's configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  /** Client accounts that may send requests; when absent, no key is required. */
  readonly accounts?: readonly ClientAccount[];
}

/** Indexes the routes of one configuration for look-ups. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, Route>>();
  private readonly services = new Map<string, ServiceSpec>();
  readonly accounts: AccountDirectory;

  constructor(readonly cfg: Configuration) {
    this.accounts = new AccountDirectory(cfg.accounts);
    for (const route of cfg.routes) this.add(route);
    for (const service of cfg.services)
      this.services.set(service.name, service);
  }

  /**
   * Returns the route with the longest matching prefix, or undefined. Prefixes of
   * the path are tried from the longest, so the cost is one look-up per path
   * segment, whatever the number of routes.
   */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.byHost.get(canonicalizeHost(host));
    if (!prefixes) return undefined;
    const queryStart = path.indexOf('?');
    const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
    for (let slash = pathname.lastIndexOf('/'); slash >= 0;) {
      const route = prefixes.get(pathname.slice(0, slash + 1));
      if (route) return route;
      if (slash === 0) break;
      slash = pathname.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }

  getService(name: string): ServiceSpec | undefined {
    return this.services.get(name);
  }

  /** The configured services that run model engines. */
  get engines(): readonly ServiceSpec[] {
    return this.cfg.services.filter(({engine}) => engine !== undefined);
  }

  private add(route: Route): void {
    let prefixes = this.byHost.get(route.host);
    if (!prefixes) {
      prefixes = new Map();
      this.byHost.set(route.host, prefixes);
    }
    // Of two routes with the same host and prefix, the first one applies.
    if (!prefixes.has(route.pathPrefix)) prefixes.set(route.pathPrefix, route);
  }
}

/** Returns `host` in lower case and without its port. */
export function canonicalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/** Hashes an id to a number in [0, 1). */
export function hashToUnitInterval(id: string): number {
  let hash = 2166136261;
  for (let i = 0; i < id.length; i++) {
    hash = Math.imul(hash ^ id.charCodeAt(i), 16777619);
  }
  return (hash >>> 0) / 2 ** 32;
}

/**
 * Picks a service of `route` by weight. `random` in [0, 1) decides; a caller that
 * derives it from the request's id gets the same service again.
 */
export function pickService(route: Route, random: number): string | undefined {
  const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = random * total;
  for (const {service, weight} of route.services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.services.at(-1)?.service;
}
