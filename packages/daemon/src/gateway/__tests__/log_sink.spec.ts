import {closeSync, openSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {createLogger} from '../../logger.js';
import {LogSink} from '../log_sink.js';

function createSink(t: ExecutionContext) {
  const file = path.join(tmpdir(), `log-sink-${process.pid}-${t.title.length}`);
  const fd = openSync(file, 'w');
  t.teardown(() => {
    closeSync(fd);
    rmSync(file);
  });
  const readLines = () => readFileSync(file, 'utf8').trim().split('\n');
  const sink = new LogSink(fd);
  const logger = createLogger('info', {vm: 'vm-0'}, sink.write);
  sink.setDropReporter(dropped =>
    logger.log('warn', 'log lines dropped', {dropped}),
  );
  return {sink, readLines};
}

// Guards against the loss of a process's last lines, which explain why it ended:
// they are logged during a write, and a flush that waits for that write only
// resolves before they are written.
test('a flush also writes the lines that were added during a write', async t => {
  const {sink, readLines} = createSink(t);
  sink.write('first');
  const writing = sink.flush();
  sink.write('last');
  await Promise.all([writing, sink.flush()]);
  t.deepEqual(readLines(), ['first', 'last']);
});

// Guards against a VM that runs out of memory or blocks when nobody reads its log.
// The log must show which VM dropped lines, and when.
test('lines beyond the limit are dropped and counted', async t => {
  const {sink, readLines} = createSink(t);
  const long = 'x'.repeat(100 * 1024);
  for (let i = 0; i < 8; i++) sink.write(long);
  await sink.flush();
  const lines = readLines();
  t.is(lines.length, 6);
  const line = JSON.parse(lines[5]);
  t.like(line, {
    message: 'log lines dropped',
    context: {vm: 'vm-0', dropped: 3},
  });
  t.true(Number.isInteger(line.time));
});
