import test from 'ava';
import type {EndpointEntry} from '../endpoint_entry.js';
import {EndpointRoster} from '../endpoint_roster.js';

const GRACE_MS = 1200;

function createEntry(extra: Partial<EndpointEntry> = {}): EndpointEntry {
  return {
    id: 'e1',
    service: 'app',
    host: '10.0.0.1',
    port: 80,
    dataCentre: 'dc',
    slots: 6,
    isDraining: false,
    models: [],
    startedAtMs: 1000,
    sequence: 1,
    ...extra,
  };
}

function listIds(roster: EndpointRoster, nowMs = 0): readonly string[] {
  return roster.listUsable('app', nowMs).map(({id}) => id);
}

test('a draining endpoint gets no new work', t => {
  const roster = new EndpointRoster(GRACE_MS);
  t.is(roster.put(createEntry(), 0).kind, 'joined');
  const draining = createEntry({sequence: 2, isDraining: true});
  t.is(roster.put(draining, 1).kind, 'draining');
  t.deepEqual(listIds(roster), []);
});

// Guards against work that is sent to an endpoint that has left.
// 1. An endpoint reports that it drains while an earlier write of it is
//    delayed.
// 2. The earlier write, which reports it ready, lands after the later one.
// The newest record does not always contain the newest state.
test('a delayed write does not undo a later one', t => {
  const roster = new EndpointRoster(GRACE_MS);
  roster.put(createEntry({sequence: 5, isDraining: true}), 1);
  t.is(roster.put(createEntry({sequence: 4}), 2).kind, 'stale');
  t.deepEqual(listIds(roster), []);
});

test('a restart under the same id replaces the earlier incarnation', t => {
  const roster = new EndpointRoster(GRACE_MS);
  roster.put(createEntry({sequence: 9, isDraining: true}), 1);
  const restarted = createEntry({startedAtMs: 2000, sequence: 0});
  t.is(roster.put(restarted, 2).kind, 'reborn');
  t.deepEqual(listIds(roster), ['e1']);
  t.is(roster.put(createEntry({sequence: 10}), 3).kind, 'stale');
});

test('an endpoint whose entry disappeared is used for the grace time only', t => {
  const roster = new EndpointRoster(GRACE_MS);
  roster.put(createEntry(), 1);
  t.is(roster.remove('e1', 2, 100)?.kind, 'left');
  t.deepEqual(listIds(roster, 100 + GRACE_MS - 1), ['e1']);
  t.deepEqual(listIds(roster, 100 + GRACE_MS), []);
  t.is(roster.prune(100 + GRACE_MS).length, 1);
});

test('an entry that returns within the grace time cancels its removal', t => {
  const roster = new EndpointRoster(GRACE_MS);
  roster.put(createEntry(), 1);
  roster.remove('e1', 2, 100);
  roster.put(createEntry({sequence: 2}), 3);
  t.deepEqual(listIds(roster, 100 + 10 * GRACE_MS), ['e1']);
});

// Guards against a removed endpoint that returns with a page of older records.
// 1. The entry is removed at offset 5.
// 2. A page of records that was read before still has it at offset 4.
// Pages of the list are not read at one moment.
test('an older record does not undo a removal', t => {
  const roster = new EndpointRoster(0);
  roster.put(createEntry(), 4);
  roster.remove('e1', 5, 0);
  roster.prune(1);
  t.is(roster.put(createEntry(), 4).kind, 'stale');
  t.deepEqual(listIds(roster, 1), []);
});
