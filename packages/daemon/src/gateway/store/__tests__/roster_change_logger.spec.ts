import test from 'ava';
import type {EventLogger} from '../../../logger.js';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {RosterChangeLogger} from '../roster_change_logger.js';

function createChangeLogger() {
  const lines: Array<readonly [string, unknown]> = [];
  const logger: EventLogger = {
    log: (_level, event, fields) => lines.push([event, fields]),
  };
  const changeLogger = new RosterChangeLogger(logger);
  return {
    lines,
    changeLogger,
    record(change: 'joined' | 'left' | 'updated', index: number): void {
      changeLogger.record(change, {...createEntry(80), id: `e${index}`}, index);
    },
  };
}

test('a few changes have a line each when the read ends', t => {
  const {changeLogger, lines, record} = createChangeLogger();
  record('joined', 1);
  record('left', 2);
  record('updated', 3);
  t.is(lines.length, 0);
  changeLogger.flush();
  changeLogger.flush();
  t.deepEqual(
    lines.map(([event]) => event),
    ['endpoint joined', 'endpoint left'],
  );
});

// Guards against logs flooded by hundreds of VMs that each write a line per endpoint when
// all endpoints join at the start of a deployment or leave together.
test('many changes at once share one line', t => {
  const {changeLogger, lines, record} = createChangeLogger();
  for (let i = 0; i < 40; i++) record('joined', i);
  record('left', 50);
  changeLogger.flush();
  t.is(lines.length, 2);
  const [event, fields] = lines[0];
  t.is(event, 'endpoints joined');
  t.like(fields, {count: 40, offset: 39});
});
