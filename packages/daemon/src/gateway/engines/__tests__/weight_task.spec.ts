import test from 'ava';
import {BatchScheduler} from '@radishyoke/core/batches/batch_scheduler';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {RouteTable} from '@radishyoke/core/routing/route_table';
import {silentLogger} from '../../../logger.js';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {EngineFleet} from '../engine_fleet.js';
import {WeightTask, type WeightDeps} from '../weight_task.js';

const MODELS = ['m0', 'm1', 'm2'];
/** Engines start with version 1, which is too old for any open step. */
const NEWEST = 3;
const GRACE_MS = 1000;
const PORT = 1;

/**
 * Creates the weight task of a coordinator whose engines never answer, so that
 * started loads never end. The first `loadedCount` engines have the newest weights.
 */
function createWeights(engineCount: number, loadedCount = 0) {
  const roster = new EndpointRoster(GRACE_MS);
  const fleet = new EngineFleet(roster);
  const {service} = createEntry(PORT);
  for (let i = 0; i < engineCount; i++) {
    const version = i < loadedCount ? NEWEST : 1;
    const models = MODELS.map(model => ({model, version}));
    roster.put({...createEntry(PORT), id: `e${i}`, models}, i);
  }
  const engine = {slots: 4, kvTokens: 1000, models: MODELS, tokensPerEvent: 1};
  const spec = {name: service, healthPath: '/', maxConnections: 10, engine};
  const table = {engines: [spec], cfg: {routes: []}} as unknown as RouteTable;
  const queried: string[] = [];
  let snapshots = 0;
  const task = new WeightTask({
    lease: {
      createOrderCheck: () => {
        snapshots += 1;
        return () => true;
      },
    },
    roster,
    fleet,
    reports: {
      fetch: (entry: EndpointEntry) => {
        queried.push(entry.id);
        return new Promise(() => undefined);
      },
    },
    scheduler: new BatchScheduler({tokensPerEvent: 1, runPrefix: 'vm'}),
    logger: silentLogger,
    newestVersions: new Map(MODELS.map(model => [model, NEWEST])),
  } as unknown as WeightDeps);
  return {
    tick: () => task.tick(table, fleet.describe([spec], 0)),
    queried,
    countSnapshots: () => snapshots,
  };
}

// Guards against concurrent orders to one engine for two models.
test('an engine that begins to load one model is not ordered for another', t => {
  // Each model should have 11 engines, and 8 have its weights.
  const {tick, queried} = createWeights(34, 8);
  tick();
  t.is(queried.length, 9);
  t.is(new Set(queried).size, 9);
});

// Guards against a coordinator of a large fleet that spends its processor time on
// engines although none of them may start a load now.
test('other engines are not examined while the maximum number of engines load', t => {
  const {tick, queried, countSnapshots} = createWeights(1000);
  tick();
  const started = queried.length;
  const snapshots = countSnapshots();
  for (let i = 0; i < 5; i++) tick();
  t.is(queried.length, started);
  t.is(countSnapshots(), snapshots);
});
