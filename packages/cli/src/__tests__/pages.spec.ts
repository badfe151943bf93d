import {execFile} from 'node:child_process';
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import test from 'ava';
import {DemoDeployment} from '@radishyoke/bench/demo_deployment';

const root = fileURLToPath(new URL('../../../..', import.meta.url));
const commandTimeoutMs = 20_000;
/** Matches blocks that run until interrupted, or that would run all of CI again. */
const skipped = /^\s*(npm |bash \.ci|npx radishyoke demo --hold)/;
const pages = ['docs/API.md', 'docs/OPERATIONS.md'];

/** Returns the shell blocks of a page, each as one script. */
async function readBlocks(page: string): Promise<readonly string[]> {
  const text = await readFile(path.join(root, page), 'utf8');
  const blocks = [...text.matchAll(/^ *```sh\n([\s\S]*?)^ *```/gm)];
  return blocks.map(match => match[1]).filter(block => !skipped.test(block));
}

// Guards against commands in the pages that fail for a reader because a flag was
// renamed or an example file moved.
test('every command in the pages runs as written', async t => {
  t.timeout(commandTimeoutMs * pages.length);
  const deployment = new DemoDeployment();
  await deployment.start();
  t.teardown(() => deployment.close());
  const outDir = await mkdtemp(path.join(tmpdir(), 'radishyoke-pages-'));
  t.teardown(() => rm(outDir, {recursive: true}));
  const env = {
    ...process.env,
    RADISHYOKE_ADMIN: deployment.vms.map(vm => vm.adminAddress).join(','),
    RADISHYOKE_TOKEN: deployment.token,
  };
  const cli = `node ${path.join(root, 'packages/cli/dist/main.js')}`;
  let blocks = 0;
  for (const page of pages) {
    for (const block of await readBlocks(page)) {
      const script = block
        .replaceAll('http://127.0.0.1:7100', deployment.origins[0])
        .replaceAll('npx radishyoke', cli)
        .replaceAll(/curl -s(N?)/g, 'curl -sS$1 --fail-with-body --max-time 15')
        .replaceAll('radishyoke-day.html', path.join(outDir, 'day.html'))
        .replaceAll('audit-export.jsonl', path.join(outDir, 'export.jsonl'));
      const run = promisify(execFile)('bash', ['-e', '-c', script], {
        cwd: root,
        env,
        timeout: commandTimeoutMs,
      });
      await t.notThrowsAsync(run, `${page}: ${block}`);
      blocks++;
    }
  }
  t.true(blocks >= 8);
});
