import {spawn} from 'node:child_process';
import {once} from 'node:events';
import test from 'ava';

const MODULE = new URL('../child_processes.js', import.meta.url).href;

/** A process that starts one that would run for ever, and says so; both hold its output open. */
const PARENT = `
  import {spawn} from 'node:child_process';
  import {endWithParent} from '${MODULE}';
  const args = ['-e', 'setInterval(() => {}, 1000)'];
  endWithParent(spawn(process.execPath, args, {stdio: 'inherit'}));
  process.stdout.write('started');
`;

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

// VMs of a soak go on for hours after it was interrupted.
// 1. A command starts processes; a signal ends it in the middle.
// 2. Nobody ends its children: by default they outlive it.
for (const signal of SIGNALS) {
  test(`children end with a parent that gets ${signal}`, async t => {
    const args = ['--input-type=module', '-e', PARENT];
    const parent = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    await once(parent.stdout, 'data');
    const closed = once(parent.stdout, 'close');
    parent.kill(signal);
    const [code] = await once(parent, 'exit');
    t.true(code > 128);
    // It closes when the last process that can write to it is gone.
    await closed;
  });
}
