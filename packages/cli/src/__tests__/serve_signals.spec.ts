import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {NamedPipe} from '@radishyoke/fakes/named_pipe';
import {createLoneVmSettings} from '@radishyoke/fakes/vm_settings';

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
  /** Waits until the log has `text`, or the process is gone. */
  const waitForText = async (text: string) => {
    while (!output.includes(text) && child.exitCode === null) {
      if (child.signalCode !== null) break;
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    return output;
  };
  return {pipe, child, ended, waitForText};
}

// A VM ends without a drain, and the requests in flight with it.
// 1. An operator changes the settings and sends SIGHUP, as to any other daemon.
// 2. The program had no handler for it, at any time.
test('a reload changes nothing but is told', async t => {
  const {pipe, child, ended, waitForText} = startServe(t);
  const write = await pipe.waitForReader();
  child.kill('SIGHUP');
  write(createLoneVmSettings());
  const writeAgain = await pipe.waitForReader();
  writeAgain(createLoneVmSettings({notice: '2ms'}));
  t.regex(await waitForText('settings reloaded'), /wait for the next start/);
  child.kill('SIGTERM');
  t.is(await ended, 0);
});

// A second request to stop cuts off what the drain waits for.
// 1. SIGTERM begins the drain; its handler was for one signal only.
// 2. The next one finds none and ends the process at once.
test('a VM that drains is not ended by another SIGTERM', async t => {
  const {pipe, child, ended, waitForText} = startServe(t);
  const write = await pipe.waitForReader();
  write(createLoneVmSettings({notice: '300ms'}));
  await waitForText('VM ready for callers');
  child.kill('SIGTERM');
  await waitForText('draining');
  child.kill('SIGTERM');
  child.kill('SIGINT');
  t.is(await ended, 0);
});
