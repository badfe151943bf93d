import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test, {ExecutionContext} from 'ava';
import {request} from 'undici';
import {AuditChain} from '@radishyoke/core/audit/audit_chain';
import type {AuditEntry} from '@radishyoke/core/audit/audit_entry';
import {MetricRegistry} from '@radishyoke/core/metrics/metrics';
import {silentLogger} from '@radishyoke/daemon/logger';
import {parseSettings, Settings} from '@radishyoke/daemon/settings/settings';
import {Vm} from '@radishyoke/daemon/vm';
import {startStandIns} from '@radishyoke/fakes/stand_ins';
import {HEADERS} from '@radishyoke/shared/header';
import {toRequestId, toTeamId, toTenantId} from '@radishyoke/shared/ids';
import {CliRun, examplePath, runInProcess} from './cli_fixture.js';

const POLL_MS = 20;

async function mintSection(name: string, team: string, roles: string) {
  const args = ['token', 'hash', name, '--team', team, '--roles', roles];
  const {out, err} = await runInProcess(args);
  return {section: out, token: err.split('\n')[1]};
}

/** Starts one VM and stand-ins, with one token for each of two teams. */
async function createFixture(t: ExecutionContext) {
  const standIns = await startStandIns({
    model: 'hint-tutor',
    engineGroup: 'tutors',
    serviceGroup: 'app',
    engines: 0,
    services: 1,
    dataCentres: ['gebze-a'],
  });
  const own = await mintSection('operator', 'kodkutu', 'read,publish,audit');
  const other = await mintSection(
    'stranger',
    'castellanos',
    'read,publish,audit',
  );
  const example = readFileSync(examplePath('settings.ini'), 'utf8');
  const text = [example, own.section, other.section].join('\n');
  const parsed = parseSettings(text, 'settings.ini');
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  const drains: number[] = [];
  const vm = new Vm({
    settings: adaptSettings(parsed.value, standIns),
    logger: silentLogger,
    seed: 1,
    requestDrain: () => drains.push(1),
  });
  const callers = await vm.start();
  t.teardown(async () => {
    await vm.stop();
    await standIns.close();
  });
  const run = (args: readonly string[], token = own.token) =>
    runInProcess([...args, '--admin', vm.adminAddress], {
      RADISHYOKE_TOKEN: token,
    });
  return {run, callers, strangerToken: other.token, drains, log: standIns.log};
}

function adaptSettings(
  settings: Settings,
  {log, vmList, weightStore}: Awaited<ReturnType<typeof startStandIns>>,
): Settings {
  return {
    ...settings,
    vm: {
      ...settings.vm,
      callerAddress: '127.0.0.1:0',
      peerAddress: '127.0.0.1:0',
      adminAddress: '127.0.0.1:0',
    },
    platform: {
      ...settings.platform,
      log: log.address,
      vmList: vmList.address,
      weightStore: weightStore.address,
    },
    peers: {...settings.peers, seeds: []},
  };
}

async function waitFor<T>(
  run: () => Promise<T>,
  isDone: (value: T) => boolean,
): Promise<T> {
  for (;;) {
    const value = await run();
    if (isDone(value)) return value;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

function writeTempFile(name: string, text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'radishyoke-')), name);
  writeFileSync(path, text);
  return path;
}

const succeeded = ({code}: CliRun) => code === 0;

test('an operator publishes rules, then reads figures, audits and drains', async t => {
  const {run, callers, strangerToken, drains} = await createFixture(t);
  const rules = examplePath('rules-kodkutu.ini');
  await waitFor(() => run(['rules', 'publish', rules]), succeeded);

  const call = async () => {
    const res = await request(`http://${callers}/lessons/7`, {
      headers: {[HEADERS.tenant]: 'lesson-app'},
    });
    await res.body.dump();
    return {status: res.statusCode, rule: res.headers[HEADERS.rule]};
  };
  const answer = await waitFor(call, ({status}) => status === 200);
  t.is(answer.rule, 'app');

  const status = JSON.parse((await run(['status', '--json'])).out);
  t.like(status, [{vm: 'entry-1', ready: true, log: {configNext: 1}}]);
  t.regex((await run(['endpoints'])).out, /app-1 .*service/);
  t.regex((await run(['rules', 'history'])).out, /operator/);
  t.is((await run(['rules', 'show'])).out, readFileSync(rules, 'utf8'));

  const text = readFileSync(rules, 'utf8').replace('/orders, /lessons', '/x');
  const changed = writeTempFile('changed.ini', text);
  const dryRun = await run(['rules', 'dry-run', changed, '--json']);
  t.like(JSON.parse(dryRun.out).changed[0], {
    tenant: 'lesson-app',
    before: 'app',
    after: 'others',
  });
  const outdated = await run([
    'rules',
    'publish',
    changed,
    '--based-on',
    'none',
  ]);
  t.is(outdated.code, 7, outdated.err);
  const next = await run(['rules', 'publish', changed, '--based-on', '0']);
  t.is(next.code, 0, next.err);
  t.regex((await run(['rules', 'diff'])).out, /-when\.path_prefix = \/orders/);

  const top = await run(['top']);
  t.regex(top.out, /lesson-app +interactive +duration \(ms\) +[1-9]/);
  t.regex(
    top.out,
    /lesson-app +interactive +time_to_first_token \(ms\) +[1-9]/,
  );
  t.regex(top.out, /lesson-app +interactive +decisions app +[1-9]/);
  t.is((await run(['top'], strangerToken)).out.includes('lesson-app'), false);

  const audit = await waitFor(
    () => run(['audit', 'show']),
    ({out}) => out.includes('"kind":"request"'),
  );
  const lines = audit.out.split('\n').map(line => JSON.parse(line));
  t.like(
    lines.find(({kind}) => kind === 'request'),
    {rule: 'app', configVersion: 0, outcome: 'answered', team: 'kodkutu'},
  );
  t.is((await run(['audit', 'show'], strangerToken)).out, '');

  t.is((await run(['rules', 'show'], strangerToken)).code, 1);
  t.is((await run(['drain', 'vm', 'entry-1'], strangerToken)).code, 5);
  t.is((await run(['status'], 'operator.wrong')).code, 5);
  t.is((await run(['drain', 'endpoint', 'app-1'])).code, 0);
  const endpoints = JSON.parse((await run(['endpoints', '--json'])).out);
  t.like(endpoints.endpoints, [{id: 'app-1', state: 'leaving'}]);
  t.is(drains.length, 0);
  t.is((await run(['drain', 'vm', 'entry-1'])).code, 0);
  t.is(drains.length, 1);
});

