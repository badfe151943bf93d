import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {createSingleVmSettings} from '@radishyoke/fakes/vm_settings';
import {runServe} from '../serve.js';

async function listenOnFreePort(): Promise<net.Server> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

// Guards against a stack trace or a hanging process when a VM is started twice.
// The administration port is in use, so the start throws. If the error is not
// caught, the tasks that were started before it keep running.
test('a VM whose port is in use exits with the failure code', async t => {
  const dir = await mkdtemp(path.join(tmpdir(), 'radishyoke-serve-'));
  t.teardown(() => rm(dir, {recursive: true}));
  const otherServer = await listenOnFreePort();
  t.teardown(() => otherServer.close());
  const {port} = otherServer.address() as net.AddressInfo;
  const file = path.join(dir, 'settings.ini');
  await writeFile(
    file,
    createSingleVmSettings({adminAddress: `127.0.0.1:${port}`}),
  );
  t.is(await runServe(file), 1);
});

test('invalid settings end the process with an exit code of their own', async t => {
  const dir = await mkdtemp(path.join(tmpdir(), 'radishyoke-serve-'));
  t.teardown(() => rm(dir, {recursive: true}));
  const file = path.join(dir, 'settings.ini');
  await writeFile(file, createSingleVmSettings({adminAddress: 'nowhere'}));
  t.is(await runServe(file), 3);
});
