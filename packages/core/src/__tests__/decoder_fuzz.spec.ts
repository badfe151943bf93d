import test from 'ava';
import fc from 'fast-check';
import {toDataCentreId, toTeamId, toTenantId} from '@radishyoke/shared/ids';
import {HISTOGRAMS, type HistogramName} from '../metrics/metric_schema.js';
import {MetricRegistry} from '../metrics/metrics.js';
import {explainRules} from '../rules/rule_explanation.js';
import {compileRules, resolveRule} from '../rules/rule_matcher.js';
import {canonicalizePath} from '../rules/rule_path.js';
import {checkRuleText, parseRuleText} from '../rules/rule_text.js';

const SEED = 20261202;
const RUNS = 1500;

const KEYS = [
  'when.tenant',
  'when.path_prefix',
  'when.header.x',
  'then.group',
  'then.timeout',
  'then.refuse',
  '__proto__',
  'constructor',
  'a[]',
];
const VALUES = [
  'a',
  'a, b',
  '/p',
  '5s',
  '"',
  '"a',
  "'x'",
  '\\',
  ';',
  '=',
  '[x]',
  '',
  'null',
  'true',
  '{"a":1}',
  'no_rule',
];
const SECTIONS = [
  'config',
  'rule.a',
  'rule.1',
  'rule.__proto__',
  'group.g',
  '',
  ']',
  'a.b.c',
];

/** Texts of plausible lines with random lines between them. */
const textArbitrary = fc
  .array(
    fc.oneof(
      {
        weight: 4,
        arbitrary: fc
          .tuple(fc.constantFrom(...KEYS), fc.constantFrom(...VALUES))
          .map(([k, v]) => `${k} = ${v}`),
      },
      {
        weight: 3,
        arbitrary: fc.constantFrom(...SECTIONS).map(name => `[${name}]`),
      },
      {weight: 1, arbitrary: fc.string({unit: 'binary', maxLength: 30})},
    ),
    {maxLength: 20},
  )
  .map(lines => ['[config]', 'team = t', '[rule.first]', ...lines].join('\n'));

// The check runs while the stream of configurations is folded, so a text that
// makes it throw would stop every VM that reads the log.
test('no text makes the check of rules throw, and accepted rules can be used', t => {
  const property = fc.property(textArbitrary, fc.webPath(), (text, path) => {
    checkRuleText(text, toTeamId('t'));
    const parsed = parseRuleText(text, 'rules');
    if (!parsed.ok) return parsed.error.length > 0;
    const facts = {
      tenant: toTenantId('a'),
      method: 'GET',
      path,
      headers: {},
      dataCentre: toDataCentreId('d'),
    };
    const decided = resolveRule(compileRules(parsed.value), facts);
    const explained = explainRules(parsed.value, facts).decision;
    return decided?.index === explained?.index;
  });
  t.notThrows(() => fc.assert(property, {seed: SEED, numRuns: RUNS}));
});

test('a canonical path has no dot segments and no double slashes', t => {
  const pathArbitrary = fc
    .array(
      fc.constantFrom(
        '/',
        '..',
        '.',
        '%2e',
        '%2f',
        'a',
        'b',
        '?',
        '#',
        '\\',
        '%',
        '//',
      ),
      {maxLength: 12},
    )
    .map(parts => `/${parts.join('')}`);
  const property = fc.property(pathArbitrary, path => {
    const once = canonicalizePath(path);
    return !/\/\.\.?(\/|$)|\/\//.test(once);
  });
  t.notThrows(() => fc.assert(property, {seed: SEED, numRuns: RUNS}));
});

test('merging random bytes as a histogram is rejected and does not throw', t => {
  const name = Object.keys(HISTOGRAMS)[0] as HistogramName;
  const bytes = fc.uint8Array({maxLength: 60});
  const property = fc.property(bytes, noise => {
    const encoded = Buffer.from(noise).toString('base64');
    const series = [
      {name, tenant: 'a', workClass: 'rollout', encoded} as const,
    ];
    return !new MetricRegistry().merge({series, counters: []}).ok;
  });
  t.notThrows(() => fc.assert(property, {seed: SEED, numRuns: RUNS}));
});
