import test from 'ava';
import type {EventLogger} from '../../../logger.js';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {RosterChangeLogger} from '../roster_change_logger.js';

function createLog() {
  const lines: Array<readonly [string, unknown]> = [];
  const logger: EventLogger = {
    log: (_level, event, fields) => lines.push([event, fields]),
  };
  const log = new RosterChangeLogger(logger);
  return {
    lines,
    log,
    note(change: 'joined' | 'left' | 'updated', index: number): void {
      log.record(change, {...createEntry(80), id: `e${index}`}, index);
    },
  };
}

test('a few changes have a line each, at the end of the reading', t => {
  const {log, lines, note} = createLog();
  note('joined', 1);
  note('left', 2);
  note('updated', 3);
  t.is(lines.length, 0);
  log.flush();
  log.flush();
  t.deepEqual(
    lines.map(([event]) => event),
    ['endpoint joined', 'endpoint left'],
  );
});

// What happened can not be found among what every VM says of every endpoint.
// 1. All endpoints register as a deployment starts, or leave together.
// 2. Each of hundreds of VMs wrote a line for each of them.
test('many changes at once share a line that names some', t => {
  const {log, lines, note} = createLog();
  for (let i = 0; i < 40; i++) note('joined', i);
  note('left', 50);
  log.flush();
  t.is(lines.length, 2);
  const [event, fields] = lines[0];
  t.is(event, 'endpoints joined');
  t.like(fields, {count: 40, offset: 39});
});
