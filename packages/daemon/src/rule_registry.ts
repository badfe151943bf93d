/**
 * Looks up rules in the configuration in force for each team, compiled once per
 * version.
 */

import type {ConfigHistory} from '@radishyoke/core/rules/config_history';
import type {
  RouteAction,
  RuleFacts,
  RuleGroup,
  RuleSet,
} from '@radishyoke/core/rules/rule';
import {
  CompiledRules,
  compileRules,
  resolveRule,
} from '@radishyoke/core/rules/rule_matcher';
import {parseRuleText} from '@radishyoke/core/rules/rule_text';
import {createError} from '@radishyoke/shared/error_kind';
import type {TeamId, TenantId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';

/**
 * The rule that applies to a request, and the configuration version it comes
 * from.
 */
export interface Route {
  readonly rule: string;
  readonly configVersion: number;
  readonly action: RouteAction;
}

interface CompiledVersion {
  readonly version: number;
  readonly ruleSet: RuleSet;
  readonly compiled: CompiledRules;
}

const sourceName = 'published configuration';

/** Called with the result of each rule lookup. */
export type RuleObserver = (facts: RuleFacts, route: Result<Route>) => void;

export class RuleRegistry {
  private readonly cache = new Map<TeamId, CompiledVersion>();

  constructor(
    private readonly tenants: ReadonlyMap<TenantId, TeamId>,
    private readonly readHistory: () => ConfigHistory,
    private readonly onResolved: RuleObserver = () => undefined,
    private readonly platformTeam?: TeamId,
  ) {}

  /** Returns the team that is responsible for `tenant`. */
  findTeam(tenant: TenantId): TeamId | undefined {
    return this.tenants.get(tenant);
  }

  /**
   * Finds the rule for a request and reports the lookup. A refusal by a rule is
   * an error.
   */
  resolve(team: TeamId, facts: RuleFacts): Result<Route> {
    const route = this.findRoute(team, facts);
    this.onResolved(facts, route);
    return route;
  }

  /**
   * Same as `resolve`, but without reporting the lookup, so no request is
   * counted.
   */
  findRoute(team: TeamId, facts: RuleFacts): Result<Route> {
    const current = this.getCompiled(team);
    if (!current)
      return fail(
        createError('not_current', 'no valid configuration for the team'),
      );
    const decision = resolveRule(current.compiled, facts);
    if (!decision) return fail(createError('no_rule'));
    if (decision.then.kind === 'refuse') {
      const detail = `refused by rule ${decision.rule} of version ${current.version}`;
      return fail(createError(decision.then.error, detail, {ran: 'no'}));
    }
    return succeed({
      rule: decision.rule,
      configVersion: current.version,
      action: decision.then,
    });
  }

  /**
   * Lists the groups that a configuration defines by endpoint id. An endpoint
   * is in the same group for all teams. If every team could assign endpoints,
   * one team could move an endpoint out of a group that another team's rules
   * use, and the other team's requests would fail with `no_endpoint`. So only
   * the groups of the platform team are used, or those of the only team.
   */
  listGroups(): readonly RuleGroup[] {
    const team = this.platformTeam ?? findOnly(new Set(this.tenants.values()));
    return (team && this.getCompiled(team)?.ruleSet.groups) ?? [];
  }

  /**
   * Finds a rule in a given version. A step keeps the rule it was opened with,
   * also after a new owner takes it over, so that the audit names the rule that
   * applied.
   */
  findByVersion(
    team: TeamId,
    rule: string,
    configVersion: number,
  ): Route | undefined {
    const version = this.readHistory()
      .history(team)
      .find(entry => entry.version === configVersion);
    if (!version) return undefined;
    const parsed = parseRuleText(version.text, sourceName);
    if (!parsed.ok) return undefined;
    const action = parsed.value.rules.find(({name}) => name === rule)?.then;
    if (action?.kind !== 'route') return undefined;
    return {rule, configVersion, action};
  }

  private getCompiled(team: TeamId): CompiledVersion | undefined {
    const current = this.readHistory().current(team);
    if (!current) return undefined;
    const cached = this.cache.get(team);
    if (cached?.version === current.version) return cached;
    const parsed = parseRuleText(current.text, sourceName);
    if (!parsed.ok) return cached;
    const compiled = {
      version: current.version,
      ruleSet: parsed.value,
      compiled: compileRules(parsed.value),
    };
    this.cache.set(team, compiled);
    return compiled;
  }
}

function findOnly<T>(values: ReadonlySet<T>): T | undefined {
  return values.size === 1 ? [...values][0] : undefined;
}
