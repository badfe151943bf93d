import test from 'ava';
import {alignClocks} from '../clock_alignment.js';
import {parseTraceLine, type TraceLine} from '../trace_line.js';
import {tracePath} from '../trace_path.js';

function createLine(
  vm: string,
  timeMs: number,
  event: string,
  fields: TraceLine['fields'] = {},
): TraceLine {
  return {vm, timeMs, event, fields, sequence: 0};
}

/**
 * Creates the lines of an item that moves between endpoints, logged by two VMs;
 * the clock of `b` is 700 ms ahead.
 */
function createItemLog(): readonly TraceLine[] {
  const run = {requestId: 'item', batch: 'batch-1', endpoint: 'e1'};
  return [
    createLine('a', 1000, 'configuration in force', {configVersion: 3}),
    createLine('a', 1100, 'weights named', {model: 'm', version: 2}),
    createLine('a', 2000, 'batch accepted', {requestId: 'batch-1', model: 'm'}),
    createLine('a', 9000, 'batch end', {requestId: 'batch-1'}),
    createLine('a', 2300, 'request', {requestId: 'other'}),
    createLine('b', 1702, 'configuration in force', {configVersion: 3}),
    createLine('b', 1799, 'weights named', {model: 'm', version: 2}),
    createLine('b', 1900, 'coordinator now', {fencingToken: 7}),
    createLine('b', 2705, 'run started', {...run, reason: 'first'}),
    createLine('b', 3500, 'endpoint left', {endpoint: 'e1', offset: 9}),
    createLine('b', 3501, 'endpoint left', {endpoint: 'e9', offset: 10}),
    createLine('b', 3600, 'run stopped', {...run, reason: 'engine_silent'}),
    createLine('b', 3601, 'run started', {...run, endpoint: 'e2'}),
    createLine('b', 3601, 'item has a result', {
      requestId: 'item',
      batch: 'batch-1',
    }),
  ];
}

test('a line is parsed whatever prefix a collector put before it', t => {
  const json = JSON.stringify({
    context: {vm: 'a', requestId: 'x', logLevel: 30},
    message: 'request',
    sequence: '4',
    time: 12,
  });
  const expected = {
    vm: 'a',
    sequence: 4,
    timeMs: 12,
    event: 'request',
    fields: {requestId: 'x'},
  };
  t.deepEqual(parseTraceLine(`  3.25 edge-1 ${json}`), expected);
  for (const text of ['', 'no object', '{', '{"message":"x"}', '[1]']) {
    t.is(parseTraceLine(text), undefined);
  }
});

// Guards against an impossible order of lines: if the clocks of the VM that
// accepted a batch and the VM that runs its items differ, sorting the lines by
// their own times can show an item that runs before its batch was accepted.
test('clocks are aligned by facts that all VMs log at nearly the same time', t => {
  const offsets = alignClocks(createItemLog());
  t.true(Math.abs(offsets.get('a')! - offsets.get('b')! - 700) <= 5);
});

test('the path of an item contains its batch, its moves and their context', t => {
  const path = tracePath(createItemLog(), 'item');
  t.deepEqual(
    path.map(({line, role}) => [line.event, role]),
    [
      ['configuration in force', 'context'],
      ['coordinator now', 'context'],
      ['batch accepted', 'batch'],
      ['run started', 'subject'],
      ['endpoint left', 'context'],
      ['run stopped', 'subject'],
      ['run started', 'subject'],
      ['item has a result', 'subject'],
      ['batch end', 'batch'],
    ],
  );
  const endpoints = path.map(({line}) => line.fields['endpoint']);
  t.false(endpoints.includes('e9'));
});

test('endpoints that left together explain the path of each of them', t => {
  const lines = createItemLog()
    .filter(({event}) => event !== 'endpoint left')
    .concat(
      createLine('b', 3500, 'endpoints left', {endpoints: 'e7,e1', count: 2}),
      createLine('b', 3510, 'endpoints left', {endpoints: 'e8,e9', count: 2}),
    );
  const shown = tracePath(lines, 'item').filter(
    ({line}) => line.event === 'endpoints left',
  );
  t.deepEqual(
    shown.map(({line}) => line.fields['endpoints']),
    ['e7,e1'],
  );
  t.true(tracePath(lines, 'e9').length > 0);
});

// A request is refused although its route exists: the operator added the route,
// but one VM has not received the new configuration and refuses the request.
test('the path shows that a VM used an older configuration than others', t => {
  const lines = [
    createLine('a', 1000, 'configuration in force', {configVersion: 3}),
    createLine('b', 1000, 'configuration in force', {configVersion: 3}),
    createLine('b', 2000, 'configuration in force', {configVersion: 5}),
    createLine('a', 9000, 'request refused', {requestId: 'x'}),
    createLine('b', 9500, 'configuration in force', {configVersion: 8}),
  ];
  const versions = tracePath(lines, 'x').map(({line}) => [
    line.vm,
    line.fields['configVersion'],
  ]);
  t.deepEqual(versions, [
    ['a', 3],
    ['b', 5],
    ['a', undefined],
  ]);
});

test('lines of one VM keep their order when its clock is set back', t => {
  const lines = [
    createLine('a', 5000, 'attempt failed', {requestId: 'x'}),
    createLine('a', 2000, 'request', {requestId: 'x'}),
  ];
  const events = tracePath(lines, 'x').map(({line}) => line.event);
  t.deepEqual(events, ['attempt failed', 'request']);
});

test('all repetitions of a request are found by its fingerprint', t => {
  const lines = [
    createLine('a', 1000, 'attempt failed', {requestId: 'x', fingerprint: 'f'}),
    createLine('b', 2000, 'run broken', {requestId: 'y', fingerprint: 'f'}),
    createLine('b', 2500, 'run broken', {requestId: 'z', fingerprint: 'g'}),
  ];
  const ids = tracePath(lines, 'f').map(({line}) => line.fields['requestId']);
  t.deepEqual(ids, ['x', 'y']);
});

test('the path of an id that no line names is empty', t => {
  t.deepEqual(tracePath(createItemLog(), 'unknown'), []);
});
