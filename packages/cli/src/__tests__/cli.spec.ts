import test from 'ava';
import {examplePath, runInProcess} from './cli_fixture.js';

const RULES = examplePath('rules-kodkutu.ini');
const SETTINGS = examplePath('settings.ini');

interface CliCase {
  readonly name: string;
  readonly args: readonly string[];
  readonly code: number;
  /** Must appear on the standard output or the standard error. */
  readonly expectedText: string;
}

const cases: readonly CliCase[] = [
  {
    name: 'valid rules',
    args: ['check', RULES],
    code: 0,
    expectedText: 'valid rules',
  },
  {
    name: 'valid settings',
    args: ['check', SETTINGS],
    code: 0,
    expectedText: 'valid settings',
  },
  {
    name: 'a missing file',
    args: ['check', '/nonexistent'],
    code: 3,
    expectedText: 'a readable file',
  },
  {
    name: 'serving with rules in place of settings',
    args: ['serve', RULES],
    code: 3,
    expectedText: '',
  },
  {
    name: 'an unknown command',
    args: ['frob'],
    code: 2,
    expectedText: 'unknown command frob',
  },
  {
    name: 'an unknown option',
    args: ['check', RULES, '--frob'],
    code: 2,
    expectedText: '--frob',
  },
  {
    name: 'a missing argument',
    args: ['check'],
    code: 2,
    expectedText: 'missing required args',
  },
  {
    name: 'a missing tenant',
    args: ['explain', RULES],
    code: 2,
    expectedText: 'tenant',
  },
  {
    name: 'a request that is not JSON',
    args: ['explain', RULES, '--request', '{'],
    code: 2,
    expectedText: '--request wants a JSON object',
  },
  {
    name: 'an unknown work class',
    args: ['explain', RULES, '--tenant', 'x', '--class', 'batch'],
    code: 2,
    expectedText: 'workClass',
  },
  {
    name: 'settings in place of rules',
    args: ['explain', SETTINGS, '--tenant', 'x'],
    code: 3,
    expectedText: '[vm]',
  },
  {
    name: 'the rule for an order',
    args: [
      'explain',
      RULES,
      '--tenant',
      'lesson-app',
      '--method',
      'post',
      '--path',
      '/orders/7',
    ],
    code: 0,
    expectedText: 'match [rule.place-order]: route to app',
  },
  {
    name: 'why earlier rules do not match',
    args: [
      'explain',
      RULES,
      '--request',
      '{"tenant":"lesson-app","model":"hint-tutor","method":"POST","path":"/v1"}',
    ],
    code: 0,
    expectedText:
      'skip  [rule.place-order]: when.path_prefix wants /orders, the request has /v1',
  },
  {
    name: 'a refusal',
    args: ['explain', RULES, '--tenant', '007', '--json'],
    code: 0,
    expectedText: '"found":"007"',
  },
  {
    name: 'bash completion',
    args: ['completion', 'bash'],
    code: 0,
    expectedText: 'explain) words="--request',
  },
  {
    name: 'another shell',
    args: ['completion', 'fish'],
    code: 2,
    expectedText: 'only bash',
  },
];

for (const {name, args, code, expectedText} of cases) {
  test(`the command line handles ${name}`, async t => {
    const run = await runInProcess(args);
    t.is(run.code, code as typeof run.code, run.err);
    t.true(
      `${run.out}\n${run.err}`.includes(expectedText),
      `${run.out}\n${run.err}`,
    );
  });
}
