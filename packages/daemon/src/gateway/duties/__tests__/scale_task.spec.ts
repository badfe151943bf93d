import test from 'ava';
import {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import {RouteTable} from '@radishyoke/core/routing/route_table';
import {silentLogger} from '../../../logger.js';
import {GatewayMetrics} from '../../gateway_metrics.js';
import {createEntry} from '../../__tests__/gateway_fixtures.js';
import {ScaleTask} from '../scale_task.js';
import {FakeDutyApi} from './duty_fixtures.js';

const SERVICE = 'llm';
const LASTING = 4;

/** Engines of two data centres that stay. */
function createRoster(): EndpointRoster {
  const roster = new EndpointRoster(0);
  for (let i = 0; i < LASTING; i++) {
    const dataCentre = i % 2 === 0 ? 'a' : 'b';
    roster.put(
      {...createEntry(1), id: `e${i}`, service: SERVICE, dataCentre},
      i,
    );
  }
  return roster;
}

function createTable(): RouteTable {
  const scaling = {
    min: 1,
    max: 9,
    bootMs: 0,
    reclaimablePrice: 0.2,
    prices: {a: 1, b: 1},
  };
  const engine = {slots: 8, kvTokens: 1000, models: ['m'], tokensPerEvent: 4};
  const service = {name: SERVICE, healthPath: '/', maxConnections: 9};
  return new RouteTable({
    version: 1,
    routes: [],
    services: [{...service, engine, scaling}],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

function createScaling(items: {count: number}, mayCall = () => true) {
  const api = new FakeDutyApi();
  const table = createTable();
  const task = new ScaleTask({
    api,
    lease: {fencingToken: 3, announce: async () => mayCall()},
    vmName: 'vm',
    roster: createRoster(),
    findTable: () => table,
    countItems: () => items.count,
    metrics: new GatewayMetrics(),
    logger: silentLogger,
  });
  return {api, task};
}

test('endpoints are ordered for a peak, once for each data centre', async t => {
  const {api, task} = createScaling({count: 1000});
  await task.tick();
  await task.tick();
  t.deepEqual(
    api.orders.map(({order, holder}) => [
      order.dataCentre,
      order.count,
      holder.fencingToken,
    ]),
    [
      ['a', 1, 3],
      ['b', 1, 3],
    ],
  );
});

test('nothing is ordered without need', async t => {
  const {api, task} = createScaling({count: 10});
  await task.tick();
  t.deepEqual(api.orders, []);
});

test('guards against an order by a holder that may not act', async t => {
  const {api, task} = createScaling({count: 1000}, () => false);
  await task.tick();
  t.deepEqual(api.orders, []);
});

test('guards against a platform that is asked all the while for what is not to be had', async t => {
  const {api, task} = createScaling({count: 1000});
  api.plan.push('fenced', 'fenced');
  for (let i = 0; i < 5; i++) await task.tick();
  t.is(api.orders.length, 2);
});
