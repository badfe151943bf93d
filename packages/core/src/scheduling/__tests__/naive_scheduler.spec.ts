import test from 'ava';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import {toDataCentreId, toEndpointId, toTenantId} from '@radishyoke/shared/ids';
import {NaiveScheduler} from '../naive_scheduler.js';
import type {WorkItem} from '../scheduler.js';

function createEndpoint(id: string): EndpointInfo {
  return {
    id: toEndpointId(id),
    kind: 'engine',
    address: '127.0.0.1:1',
    dataCentre: toDataCentreId('gebze-a'),
    group: 'tutors',
    state: 'live',
    checksFencing: true,
  };
}

function createWork(id: string): WorkItem {
  return {
    id,
    tenant: toTenantId('trainer-1'),
    workClass: 'rollout',
    group: 'tutors',
    priority: 0,
    deadlineAtMs: 1e9,
    promptTokens: 10,
    maxTokens: 10,
    prefixKey: '',
    stepKey: '',
    groupKey: '',
    minWeightVersion: 0,
    idempotent: true,
    maxAttempts: 2,
    fingerprint: id,
  };
}

test('uses endpoints round robin and restarts failed work on the next', t => {
  const scheduler = new NaiveScheduler();
  scheduler.handle({
    kind: 'endpoints',
    endpoints: [createEndpoint('a'), createEndpoint('b')],
  });
  const [first] = scheduler.handle({kind: 'enqueue', work: createWork('w')});
  t.like(first, {kind: 'start', endpoint: 'a', attempt: 1});
  const [second] = scheduler.handle({
    kind: 'ended',
    workId: 'w',
    attempt: 1,
    outcome: {
      kind: 'failed',
      failure: 'crashed',
      sent: true,
      tokensReceived: 3,
    },
  });
  t.like(second, {kind: 'start', endpoint: 'b', attempt: 2});
});
