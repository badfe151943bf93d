import test from 'ava';
import fc from 'fast-check';
import {toDataCentreId, toTeamId, toTenantId} from '@radishyoke/shared/ids';
import type {Rule, RuleFacts, RuleSet, RuleAction} from '../rule.js';
import {explainRules} from '../rule_explanation.js';
import {compileRules, resolveRule} from '../rule_matcher.js';
import {canonicalizePath} from '../rule_path.js';
import {findRuleNaively} from '../../__tests__/naive_rule_matcher.js';

const SEED = 20261202;

const route: RuleAction = {
  kind: 'route',
  group: 'tutors',
  maxAttempts: 3,
  timeoutMs: 1000,
  priority: 0,
  maxQueue: 10,
  hedge: false,
};

function createRuleSet(whens: ReadonlyArray<Rule['when']>): RuleSet {
  const rules = whens.map((when, i) => ({name: `r${i}`, when, then: route}));
  return {team: toTeamId('kodkutu'), groups: [], rules};
}

function createFacts(facts: Partial<RuleFacts>): RuleFacts {
  return {
    tenant: toTenantId('app'),
    method: 'GET',
    path: '/orders',
    headers: {},
    dataCentre: toDataCentreId('gebze-a'),
    ...facts,
  };
}

const names = ['a', 'b', 'c'];
const paths = ['/p', '/p/q', '/p/q/r', '/pq', '/s'];
const anyOf = (values: readonly string[]) =>
  fc.option(fc.uniqueArray(fc.constantFrom(...values), {minLength: 1}), {
    nil: undefined,
    freq: 2,
  });

const whenArbitrary = fc
  .record({
    tenant: anyOf(names),
    workClass: anyOf(['interactive', 'rollout']),
    model: anyOf(names),
    method: anyOf(['GET', 'POST']),
    dataCentre: anyOf(names),
    pathPrefix: anyOf(paths),
    x: anyOf(['1', '2', '*']),
    constructorHeader: anyOf(['1']),
  })
  .map(({x, constructorHeader, ...when}) => ({
    ...when,
    headers: {
      ...(x && {'x-kind': x}),
      ...(constructorHeader && {constructor: constructorHeader}),
    },
  })) as fc.Arbitrary<Rule['when']>;

const factsArbitrary = fc
  .record({
    tenant: fc.constantFrom(...names),
    workClass: fc.constantFrom('interactive', 'rollout', undefined),
    model: fc.constantFrom(...names, undefined),
    method: fc.constantFrom('GET', 'POST', 'PUT'),
    dataCentre: fc.constantFrom(...names),
    path: fc.constantFrom(...paths, '/p/q/r/t', '/p/x', '/x'),
    x: fc.constantFrom('1', '2', '3', undefined),
  })
  .map(({x, ...facts}) => ({
    ...facts,
    headers: Object.assign(Object.create(null), x && {'x-kind': x}),
  })) as fc.Arbitrary<RuleFacts>;

test('the compiled rules decide like a linear scan of all rules', t => {
  const property = fc.property(
    fc.array(whenArbitrary, {maxLength: 80}),
    fc.array(factsArbitrary, {minLength: 20, maxLength: 20}),
    (whens, requests) => {
      const ruleSet = createRuleSet(whens);
      const compiled = compileRules(ruleSet);
      for (const facts of requests) {
        const expected = findRuleNaively(ruleSet, facts);
        const plain = {...facts, headers: {...facts.headers}};
        const {decision, skipped} = explainRules(ruleSet, plain);
        const decided = resolveRule(compiled, plain);
        if ((decided?.index ?? -1) !== expected) return false;
        if ((decision?.index ?? -1) !== expected) return false;
        if (skipped.some(rule => rule.failed.length === 0)) return false;
      }
      return true;
    },
  );
  t.notThrows(() => fc.assert(property, {seed: SEED, numRuns: 400}));
});

// Guards against bypassing a rule: one rule refuses `/orders/cancel` and a later
// one allows everything. A caller sends `/x/../orders//%63ancel`, which the
// endpoint resolves to the refused path, so rules must compare resolved paths.
test('no spelling of a path bypasses a rule', t => {
  const compiled = compileRules(
    createRuleSet([
      {pathPrefix: ['/orders/cancel'], headers: {}},
      {headers: {}},
    ]),
  );
  for (const path of [
    '/orders/cancel',
    '/orders/cancel/',
    '/orders/cancel?now=1',
    '/x/../orders//%63ancel',
    '/./orders/cancel/7',
    '/orders\\cancel',
  ]) {
    t.is(resolveRule(compiled, createFacts({path}))?.index, 0, path);
  }
  t.is(resolveRule(compiled, createFacts({path: '/orders/can'}))?.index, 1);
  t.is(canonicalizePath('/'), '');
});

test('an explanation names each condition that does not hold', t => {
  const ruleSet = createRuleSet([
    {tenant: ['trainer-1'], pathPrefix: ['/orders'], headers: {}},
    {headers: {'x-kind': ['lesson']}},
    {method: ['GET'], headers: {}},
  ]);
  const {decision, skipped} = explainRules(ruleSet, createFacts({}));
  t.is(decision?.rule, 'r2');
  t.deepEqual(skipped, [
    {
      rule: 'r0',
      index: 0,
      failed: [{key: 'when.tenant', expected: ['trainer-1'], found: 'app'}],
    },
    {
      rule: 'r1',
      index: 1,
      failed: [
        {key: 'when.header.x-kind', expected: ['lesson'], found: undefined},
      ],
    },
  ]);
});
