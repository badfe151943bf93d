/** Operators' rules: ordered when-then rules of which the first match decides. */

import type {ErrorKind} from '@radishyoke/shared/error_kind';
import type {
  DataCentreId,
  EndpointId,
  TeamId,
  TenantId,
} from '@radishyoke/shared/ids';
import type {WorkClass} from '../scheduling/scheduler.js';

/** What is known of a request when its rule is looked for. */
export interface RuleFacts {
  readonly tenant: TenantId;
  /** `rollout` for steps; absent where the caller stated none. */
  readonly workClass?: WorkClass;
  readonly model?: string;
  /** Upper case. */
  readonly method: string;
  /** As received; a query string and dot segments are ignored. */
  readonly path: string;
  /** Names in lower case, as Node.js gives them. */
  readonly headers: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
  /** Of the VM that took the request. */
  readonly dataCentre: DataCentreId;
}

/** Conditions of one rule; all must hold. An absent one always holds. */
export interface RuleConditions {
  readonly tenant?: readonly string[];
  readonly workClass?: readonly WorkClass[];
  readonly model?: readonly string[];
  readonly method?: readonly string[];
  readonly dataCentre?: readonly string[];
  /** Whole path segments: `/notes` covers `/notes/7` but not `/notes-old`. */
  readonly pathPrefix?: readonly string[];
  /** By lower-case header name; `*` holds for any value. */
  readonly headers: Readonly<Record<string, readonly string[]>>;
}

/** What happens to a request that a rule lets through. */
export interface RouteAction {
  readonly kind: 'route';
  readonly group: string;
  /** Overrides the class of the request. */
  readonly workClass?: WorkClass;
  /** Most attempts, hedges included. */
  readonly maxAttempts: number;
  readonly timeoutMs: number;
  /** Upper bound on a step's own staleness bound, in versions. */
  readonly maxStaleness?: number;
  /** Higher goes first within tenant and class. */
  readonly priority: number;
  /** Most works of a tenant that wait on one VM. */
  readonly maxQueue: number;
  /** Most works of a tenant that run at once from one VM. */
  readonly maxInFlight?: number;
  /** Whether a late attempt may be run a second time beside the first. */
  readonly hedge: boolean;
  /** Overrides what the method says. */
  readonly idempotent?: boolean;
}

/** The request is refused before anything is sent. */
export interface RefuseAction {
  readonly kind: 'refuse';
  readonly error: ErrorKind;
}

export type RuleAction = RouteAction | RefuseAction;

export interface Rule {
  readonly name: string;
  readonly when: RuleConditions;
  readonly then: RuleAction;
}

/** A group of endpoints by id; other groups come from the VM list's labels. */
export interface RuleGroup {
  readonly name: string;
  readonly endpoints: readonly EndpointId[];
}

/** The whole configuration of one team. */
export interface RuleSet {
  readonly team: TeamId;
  readonly groups: readonly RuleGroup[];
  /** In order of appearance. */
  readonly rules: readonly Rule[];
}

/** The rule that decides a request. */
export interface RuleDecision {
  readonly rule: string;
  /** Position in the rule set, from 0. */
  readonly index: number;
  readonly then: RuleAction;
}
