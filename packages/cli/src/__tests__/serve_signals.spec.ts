import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {NamedPipe} from '@radishyoke/fakes/named_pipe';
import {createSingleVmSettings} from '@radishyoke/fakes/vm_settings';

const MAIN = fileURLToPath(new URL('../main.js', import.meta.url));

function startServe(t: ExecutionContext) {
  const pipe = new NamedPipe();
  const child = spawn(process.execPath, [MAIN, 'serve', pipe.path], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = new Promise<number | string | null>(resolve =>
    child.once('exit', (code, signal) => resolve(signal ?? code)),
  );
  t.teardown(() => child.kill('SIGKILL'));
  t.teardown(() => pipe.remove());
  let output = '';
  child.stdout.setEncoding('utf8').on('data', text => (output += text));
  /** Waits until the log contains `text` or the process has exited; returns the log. */
  const waitForText = async (text: string) => {
    while (!output.includes(text) && child.exitCode === null) {
      if (child.signalCode !== null) break;
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    return output;
  };
  return {pipe, child, ended, waitForText};
}

// Guards against SIGHUP ending a VM without a drain, which fails its requests in
// flight: an operator changes the settings and sends SIGHUP, as to other daemons.
test('SIGHUP logs the changed settings and does not end the VM', async t => {
  const {pipe, child, ended, waitForText} = startServe(t);
  const write = await pipe.waitForReader();
  child.kill('SIGHUP');
  write(createSingleVmSettings());
  const writeAgain = await pipe.waitForReader();
  writeAgain(createSingleVmSettings({notice: '2ms'}));
  t.regex(await waitForText('settings reloaded'), /wait for the next start/);
  child.kill('SIGTERM');
  t.is(await ended, 0);
});

// Guards against a second signal ending the drain early: if the handler were
// installed for one signal only, the next one would end the process immediately.
test('a draining VM is not ended by another SIGTERM or SIGINT', async t => {
  const {pipe, child, ended, waitForText} = startServe(t);
  const write = await pipe.waitForReader();
  write(createSingleVmSettings({notice: '300ms'}));
  await waitForText('VM ready for callers');
  child.kill('SIGTERM');
  await waitForText('draining');
  child.kill('SIGTERM');
  child.kill('SIGINT');
  t.is(await ended, 0);
});
