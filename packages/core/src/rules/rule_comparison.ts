/** Compares the decisions of two rule sets for recorded requests. */

import type {RecordedRequest} from '../audit/recorded_request.js';
import type {RuleDecision, RuleFacts, RuleSet} from './rule.js';
import {compileRules, resolveRule} from './rule_matcher.js';

/** Requests for which the deciding rule or its action would change. */
export interface ChangedDecision {
  readonly tenant: string;
  readonly method: string;
  /** Path of one of the requests, as an example. */
  readonly path: string;
  /** Name of the rule in force now; empty if no rule matches. */
  readonly before: string;
  readonly after: string;
  readonly requests: number;
}

export interface RuleComparison {
  readonly requests: number;
  readonly unchanged: number;
  /** Sorted by number of requests, descending. */
  readonly changed: readonly ChangedDecision[];
}

/**
 * Resolves each request with both rule sets; if `before` is undefined, no rule
 * matches.
 */
export function compareRuleSets(
  before: RuleSet | undefined,
  after: RuleSet,
  requests: readonly RecordedRequest[],
): RuleComparison {
  const decideBefore = createDecider(before);
  const decideAfter = createDecider(after);
  const changed = new Map<string, ChangedDecision>();
  let unchanged = 0;
  for (const {facts} of requests) {
    const oldDecision = decideBefore(facts);
    const newDecision = decideAfter(facts);
    if (isSameDecision(oldDecision, newDecision)) unchanged++;
    else
      addChange(
        changed,
        facts,
        oldDecision?.rule ?? '',
        newDecision?.rule ?? '',
      );
  }
  const sorted = [...changed.values()].sort((a, b) => b.requests - a.requests);
  return {requests: requests.length, unchanged, changed: sorted};
}

function createDecider(
  ruleSet: RuleSet | undefined,
): (facts: RuleFacts) => RuleDecision | undefined {
  if (!ruleSet) return () => undefined;
  const compiled = compileRules(ruleSet);
  return facts => resolveRule(compiled, facts);
}

function isSameDecision(
  before: RuleDecision | undefined,
  after: RuleDecision | undefined,
): boolean {
  return (
    before?.rule === after?.rule &&
    JSON.stringify(before?.then) === JSON.stringify(after?.then)
  );
}

function addChange(
  changed: Map<string, ChangedDecision>,
  {tenant, method, path}: RuleFacts,
  before: string,
  after: string,
): void {
  const key = JSON.stringify([tenant, method, before, after]);
  const requests = (changed.get(key)?.requests ?? 0) + 1;
  changed.set(key, {tenant, method, path, before, after, requests});
}
