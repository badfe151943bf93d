import test from 'ava';
import {summarizeDay} from '../day_summary.js';
import type {TraceLine} from '../trace_line.js';

function createLine(
  vm: string,
  timeMs: number,
  event: string,
  fields: TraceLine['fields'] = {},
): TraceLine {
  return {vm, timeMs, event, fields, sequence: 0};
}

test('a day lists its steps, outages, coordinators, loads and requests', t => {
  const day = summarizeDay([
    createLine('a', 0, 'started'),
    createLine('a', 10, 'coordinator now'),
    createLine('b', 100, 'batch accepted', {
      requestId: 'batch-1',
      model: 'm',
      step: 3,
    }),
    createLine('a', 120, 'batch accepted', {requestId: 'batch-1', model: 'm'}),
    createLine('a', 300, 'item has a result', {batch: 'batch-1'}),
    createLine('a', 400, 'order to an engine', {
      endpoint: 'e',
      model: 'm',
      version: 2,
      outcome: 'accepted',
    }),
    createLine('a', 410, 'order to an engine', {outcome: 'conflict'}),
    createLine('a', 500, 'topic can not be read', {topic: 'x'}),
    createLine('a', 900, 'topic is read again', {topic: 'x'}),
    createLine('b', 1200, 'request', {outcome: '200'}),
    createLine('b', 2100, 'request refused', {outcome: 'not_found'}),
    createLine('b', 2200, 'batch end', {requestId: 'batch-1'}),
  ])!;
  t.deepEqual(day.steps, [
    {
      batch: 'batch-1',
      model: 'm',
      step: '3',
      fromMs: 100,
      toMs: 2200,
      results: 1,
    },
  ]);
  t.deepEqual(day.outages, [{vm: 'a', fromMs: 500, toMs: 900}]);
  t.deepEqual(day.coordinators, [{vm: 'a', fromMs: 10}]);
  t.is(day.loads.length, 1);
  t.deepEqual(day.requests, [
    {name: 'answered 200', counts: [0, 1, 0]},
    {name: 'refused not_found', counts: [0, 0, 1]},
  ]);
});

test('open spans of a VM end when its process is restarted', t => {
  const day = summarizeDay([
    createLine('a', 10, 'coordinator now'),
    createLine('a', 20, 'topic can not be read', {topic: 'x'}),
    createLine('a', 700, 'started'),
  ])!;
  t.deepEqual(day.outages, [{vm: 'a', fromMs: 20, toMs: 700}]);
  t.deepEqual(day.coordinators, [{vm: 'a', fromMs: 10, toMs: 700}]);
});

test('no summary is made without lines', t => {
  t.is(summarizeDay([]), undefined);
});
