import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {createLoneVmSettings} from '@radishyoke/fakes/vm_settings';
import {runServe} from '../serve.js';

async function listenSomewhere(): Promise<net.Server> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

// An operator starts a VM twice and gets a stack trace, or a process that hangs.
// 1. The administration port is taken; the start throws half way.
// Cause: nobody caught it, and the tasks begun before it went on.
test('a VM whose port is taken says so and ends', async t => {
  const dir = await mkdtemp(path.join(tmpdir(), 'radishyoke-serve-'));
  t.teardown(() => rm(dir, {recursive: true}));
  const taken = await listenSomewhere();
  t.teardown(() => taken.close());
  const {port} = taken.address() as net.AddressInfo;
  const file = path.join(dir, 'settings.ini');
  await writeFile(
    file,
    createLoneVmSettings({adminAddress: `127.0.0.1:${port}`}),
  );
  t.is(await runServe(file), 1);
});

test('settings with a mistake end the process with a code of their own', async t => {
  const dir = await mkdtemp(path.join(tmpdir(), 'radishyoke-serve-'));
  t.teardown(() => rm(dir, {recursive: true}));
  const file = path.join(dir, 'settings.ini');
  await writeFile(file, createLoneVmSettings({adminAddress: 'nowhere'}));
  t.is(await runServe(file), 3);
});
