import test from 'ava';
import {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {EngineFleet} from '../engine_fleet.js';

const GRACE_MS = 1000;
const PORT = 1;

function createFleet() {
  const roster = new EndpointRoster(GRACE_MS);
  const fleet = new EngineFleet(roster);
  const engine = {slots: 4, kvTokens: 1000, models: ['m0'], tokensPerEvent: 1};
  const {service} = createEntry(PORT);
  const spec = {name: service, healthPath: '/', maxConnections: 10, engine};
  const list = (nowMs: number) =>
    fleet.describe([spec], nowMs).map(({id}) => id);
  return {roster, list};
}

// Guards against items that are sent to an engine that is draining and are lost
// when it stops. The coordinator schedules from its tracked engines, so it must
// leave out an engine that reports that it drains or whose entry is removed.
test('an engine that drains or whose entry was removed is not given items', t => {
  const {roster, list} = createFleet();
  roster.put({...createEntry(PORT), id: 'stays'}, 0);
  roster.put({...createEntry(PORT), id: 'drains'}, 1);
  roster.put({...createEntry(PORT), id: 'goes'}, 2);
  t.deepEqual(list(0), ['stays', 'drains', 'goes']);
  roster.put(
    {...createEntry(PORT), id: 'drains', sequence: 1, isDraining: true},
    3,
  );
  roster.remove('goes', 4, 0);
  t.deepEqual(
    list(GRACE_MS - 1),
    ['stays', 'goes'],
    'a removed entry may come back',
  );
  t.deepEqual(list(GRACE_MS), ['stays']);
});
