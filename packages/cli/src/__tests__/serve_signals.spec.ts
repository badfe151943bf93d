import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {NamedPipe} from '@radishyoke/fakes/named_pipe';

const MAIN = fileURLToPath(new URL('../main.js', import.meta.url));

/** Settings of a VM whose platform is not there. */
function createText(notice: string): string {
  return `[vm]
id = entry-1
data_centre = salto
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
admin_address = 127.0.0.1:0
[platform]
log = 127.0.0.1:1
vm_list = 127.0.0.1:1
weight_store = 127.0.0.1:1
[peers]
shared_key = a-key-for-tests-only
[shutdown]
notice = ${notice}
max_drain = 1s
[tenants]
trainer = growers
`;
}

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
  write(createText('1ms'));
  const writeAgain = await pipe.waitForReader();
  writeAgain(createText('2ms'));
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
  write(createText('300ms'));
  await waitForText('VM ready for callers');
  child.kill('SIGTERM');
  await waitForText('draining');
  child.kill('SIGTERM');
  child.kill('SIGINT');
  t.is(await ended, 0);
});
