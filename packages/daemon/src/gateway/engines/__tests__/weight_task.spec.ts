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
/** Engines begin with version 1, which no open step may use any more. */
const NEWEST = 3;
const GRACE_MS = 1000;
const PORT = 1;

/**
 * A coordinator whose engines never answer, so that whatever it began to load
 * goes on. The first `loadedCount` engines have the newest weights.
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
  const asked: string[] = [];
  let looks = 0;
  const task = new WeightTask({
    lease: {
      createOrderCheck: () => {
        looks += 1;
        return () => true;
      },
    },
    roster,
    fleet,
    reports: {
      fetch: (entry: EndpointEntry) => {
        asked.push(entry.id);
        return new Promise(() => undefined);
      },
    },
    scheduler: new BatchScheduler({tokensPerEvent: 1, runPrefix: 'vm'}),
    logger: silentLogger,
    newestVersions: new Map(MODELS.map(model => [model, NEWEST])),
  } as unknown as WeightDeps);
  return {
    tick: () => task.tick(table, fleet.describe([spec], 0)),
    asked,
    countLooks: () => looks,
  };
}

// Guards against two orders to one engine at a time, for two models.
test('an engine that begins to load one model is not ordered for another', t => {
  // Of the 11 engines that each model should have, 8 have its weights.
  const {tick, asked} = createWeights(34, 8);
  tick();
  t.is(asked.length, 9);
  t.is(new Set(asked).size, 9);
});

// Guards against a coordinator of a large fleet that spends its processor time on engines of which none may load now.
test('while as many engines load as may, the others are not looked at', t => {
  const {tick, asked, countLooks} = createWeights(1000);
  tick();
  const began = asked.length;
  const looks = countLooks();
  for (let i = 0; i < 5; i++) tick();
  t.is(asked.length, began);
  t.is(countLooks(), looks);
});