function createEntry(team: string, id: string): AuditEntry {
  return {
    kind: 'request',
    atMs: 1,
    team: toTeamId(team),
    tenant: toTenantId(`${team}-app`),
    request: toRequestId(id),
    rule: 'app',
    configVersion: 0,
    attempts: [],
    outcome: 'answered',
  };
}

// The requests of two teams are in one chain of blocks. Each team may read only its
// own entries; the platform team may export all of them. Verifying the export must
// detect that an entry was changed afterwards.
test('audit entries are shown by team, exported completely and verified offline', async t => {
  const {run, log, strangerToken} = await createFixture(t);
  const chain = new AuditChain('entry-1/a');
  const blocks = [
    chain.seal([createEntry('kodkutu', 'r1')], []),
    chain.seal([createEntry('castellanos', 'r2')], []),
  ];
  await request(`http://${log.address}/streams/audit/records`, {
    method: 'POST',
    body: JSON.stringify({records: blocks}),
  });
  t.like(JSON.parse((await run(['audit', 'show'])).out), {request: 'r1'});
  t.is((await run(['audit', 'show', '--subject', 'r2'])).out, '');
  const theirs = await run(['audit', 'show'], strangerToken);
  t.like(JSON.parse(theirs.out), {request: 'r2'});
  const exportPath = writeTempFile('audit.jsonl', '');
  const refused = await run(
    ['audit', 'export', '--out', exportPath],
    strangerToken,
  );
  t.is(refused.code, 5);
  t.is((await run(['audit', 'export', '--out', exportPath])).code, 0);
  const verified = await runInProcess(['audit', 'verify', exportPath]);
  t.is(verified.code, 0, verified.out);
  t.regex(verified.out, /2 blocks, 2 entries, 0 faults/);
  const tampered = readFileSync(exportPath, 'utf8').replace(
    '"rule":"app"',
    '"rule":"x"',
  );
  writeFileSync(exportPath, tampered);
  t.is((await runInProcess(['audit', 'verify', exportPath])).code, 8);
});

test('a report is a self-contained page whose data can not break out of its script', async t => {
  const registry = new MetricRegistry();
  registry.recordValue('duration', '</script><b>', 'interactive', 40);
  const timelines = [
    {tenant: '<b>', step: 's', openedMs: 0, arrivalsMs: [500, 1000]},
  ];
  const metrics = registry.encode();
  const line = {delivered: 7, note: '<i>', timelines, metrics};
  const file = writeTempFile('run.jsonl', `text\n${JSON.stringify(line)}\n`);
  const page = `${file}.html`;
  const run = await runInProcess(['report', file, '--out', page]);
  t.is(run.code, 0, run.err);
  const html = readFileSync(page, 'utf8');
  t.true(html.includes('<td>delivered</td><td>7</td>'));
  t.true(html.includes('"data":[[0,1,2,3,4,5,6,7,8,9],[40,40,40'));
  t.false(html.includes('</script><b>') || html.includes('<i>'));
  t.notRegex(html, /(src|href)=/);
  t.regex(html, /timeline=\{"names":\["\\u003cb> s"\],"data":\[\[0,/);
  t.regex(html, /,1,1,2\]\]\}/);
});

test('an unreachable VM gives its own exit code', async t => {
  const run = await runInProcess(['status', '--admin', '127.0.0.1:1'], {
    RADISHYOKE_TOKEN: 'a.b',
  });
  t.is(run.code, 6, run.err);
  t.is((await runInProcess(['status'])).code, 2);
});
