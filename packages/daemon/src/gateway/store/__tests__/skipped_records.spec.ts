import test from 'ava';
import type {EventLogger} from '../../../logger.js';
import {GatewayMetrics} from '../../gateway_metrics.js';
import {SkippedRecords} from '../skipped_records.js';

function createSkipped() {
  const lines: string[] = [];
  const logger: EventLogger = {
    log: (_level, event, fields) =>
      lines.push(`${event} ${JSON.stringify(fields)}`),
  };
  const metrics = new GatewayMetrics();
  return {skipped: new SkippedRecords(metrics, logger), metrics, lines};
}

// Guards against a log that is full of the same line because a writer repeats a wrong record.
test('a record that is repeated is counted each time and logged once', t => {
  const {skipped, metrics, lines} = createSkipped();
  for (let offset = 0; offset < 5; offset++) skipped.record('a', offset, 'bad');
  t.is(lines.length, 1);
  t.regex(metrics.render(), /records_skipped_total 5/);
  skipped.record('a', 5, 'worse');
  t.is(lines.length, 2);
  skipped.forget('a');
  skipped.record('a', 6, 'worse');
  t.is(lines.length, 3);
});

test('a key is logged with its characters escaped', t => {
  const {skipped, lines} = createSkipped();
  skipped.record('i-\ufffd\n', 7, 'the key is no id of a worker');
  t.deepEqual(lines, [
    'record skipped {"key":"i-\\\\ufffd\\\\u000a","offset":7,"detail":"the key is no id of a worker"}',
  ]);
});
