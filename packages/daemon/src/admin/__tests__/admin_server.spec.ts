import test from 'ava';
import {request} from 'undici';
import {TeamId, toTenantId} from '@radishyoke/shared/ids';
import {Authenticator} from '../admin_auth.js';
import {AdminAccess, AdminServer} from '../admin_server.js';
import {hashToken, mintToken} from '../admin_token.js';
import type {Role, TokenSettings} from '../../settings/settings.js';
import {
  CASTELLANOS,
  createRules,
  FakeAdminBackend,
  KODKUTU,
} from './fake_admin_backend.js';

const FAR_FUTURE_MS = Date.UTC(2100, 0);

interface TokenHolder {
  readonly name: string;
  readonly team: TeamId;
  readonly roles: readonly Role[];
  readonly expiresAtMs?: number;
}

const HOLDERS: readonly TokenHolder[] = [
  {name: 'reader', team: KODKUTU, roles: ['read']},
  {name: 'publisher', team: KODKUTU, roles: ['publish']},
  {name: 'auditor', team: KODKUTU, roles: ['audit']},
  {name: 'former', team: KODKUTU, roles: ['read'], expiresAtMs: 1},
  {name: 'neighbour', team: CASTELLANOS, roles: ['read', 'publish', 'audit']},
];

async function createTokens() {
  const secrets = new Map<string, string>();
  const tokens: TokenSettings[] = [];
  for (const {name, team, roles, expiresAtMs = FAR_FUTURE_MS} of HOLDERS) {
    const token = mintToken(name);
    secrets.set(name, token);
    tokens.push({name, team, roles, expiresAtMs, hash: await hashToken(token)});
  }
  return {secrets, tokens};
}

const {secrets, tokens} = await createTokens();

