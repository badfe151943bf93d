/** The rules in force for each team, compiled once per version. */

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

/** The rule that decides a request, and the version it stands in. */
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

/** Told of each look-up of a rule. */
export type RuleObserver = (facts: RuleFacts, route: Result<Route>) => void;

export class RuleRegistry {
  private readonly cache = new Map<TeamId, CompiledVersion>();

  constructor(
    private readonly tenants: ReadonlyMap<TenantId, TeamId>,
    private readonly readHistory: () => ConfigHistory,
    private readonly onResolved: RuleObserver = () => undefined,
    private readonly platformTeam?: TeamId,
  ) {}

  /** Team that answers for `tenant`. */
  findTeam(tenant: TenantId): TeamId | undefined {
    return this.tenants.get(tenant);
  }

  /** Finds the rule for a request; a refusal by rule is an error. */
  resolve(team: TeamId, facts: RuleFacts): Result<Route> {
    const route = this.findRoute(team, facts);
    this.onResolved(facts, route);
    return route;
  }

  /** As `resolve`, but no request is counted. */
  findRoute(team: TeamId, facts: RuleFacts): Result<Route> {
    const current = this.getCompiled(team);
    if (!current) return fail(createError('not_current', 'no configuration'));
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
   * Groups that a configuration lists by endpoint id. An endpoint is in one
   * group for all teams: if any team could list it, one would take it out of the
   * group that another team's rules name, which shows there as `no_endpoint`. So
   * only the platform team's lists count, or those of the only team.
   */
  listGroups(): readonly RuleGroup[] {
    const team = this.platformTeam ?? findOnly(new Set(this.tenants.values()));
    return (team && this.getCompiled(team)?.ruleSet.groups) ?? [];
  }

  /**
   * A rule as it stood in a version. A step goes on under the rule it was opened
   * with, also at a new owner: what the audit says was in force must be what ran.
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
