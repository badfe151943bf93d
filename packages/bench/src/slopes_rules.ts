/** Measures what routing rules cost one VM, per rule. */

import {parseRuleText} from '@radishyoke/core/rules/rule_text';
import {compileRules, resolveRule} from '@radishyoke/core/rules/rule_matcher';
import {toDataCentreId, toTenantId} from '@radishyoke/shared/ids';
import {
  createSlope,
  measureCpuMs,
  measureHeapBytes,
  median,
  Slope,
} from './slope.js';

const RULES = 200;
const LOOKUPS = 20_000;
const REPEATS = 5;

export function* measureRules(): Generator<Slope> {
  const text = createText(RULES);
  yield createSlope('rule_text_bytes', text.length / RULES, 'B');
  const parse = () => {
    const parsed = parseRuleText(text, 'rules');
    if (!parsed.ok) throw new Error(JSON.stringify(parsed.error[0]));
    return compileRules(parsed.value);
  };
  parse();
  const parseMs = median(
    Array.from({length: REPEATS}, () => measureCpuMs(parse)),
  );
  yield createSlope('rule_parse_cpu_ms', parseMs / RULES, 'ms');
  yield createSlope('rule_heap', measureHeapBytes(parse) / RULES, 'B');
  const compiled = parse();
  const lookUp = (index: number) =>
    resolveRule(compiled, {
      tenant: toTenantId(`tenant-${index % RULES}`),
      workClass: 'rollout',
      model: 'hint-tutor',
      method: 'POST',
      path: '/v1/completions',
      headers: {},
      dataCentre: toDataCentreId('gebze-a'),
    });
  const lookUpMs = measureCpuMs(() => {
    for (let i = 0; i < LOOKUPS; i++) lookUp(i);
  });
  yield createSlope('rule_look_up_cpu_ms', lookUpMs / LOOKUPS, 'ms');
}

function createText(rules: number): string {
  const sections = Array.from({length: rules}, (_, i) =>
    [
      `[rule.rollouts-${i}]`,
      `when.tenant = tenant-${i}`,
      'when.class = rollout',
      'when.model = hint-tutor',
      'then.group = tutors',
      'then.class = rollout',
      'then.timeout = 10m',
      'then.max_staleness = 4',
      '',
    ].join('\n'),
  );
  return `[config]\nteam = kodkutu\n\n${sections.join('\n')}`;
}
