/**
 * Explains which rule decides a request and why the earlier rules do not match.
 */

import type {Rule, RuleDecision, RuleFacts, RuleSet} from './rule.js';
import {readHeader} from './rule_matcher.js';
import {canonicalizePath} from './rule_path.js';

/** A condition that does not hold for the request. */
export interface FailedCondition {
  /** The configuration key, for example `when.tenant`. */
  readonly key: string;
  readonly expected: readonly string[];
  /** The value in the request; undefined if it has none. */
  readonly found: string | undefined;
}

export interface SkippedRule {
  readonly rule: string;
  readonly index: number;
  readonly failed: readonly FailedCondition[];
}

export interface RuleExplanation {
  readonly decision: RuleDecision | undefined;
  /** The rules before the deciding one, or all rules if none matches. */
  readonly skipped: readonly SkippedRule[];
}

/** Evaluates the rules in order, up to the first that matches. */
export function explainRules(
  ruleSet: RuleSet,
  facts: RuleFacts,
): RuleExplanation {
  const skipped: SkippedRule[] = [];
  for (const [index, rule] of ruleSet.rules.entries()) {
    const failed = listFailedConditions(rule, facts);
    if (failed.length === 0) {
      const decision = {rule: rule.name, index, then: rule.then};
      return {decision, skipped};
    }
    skipped.push({rule: rule.name, index, failed});
  }
  return {decision: undefined, skipped};
}

function listFailedConditions(
  rule: Rule,
  facts: RuleFacts,
): readonly FailedCondition[] {
  const {when} = rule;
  const failed: FailedCondition[] = [];
  const check = (
    key: string,
    expected: readonly string[] | undefined,
    found: string | undefined,
    accepts = (value: string) => value === found,
  ) => {
    if (!expected) return;
    if (found !== undefined && expected.some(accepts)) return;
    failed.push({key, expected, found});
  };
  check('when.tenant', when.tenant, facts.tenant);
  check('when.class', when.workClass, facts.workClass);
  check('when.model', when.model, facts.model);
  check('when.method', when.method, facts.method);
  check('when.data_centre', when.dataCentre, facts.dataCentre);
  const path = canonicalizePath(facts.path);
  check('when.path_prefix', when.pathPrefix, path, prefix =>
    `${path}/`.startsWith(`${canonicalizePath(prefix)}/`),
  );
  for (const [name, expected] of Object.entries(when.headers)) {
    const found = readHeader(facts.headers, name);
    check(
      `when.header.${name}`,
      expected,
      found,
      value => value === '*' || value === found,
    );
  }
  return failed;
}
