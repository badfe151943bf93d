import {spawn} from 'node:child_process';
import {once} from 'node:events';
import test from 'ava';

const MODULE = new URL('../child_processes.js', import.meta.url).href;

/**
 * Source of a process that starts a child that never ends by itself, then writes
 * `started`. The child inherits its output, so both hold it open.
 */
const PARENT = `
  import {spawn} from 'node:child_process';
  import {endWithParent} from '${MODULE}';
  const args = ['-e', 'setInterval(() => {}, 1000)'];
  endWithParent(spawn(process.execPath, args, {stdio: 'inherit'}));
  process.stdout.write('started');
`;

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

// Guards against VMs that run for hours after their soak was interrupted: when a
// signal ends a process, Node.js leaves its children running by default.
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
    // The pipe closes once all processes that can write to it have ended.
    await closed;
  });
}
