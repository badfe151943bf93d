/**
 * Routing rules by host and path. Rules are ordered, longest prefix first, and
 * the first match decides, so an answer can name the one rule that caused it.
 */

import {AccountDirectory} from '../accounts/account_directory.js';
import type {ClientAccount} from '../accounts/client_account.js';

/** What may be done with a request when the outcome of an attempt is unknown. */
export type RequestKind =
  | 'idempotent'
  | 'non_idempotent'
  /** One answer that arrives as a series of events. */
  | 'streaming'
  /** Many items taken at once, run later and read by position. */
  | 'batch';

/** One service of a route with its share of the traffic. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other services of the route. */
  readonly weight: number;
}

/** Promises that a batch route makes for its items. */
export interface BatchTerms {
  /** All results are due this long after the batch was first submitted, ms. */
  readonly dueMs: number;
  /** An item may be given up this long after the submission, ms. */
  readonly retentionMs: number;
  /** Whether each result must come from one weight version only. */
  readonly singleVersion: boolean;
}

/** One routing rule: when host and path prefix match, then this is done. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Whether a broken event stream may go on at another endpoint. */
  readonly resumable: boolean;
  readonly services: readonly WeightedService[];
  /** Most endpoints that one attempt of a caller is sent to. */
  readonly attempts: number;
  readonly timeoutMs: number;
  /** Time within which an answer is of full use to the caller, ms. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether its requests need no key of an account; without it they do. */
  readonly isPublic?: boolean;
  /** Present where `kind` is `batch`. */
  readonly batch?: BatchTerms;
}

/** What the operator says of one service's endpoints. */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one endpoint takes from all VMs together. */
  readonly maxConnections: number;
  /** Present for model engines. */
  readonly engine?: EngineSpec;
}

export interface EngineSpec {
  /** Generations that run at once on one endpoint. */
  readonly slots: number;
  /** Tokens that the engine's memory holds. */
  readonly kvTokens: number;
  readonly models: readonly string[];
  /** Output tokens in one event of a generation. */
  readonly tokensPerEvent: number;
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration, whole. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceSpec[];
  readonly limits: CallerLimits;
  /** Who may send requests; without a list nobody is asked for a key. */
  readonly accounts?: readonly ClientAccount[];
}

/** The routes of one configuration made ready for look-ups. */
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
   * The first matching rule in order of prefix length, or undefined. Each slash
   * of the path is tried from the last one back, so the cost is one look-up a
   * path segment, whatever the number of routes.
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
    // Of two rules with one condition the first decides.
    if (!prefixes.has(route.pathPrefix)) prefixes.set(route.pathPrefix, route);
  }
}

/** `host` in lower case and without its port. */
export function canonicalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/** A number in [0, 1) that the same id always gives. */
export function hashToUnitInterval(id: string): number {
  let hash = 2166136261;
  for (let i = 0; i < id.length; i++) {
    hash = Math.imul(hash ^ id.charCodeAt(i), 16777619);
  }
  return (hash >>> 0) / 2 ** 32;
}

/**
 * Picks a service of `route` by weight. `draw` in [0, 1) decides, so that the
 * caller may derive it from the request's id and repeat the choice.
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
