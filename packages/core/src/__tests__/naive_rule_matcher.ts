/** Reference implementation of rule matching: a linear scan of all rules. */

import type {RuleFacts, RuleSet, RuleConditions} from '../rules/rule.js';

/**
 * Returns the index of the first rule that matches, or -1. Paths must be
 * canonical.
 */
export function findRuleNaively(ruleSet: RuleSet, facts: RuleFacts): number {
  return ruleSet.rules.findIndex(({when}) => matchesConditions(when, facts));
}

function matchesConditions(when: RuleConditions, facts: RuleFacts): boolean {
  const accepts = (values: readonly string[] | undefined, value?: string) =>
    !values || (value !== undefined && values.includes(value));
  return (
    accepts(when.tenant, facts.tenant) &&
    accepts(when.workClass, facts.workClass) &&
    accepts(when.model, facts.model) &&
    accepts(when.method, facts.method) &&
    accepts(when.dataCentre, facts.dataCentre) &&
    (!when.pathPrefix ||
      when.pathPrefix.some(
        p => facts.path === p || facts.path.startsWith(`${p}/`),
      )) &&
    Object.entries(when.headers).every(
      ([name, values]) =>
        facts.headers[name] !== undefined &&
        (values.includes('*') || values.includes(String(facts.headers[name]))),
    )
  );
}
