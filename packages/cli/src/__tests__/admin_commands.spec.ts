import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test, {ExecutionContext} from 'ava';
import {request} from 'undici';
import {startStandIns} from '@radishyoke/fakes/stand_ins';
import {silentLogger} from '@radishyoke/daemon/logger';
import {parseSettings, Settings} from '@radishyoke/daemon/settings';
import {Vm} from '@radishyoke/daemon/vm';
import {HEADERS} from '@radishyoke/shared/header';
import {CliRun, examplePath, runInProcess} from './cli_fixture.js';

const POLL_MS = 20;

async function mintSection(name: string, team: string, roles: string) {
  const args = ['token', 'hash', name, '--team', team, '--roles', roles];
  const {out, err} = await runInProcess(args);
  return {section: out, token: err.split('\n')[1]};
}

/** One VM before stand-ins, with a token of the team and one of another. */
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
  const other = await mintSection('stranger', 'castellanos', 'read,publish');
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
  return {run, callers, strangerToken: other.token, drains};
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

function writeRules(name: string, text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), 'radishyoke-')), name);
  writeFileSync(path, text);
  return path;
}

const succeeded = ({code}: CliRun) => code === 0;

test('an operator drives a VM from publication to figures', async t => {
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
  const changed = writeRules('changed.ini', text);
  const dryRun = await run(['rules', 'dry-run', changed, '--json']);
  t.like(JSON.parse(dryRun.out).changed[0], {
    tenant: 'lesson-app',
    before: 'app',
    after: 'others',
  });
  const late = await run(['rules', 'publish', changed, '--based-on', 'none']);
  t.is(late.code, 7, late.err);
  const next = await run(['rules', 'publish', changed, '--based-on', '0']);
  t.is(next.code, 0, next.err);
  t.regex((await run(['rules', 'diff'])).out, /-when\.path_prefix = \/orders/);

  const top = await run(['top']);
  t.regex(top.out, /lesson-app +interactive +duration \(ms\) +[1-9]/);
  t.regex(top.out, /lesson-app +interactive +decisions app +[1-9]/);
  t.is((await run(['top'], strangerToken)).out.includes('lesson-app'), false);

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

test('a VM that can not be reached is told by its exit code', async t => {
  const run = await runInProcess(['status', '--admin', '127.0.0.1:1'], {
    RADISHYOKE_TOKEN: 'a.b',
  });
  t.is(run.code, 6, run.err);
  t.is((await runInProcess(['status'])).code, 2);
});
