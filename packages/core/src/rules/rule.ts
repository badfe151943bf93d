/**
 * Operators' rules: an ordered list of conditions and actions; the first match
 * decides.
 */

import type {ErrorKind} from '@radishyoke/shared/error_kind';
import type {
  DataCentreId,
  EndpointId,
  TeamId,
  TenantId,
} from '@radishyoke/shared/ids';
import type {WorkClass} from '../scheduling/scheduler.js';

/** The properties of a request that rules are matched against. */
export interface RuleFacts {
  readonly tenant: TenantId;
  /** `rollout` for steps; absent when the caller did not specify one. */
  readonly workClass?: WorkClass;
  readonly model?: string;
  /** Upper case. */
  readonly method: string;
  /** As received; matching drops the query string and resolves dot segments. */
  readonly path: string;
  /** By lower-case name, as in Node.js. */
  readonly headers: Readonly<
    Record<string, string | readonly string[] | undefined>
  >;
  /** Data centre of the VM that received the request. */
  readonly dataCentre: DataCentreId;
}

/** Conditions of one rule; all must hold. An absent condition always holds. */
export interface RuleConditions {
  readonly tenant?: readonly string[];
  readonly workClass?: readonly WorkClass[];
  readonly model?: readonly string[];
  readonly method?: readonly string[];
  readonly dataCentre?: readonly string[];
  /**
   * Matches complete segments: `/notes` covers `/notes/7` but not `/notes-old`.
   */
  readonly pathPrefix?: readonly string[];
  /** Accepted values by lower-case header name; `*` accepts any value. */
  readonly headers: Readonly<Record<string, readonly string[]>>;
}

/** Routes the request to a group of endpoints. */
export interface RouteAction {
  readonly kind: 'route';
  readonly group: string;
  /** Overrides the class that the request specifies. */
  readonly workClass?: WorkClass;
  /** Maximum number of attempts, including hedged ones. */
  readonly maxAttempts: number;
  readonly timeoutMs: number;
  /**
   * Upper limit on the staleness bound that a step requests, in weight
   * versions.
   */
  readonly maxStaleness?: number;
  /** Higher values are scheduled first within a tenant and class. */
  readonly priority: number;
  /** Maximum number of a tenant's work items that wait on one VM. */
  readonly maxQueue: number;
  /** Maximum number of a tenant's work items in flight from one VM. */
  readonly maxInFlight?: number;
  /** Whether a slow attempt may be hedged: run a second time in parallel. */
  readonly hedge: boolean;
  /** Overrides whether the HTTP method counts as idempotent. */
  readonly idempotent?: boolean;
}

/** Refuses the request before anything is sent to an endpoint. */
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

/**
 * A group with an explicit list of endpoints; other groups come from labels in
 * the VM list.
 */
export interface RuleGroup {
  readonly name: string;
  readonly endpoints: readonly EndpointId[];
}

/** The complete configuration of one team. */
export interface RuleSet {
  readonly team: TeamId;
  readonly groups: readonly RuleGroup[];
  /** In the order of the configuration text. */
  readonly rules: readonly Rule[];
}

/** The first rule that matches a request, with its action. */
export interface RuleDecision {
  readonly rule: string;
  /** Zero-based position in the rule set. */
  readonly index: number;
  readonly then: RuleAction;
}
