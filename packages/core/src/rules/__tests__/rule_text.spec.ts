import test from 'ava';
import {formatProblem} from '../config_problem.js';
import {parseRuleText} from '../rule_text.js';

const VALID = `
[config]
team = kodkutu
[rule.10]
when.tenant = trainer-1, trainer-2
when.header.x-kind = lesson
then.group = tutors
then.timeout = 2m
then.idempotent = no
[rule.2]
then.refuse = refused_by_rule ; the rest
`;

test('rules keep the order of the text, even if their names are numbers', t => {
  const parsed = parseRuleText(VALID, 'rules.ini');
  if (!parsed.ok) return t.fail(parsed.error.map(formatProblem).join('\n'));
  t.is(String(parsed.value.team), 'kodkutu');
  t.like(parsed.value.rules, [
    {
      name: '10',
      when: {
        tenant: ['trainer-1', 'trainer-2'],
        headers: {'x-kind': ['lesson']},
      },
      then: {
        kind: 'route',
        group: 'tutors',
        timeoutMs: 120_000,
        maxAttempts: 3,
        idempotent: false,
      },
    },
    {name: '2', then: {kind: 'refuse', error: 'refused_by_rule'}},
  ]);
});

interface Mistake {
  readonly name: string;
  /** Text in the valid configuration that `to` replaces. */
  readonly from: string;
  readonly to: string;
  readonly problem: string;
}

const mistakes: readonly Mistake[] = [
  {
    name: 'unknown key',
    from: 'then.timeout',
    to: 'then.time',
    problem: 'rules.ini:8: [rule.10] then.time: expected one of the keys',
  },
  {
    name: 'value without a unit',
    from: '2m',
    to: '120',
    problem:
      'rules.ini:8: [rule.10] then.timeout: expected a duration with a unit (ms, s, m or h) from 10ms to 1h, found "120"',
  },
  {
    name: 'value out of range',
    from: '2m',
    to: '2h',
    problem: 'rules.ini:8: [rule.10] then.timeout: expected a duration',
  },
  {
    name: 'key twice',
    from: 'then.timeout = 2m',
    to: 'then.group = others',
    problem:
      'rules.ini:8: [rule.10] then.group: expected each key once, found a second one (the first is in line 7)',
  },
  {
    name: 'section twice',
    from: 'rule.2',
    to: 'rule.10',
    problem: 'rules.ini:10: [rule.10]: expected each section once',
  },
  {
    name: 'unknown section',
    from: 'rule.2',
    to: 'rules',
    problem: 'rules.ini:10: [rules]: expected one of [config]',
  },
  {
    name: 'list item twice',
    from: 'trainer-2',
    to: 'trainer-1',
    problem: 'rules.ini:5: [rule.10] when.tenant: expected 1 to 256 values',
  },
  {
    name: 'header in capitals',
    from: 'x-kind',
    to: 'X-Kind',
    problem:
      'rules.ini:6: [rule.10] when.header.X-Kind: expected a header name in lower case',
  },
  {
    name: 'header that is a prototype key',
    from: 'x-kind',
    to: '__proto__',
    problem: 'rules.ini:6: [rule.10] when.header.__proto__: expected a header',
  },
  {
    name: 'no group',
    from: 'then.group = tutors',
    to: '',
    problem: 'rules.ini:4: [rule.10] then.group: expected a group',
  },
  {
    name: 'refusal with an error kind for requests that may have run',
    from: 'refused_by_rule',
    to: 'endpoint_failed',
    problem: 'rules.ini:11: [rule.2] then.refuse: expected one of bad_request',
  },
  {
    name: 'refusal with a group',
    from: 'then.refuse = refused_by_rule',
    to: 'then.refuse = no_rule\nthen.group = x',
    problem: 'rules.ini:12: [rule.2] then.group: expected no other then key',
  },
  {
    name: 'no team',
    from: 'team = kodkutu',
    to: '',
    problem: 'rules.ini:2: [config] team: expected a name',
  },
  {
    name: 'key before any section',
    from: '[config]',
    to: '',
    problem: 'rules.ini:3: team = kodkutu: expected a [section]',
  },
  {
    name: 'line without a value',
    from: 'then.idempotent = no',
    to: 'then.idempotent',
    problem: 'rules.ini:9: [rule.10] then.idempotent: expected key = value',
  },
  {
    name: 'array key',
    from: 'then.idempotent = no',
    to: 'then.idempotent[] = no',
    problem: 'rules.ini:9: [rule.10] then.idempotent[] = no: expected key',
  },
];

for (const {name, from, to, problem} of mistakes) {
  test(`a mistake is reported with its location: ${name}`, t => {
    const parsed = parseRuleText(VALID.replace(from, to), 'rules.ini');
    const lines = parsed.ok ? ['valid'] : parsed.error.map(formatProblem);
    t.true(
      lines.some(line => line.startsWith(problem)),
      lines.join('\n'),
    );
  });
}