async function createFixture() {
  const backend = new FakeAdminBackend();
  const accesses: AdminAccess[] = [];
  const tenants = new Map([
    [toTenantId('lesson-app'), KODKUTU],
    [toTenantId('crop-trainer'), CASTELLANOS],
  ]);
  const server = new AdminServer(
    backend,
    {tokens, tenants, admin: {platformTeam: KODKUTU}},
    access => accesses.push(access),
  );
  const address = await server.listen('127.0.0.1:0');
  const call = async (
    authorization: string | undefined,
    path: string,
    body?: unknown,
  ) => {
    const res = await request(`http://${address}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: authorization === undefined ? {} : {authorization},
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return {status: res.statusCode, text: await res.body.text()};
  };
  const bearer = (name: string) => `Bearer ${secrets.get(name)}`;
  return {server, backend, accesses, call, bearer};
}

interface CredentialCase {
  readonly name: string;
  readonly authorization: (
    bearer: (name: string) => string,
  ) => string | undefined;
  /** Status of: steps, dry run, publication, drain, audit, metrics. */
  readonly statuses: readonly [number, number, number, number, number, number];
}

const credentialCases: readonly CredentialCase[] = [
  {
    name: 'none',
    authorization: () => undefined,
    statuses: [401, 401, 401, 401, 401, 401],
  },
  {
    name: 'no token in it',
    authorization: () => 'Bearer ',
    statuses: [401, 401, 401, 401, 401, 401],
  },
  {
    name: 'another scheme',
    authorization: () => 'Basic cmVhZGVyOng=',
    statuses: [401, 401, 401, 401, 401, 401],
  },
  {
    name: 'an unknown name',
    authorization: () => 'Bearer nobody.x',
    statuses: [401, 401, 401, 401, 401, 401],
  },
  {
    name: 'a name of a prototype',
    authorization: () => 'Bearer constructor.x',
    statuses: [401, 401, 401, 401, 401, 401],
  },
  {
    name: 'a wrong secret',
    authorization: b => `${b('reader')}x`,
    statuses: [401, 401, 401, 401, 401, 401],
  },
  {
    name: "another holder's secret",
    authorization: b => b('neighbour').replace('neighbour', 'reader'),
    statuses: [401, 401, 401, 401, 401, 401],
  },
  {
    name: 'an expired one',
    authorization: b => b('former'),
    statuses: [401, 401, 401, 401, 401, 401],
  },
  {
    name: 'a reader',
    authorization: b => b('reader'),
    statuses: [200, 200, 403, 403, 403, 200],
  },
  {
    name: 'a publisher',
    authorization: b => b('publisher'),
    statuses: [403, 403, 200, 200, 403, 403],
  },
  {
    name: 'an auditor',
    authorization: b => b('auditor'),
    statuses: [403, 403, 403, 403, 200, 403],
  },
  {
    name: "another team's with all roles",
    authorization: b => b('neighbour'),
    statuses: [200, 422, 422, 403, 200, 200],
  },
];

for (const {name, authorization, statuses} of credentialCases) {
  test(`credentials: ${name}`, async t => {
    const {server, backend, call, bearer, accesses} = await createFixture();
    t.teardown(() => server.close());
    const header = authorization(bearer);
    const text = createRules('kodkutu', 'app');
    const answers = [
      await call(header, '/admin/v1/steps'),
      await call(header, '/admin/v1/rules/dry-run', {text}),
      await call(header, '/admin/v1/rules', {basedOn: -1, text}),
      await call(header, '/admin/v1/drain', {kind: 'vm', id: 'entry-2'}),
      await call(header, '/admin/v1/audit'),
      await call(header, '/metrics'),
    ];
    t.deepEqual(
      answers.map(({status}) => status),
      [...statuses],
    );
    const own = name.startsWith('another team') ? 'crop-trainer' : 'lesson-app';
    const foreign = own === 'lesson-app' ? 'crop-trainer' : 'lesson-app';
    for (const {text: body} of answers) t.false(body.includes(foreign), body);
    t.is(answers[0].text.includes(own), statuses[0] === 200);
    t.is(backend.drained.length, statuses[3] === 200 ? 1 : 0);
    t.is(backend.listVersions(KODKUTU).length, statuses[2] === 200 ? 1 : 0);
    t.is(accesses.length, answers.length);
  });
}

// Guards against restoring old rules by replaying a captured publication. After
// versions A and B are published, the request that published A is sent again.
// Its token is still valid; only its `basedOn` version is outdated.
test('a replayed publication changes nothing', async t => {
  const {server, backend, call, bearer} = await createFixture();
  t.teardown(() => server.close());
  const publish = (basedOn: number, group: string) =>
    call(bearer('publisher'), '/admin/v1/rules', {
      basedOn,
      text: createRules('kodkutu', group),
    });
  t.is((await publish(-1, 'a')).status, 200);
  t.is((await publish(0, 'b')).status, 200);
  const replayed = await publish(-1, 'a');
  t.is(replayed.status, 409);
  t.like(JSON.parse(replayed.text), {error: 'config_conflict', ran: 'no'});
  t.regex(backend.listVersions(KODKUTU).at(-1)!.text, /group = b/);
});

test('the access log has only known token names and no secrets', async t => {
  const {server, call, bearer, accesses} = await createFixture();
  t.teardown(() => server.close());
  await call(`${bearer('reader')}x`, '/admin/v1/steps?token=abc');
  await call('Bearer made-up-name.secret', '/admin/v1/steps');
  await call(bearer('reader'), '/admin/v1/steps');
  t.like(accesses, [
    {tokenName: 'reader', team: undefined, outcome: 'unauthorized'},
    {tokenName: undefined, outcome: 'unauthorized'},
    {tokenName: 'reader', team: KODKUTU, outcome: 'granted'},
  ]);
  const logged = JSON.stringify(accesses);
  const parts = [...secrets.values()].map(token => token.split('.')[1]);
  for (const part of [...parts, 'abc', 'made-up'])
    t.false(logged.includes(part));
});

test('rules can be read, listed, compared and dry-run', async t => {
  const {server, call, bearer} = await createFixture();
  t.teardown(() => server.close());
  for (const [basedOn, group] of [
    [-1, 'a'],
    [0, 'b'],
  ] as const) {
    const text = createRules('kodkutu', group);
    await call(bearer('publisher'), '/admin/v1/rules', {basedOn, text});
  }
  const read = async (path: string, body?: unknown) =>
    JSON.parse((await call(bearer('reader'), path, body)).text);
  t.like(await read('/admin/v1/rules'), {version: 1, author: 'publisher'});
  t.like(await read('/admin/v1/rules?version=0'), {version: 0, basedOn: -1});
  t.is((await read('/admin/v1/rules/history')).versions.length, 2);
  const {patch} = await read('/admin/v1/rules/diff');
  t.regex(patch, /-then\.group = a\n\+then\.group = b/);
  const text = createRules('kodkutu', 'c');
  t.like(await read('/admin/v1/rules/dry-run', {text}), {
    requests: 1,
    changed: [{tenant: 'lesson-app', before: 'all', after: 'all', requests: 1}],
  });
  t.like(await read('/admin/v1/rules?version=9'), {error: 'not_found'});
});

interface BadInput {
  readonly name: string;
  readonly path: string;
  readonly body: unknown;
  readonly error: string;
}

const badInputs: readonly BadInput[] = [
  {
    name: 'an unknown path',
    path: '/admin/v1/nothing',
    body: undefined,
    error: 'not_found',
  },
  {
    name: 'a path that is no URL',
    path: '//',
    body: undefined,
    error: 'not_found',
  },
  {
    name: 'a schema of a prototype',
    path: '/admin/v1/schemas/constructor',
    body: undefined,
    error: 'not_found',
  },
  {
    name: 'a body with another key',
    path: '/admin/v1/rules',
    body: {basedOn: -1, text: '', force: true},
    error: 'bad_request',
  },
  {
    name: 'a body that is a list',
    path: '/admin/v1/rules',
    body: [],
    error: 'bad_request',
  },
  {
    name: 'rules that are not valid',
    path: '/admin/v1/rules',
    body: {basedOn: -1, text: '[rule.x]'},
    error: 'config_invalid',
  },
  {
    name: 'an endpoint group defined by a team other than the platform team',
    path: '/admin/v1/rules',
    body: {
      basedOn: -1,
      text: `${createRules('castellanos', 'a')}[group.a]\nendpoints = app-1\n`,
    },
    error: 'config_invalid',
  },
  {
    name: 'a body over the limit',
    path: '/admin/v1/rules',
    body: {basedOn: -1, text: 'x'.repeat(600_000)},
    error: 'too_large',
  },
];

for (const {name, path, body, error} of badInputs) {
  test(`bad input: ${name}`, async t => {
    const {server, call, bearer} = await createFixture();
    t.teardown(() => server.close());
    const answer = await call(bearer('neighbour'), path, body);
    t.like(JSON.parse(answer.text), {error, ran: 'no'});
  });
}

test('each answer has a JSON schema', async t => {
  const {server, call, bearer} = await createFixture();
  t.teardown(() => server.close());
  const answer = await call(bearer('reader'), '/admin/v1/schemas/steps');
  t.like(JSON.parse(answer.text), {type: 'object', required: ['steps']});
});

test('a flood of wrong tokens is refused rather than hashed', async t => {
  const authenticator = new Authenticator(tokens);
  const flood = Array.from({length: 60}, (_, i) =>
    authenticator.authenticate(`Bearer a${i}.x`, 0),
  );
  const results = await Promise.all(flood);
  const count = (kind: string) =>
    results.filter(result => !result.ok && result.error.kind === kind).length;
  t.deepEqual([count('unauthorized'), count('overloaded')], [34, 26]);
});
