import {readFileSync} from 'node:fs';
import test from 'ava';
import {formatProblem} from '@radishyoke/core/rules/config_problem';
import {parseRuleText} from '@radishyoke/core/rules/rule_text';
import {toTenantId} from '@radishyoke/shared/ids';
import {loadSettings, parseSettings} from '../settings.js';

const EXAMPLES = new URL('../../../../../examples/', import.meta.url);

function readExample(name: string): string {
  return readFileSync(new URL(name, EXAMPLES), 'utf8');
}

const TOKEN = `
[token.operator]
team = kodkutu
roles = read, publish
hash = scrypt$14$${'a'.repeat(22)}$${'b'.repeat(43)}
expires = 2027-01-31T00:00:00Z
`;

test('the example settings are valid and defaults are filled in', t => {
  const text = readExample('settings.ini') + TOKEN;
  const parsed = parseSettings(text, 'settings.ini');
  if (!parsed.ok) return t.fail(parsed.error.map(formatProblem).join('\n'));
  t.like(parsed.value, {
    limits: {maxBodyBytes: 16 * 1024 * 1024, maxSamples: 8192},
    leases: {sessionTtlMs: 6000, sessionRenewalMs: 2000},
    tokens: [
      {
        name: 'operator',
        expiresAtMs: Date.UTC(2027, 0, 31),
        roles: ['read', 'publish'],
      },
    ],
  });
  t.is(String(parsed.value.tenants.get(toTenantId('trainer-1'))), 'kodkutu');
});

for (const name of ['rules-kodkutu.ini', 'rules-castellanos.ini']) {
  test(`the example ${name} is valid`, t => {
    const parsed = parseRuleText(readExample(name), name);
    t.true(parsed.ok, parsed.ok ? '' : parsed.error.map(formatProblem).join());
  });
}

interface Mistake {
  readonly name: string;
  readonly from: string | RegExp;
  readonly to: string;
  /** The text that the problem must start with: section, key, expectation. */
  readonly problem: string;
}

const mistakes: readonly Mistake[] = [
  {
    name: 'unknown key',
    from: 'max_body',
    to: 'max_bodies',
    problem: '[limits] max_bodies: expected one of the keys max_header',
  },
  {
    name: 'unknown section',
    from: '[logging]',
    to: '[logs]',
    problem: '[logs]: expected one of [vm]',
  },
  {
    name: 'missing key',
    from: /^id = .*$/m,
    to: '',
    problem: '[vm] id: expected a name of 1 to 100',
  },
  {
    name: 'missing section',
    from: /\[platform\][^[]*/,
    to: '',
    problem: '[platform] log: expected ip:port',
  },
  {
    name: 'wrong type',
    from: '[limits]',
    to: '[limits]\nmax_groups = many',
    problem:
      '[limits] max_groups: expected a whole number from 1 to 100000, found "many"',
  },
  {
    name: 'no unit',
    from: 'max_body = 16MiB',
    to: 'max_body = 16',
    problem: '[limits] max_body: expected a size with a unit',
  },
  {
    name: 'unit of another kind',
    from: 'session_ttl = 6s',
    to: 'session_ttl = 6KiB',
    problem: '[leases] session_ttl: expected a duration with a unit',
  },
  {
    name: 'unit that a prototype has',
    from: 'session_ttl = 6s',
    to: 'session_ttl = 6constructor',
    problem: '[leases] session_ttl: expected a duration',
  },
  {
    name: 'out of range',
    from: 'session_ttl = 6s',
    to: 'session_ttl = 2h',
    problem:
      '[leases] session_ttl: expected a duration with a unit (ms, s, m or h) from 1s to 5m, found "2h"',
  },
  {
    name: 'host name for an IP number',
    from: '127.0.0.1:7201',
    to: 'localhost:7201',
    problem: '[platform] log: expected ip:port',
  },
  {
    name: 'port out of range',
    from: '127.0.0.1:7201',
    to: '127.0.0.1:70000',
    problem: '[platform] log: expected ip:port',
  },
  {
    name: 'octet out of range',
    from: '127.0.0.1:7201',
    to: '127.0.0.256:1',
    problem: '[platform] log: expected ip:port',
  },
  {
    name: 'broken IPv6',
    from: '127.0.0.1:7201',
    to: '[1::2::3]:1',
    problem: '[platform] log: expected ip:port',
  },
  {
    name: 'duplicate key',
    from: 'level = info',
    to: 'level = info\nlevel = warn',
    problem: '[logging] level: expected each key once',
  },
  {
    name: 'duplicate section',
    from: '[logging]',
    to: '[vm]',
    problem: '[vm]: expected each section once',
  },
  {
    name: 'no choice',
    from: 'level = info',
    to: 'level = loud',
    problem: '[logging] level: expected one of debug, info, warn, error',
  },
  {
    name: 'short shared key',
    from: /shared_key = .*/,
    to: 'shared_key = short',
    problem: '[peers] shared_key: expected 16 to 200',
  },
  {
    name: 'renewal too late',
    from: 'session_renewal = 2s',
    to: 'session_renewal = 4s',
    problem: '[leases] session_renewal: expected at most half of session_ttl',
  },
  {
    name: 'one address twice',
    from: '127.0.0.1:7101',
    to: '127.0.0.1:7100',
    problem: '[vm]: expected another address for each listener',
  },
  {
    name: 'no tenants',
    from: /\[tenants\][^[]*/,
    to: '',
    problem: '[tenants]: expected at least one tenant',
  },
  {
    name: 'tenant name',
    from: 'lesson-app = ',
    to: 'lesson app = ',
    problem: '[tenants] lesson app: expected a name',
  },
  {
    name: 'token hash',
    from: 'scrypt$14',
    to: 'md5',
    problem: '[token.operator] hash: expected a hash as printed by',
  },
  {
    name: 'token expiry',
    from: '2027-01-31T00:00:00Z',
    to: 'never',
    problem: '[token.operator] expires: expected a UTC time',
  },
  {
    name: 'token role',
    from: 'read, publish',
    to: 'root',
    problem: '[token.operator] roles: expected 1 to 3 values',
  },
];

for (const {name, from, to, problem} of mistakes) {
  test(`a mistake is reported: ${name}`, t => {
    const valid = readExample('settings.ini') + TOKEN;
    const text = valid.replace(from, to);
    t.not(text, valid);
    const parsed = parseSettings(text, 'vm.ini');
    const lines = parsed.ok ? ['valid'] : parsed.error.map(formatProblem);
    const named = lines.map(line => line.replace(/^vm\.ini(:\d+)?: /, ''));
    t.true(
      named.some(line => line.startsWith(problem)),
      lines.join('\n'),
    );
  });
}

test('an unreadable file is reported as a problem', async t => {
  const loaded = await loadSettings('/nonexistent/vm.ini');
  t.like(loaded, {ok: false, error: [{expected: 'a readable file'}]});
});
