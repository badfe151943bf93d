import test from 'ava';
import {examplePath, runInProcess} from './cli_fixture.js';

const RULES = examplePath('rules-kodkutu.ini');
const SETTINGS = examplePath('settings.ini');

interface CliCase {
  readonly name: string;
  readonly args: readonly string[];
  readonly code: number;
  /** Must appear in what is written to either stream. */
  readonly says: string;
}

const cases: readonly CliCase[] = [
  {name: 'valid rules', args: ['check', RULES], code: 0, says: 'valid rules'},
  {
    name: 'valid settings',
    args: ['check', SETTINGS],
    code: 0,
    says: 'valid settings',
  },
  {
    name: 'a missing file',
    args: ['check', '/nonexistent'],
    code: 3,
    says: 'a readable file',
  },
  {
    name: 'serving with rules in place of settings',
    args: ['serve', RULES],
    code: 3,
    says: '',
  },
  {
    name: 'an unknown command',
    args: ['frob'],
    code: 2,
    says: 'unknown command frob',
  },
  {
    name: 'an unknown option',
    args: ['check', RULES, '--frob'],
    code: 2,
    says: '--frob',
  },
  {
    name: 'a missing argument',
    args: ['check'],
    code: 2,
    says: 'missing required args',
  },
  {name: 'a missing tenant', args: ['explain', RULES], code: 2, says: 'tenant'},
  {
    name: 'a request that is no JSON',
    args: ['explain', RULES, '--request', '{'],
    code: 2,
    says: '--request wants a JSON object',
  },
  {
    name: 'a class that is none',
    args: ['explain', RULES, '--tenant', 'x', '--class', 'batch'],
    code: 2,
    says: 'workClass',
  },
  {
    name: 'settings in place of rules',
    args: ['explain', SETTINGS, '--tenant', 'x'],
    code: 3,
    says: '[vm]',
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
    says: 'match [rule.place-order]: route to app',
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
    says: 'skip  [rule.place-order]: when.path_prefix wants /orders, the request has /v1',
  },
  {
    name: 'a refusal',
    args: ['explain', RULES, '--tenant', '007', '--json'],
    code: 0,
    says: '"found":"007"',
  },
  {
    name: 'bash completion',
    args: ['completion', 'bash'],
    code: 0,
    says: 'explain) words="--request',
  },
  {
    name: 'another shell',
    args: ['completion', 'fish'],
    code: 2,
    says: 'only bash',
  },
];

for (const {name, args, code, says} of cases) {
  test(`the command line answers ${name}`, async t => {
    const run = await runInProcess(args);
    t.is(run.code, code as typeof run.code, run.err);
    t.true(`${run.out}\n${run.err}`.includes(says), `${run.out}\n${run.err}`);
  });
}
