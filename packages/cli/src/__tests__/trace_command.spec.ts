import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {examplePath, runInProcess} from './cli_fixture.js';

/** Creates a log line in the format of a VM. */
function createLine(
  vm: string,
  time: number,
  message: string,
  fields: Readonly<Record<string, unknown>>,
): string {
  return JSON.stringify({context: {vm, ...fields}, message, time});
}

const LOG = [
  createLine('edge-a-2', 1000, 'request', {requestId: 'other'}),
  createLine('edge-a-2', 1391, 'attempt failed', {
    requestId: 'cc27',
    endpoint: 'i-2cb',
    detail: 'status 504',
  }),
  createLine('edge-a-2', 1392, 'request', {requestId: 'cc27', outcome: '504'}),
  'a line of something else',
].join('\n');

test('trace prints the path of an id with the reason for each event', async t => {
  const {code, out} = await runInProcess(['trace', 'cc27'], {}, LOG);
  t.is(code, 0);
  const [heading, first, second, ...more] = out.split('\n');
  t.regex(heading, /^s +vm +event +why$/);
  t.regex(first, /^0\.000 +\* +edge-a-2 +attempt failed +.*detail=status 504$/);
  t.regex(second, /^0\.001 +\* +edge-a-2 +request +.*outcome=504$/);
  t.deepEqual(more, []);
});

test('trace prints JSON lines with --json', async t => {
  const {out} = await runInProcess(['trace', 'cc27', '--json'], {}, LOG);
  const [first] = out.split('\n').map(line => JSON.parse(line));
  t.like(first, {
    atMs: 1391,
    role: 'subject',
    vm: 'edge-a-2',
    event: 'attempt failed',
    endpoint: 'i-2cb',
  });
});

test('trace reports an id that no line names, and a file that can not be read', async t => {
  const missingId = await runInProcess(['trace', 'unheard'], {}, LOG);
  t.is(missingId.code, 1);
  t.regex(missingId.err, /no line of 3 names unheard/);
  const missing = await runInProcess(['trace', 'x', '/nowhere/at-all.log']);
  t.is(missing.code, 2);
  t.regex(missing.err, /can not be read/);
});

test('report draws a day from logs', async t => {
  const folder = await mkdtemp(path.join(tmpdir(), 'radishyoke-day-'));
  t.teardown(() => rm(folder, {recursive: true}));
  const page = path.join(folder, 'day.html');
  const log = examplePath('logs/late-item.log');
  const {code} = await runInProcess(['report', log, '--out', page]);
  t.is(code, 0);
  const html = await readFile(page, 'utf8');
  t.regex(html, /1 batches, 1 of them over 7500 ms; 2 loads/);
  t.regex(html, /<rect [^>]*fill="#c2185b"/);
  t.notRegex(html, /<script/);
});
