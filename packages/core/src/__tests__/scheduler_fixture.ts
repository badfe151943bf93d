/** Creates endpoints, work items and schedulers for the scheduler's tests. */

import type {EndpointInfo, LoadReport} from '@radishyoke/shared/endpoint';
import {
  toDataCentreId,
  toEndpointId,
  toTenantId,
  toVmId,
} from '@radishyoke/shared/ids';
import {PolicyScheduler} from '../scheduling/policy_scheduler.js';
import {createRandomBits} from '../scheduling/random_bits.js';
import type {WorkItem} from '../scheduling/scheduler.js';

export const GROUP = 'tutors';

export function createEndpoint(
  id: string,
  state: EndpointInfo['state'] = 'live',
): EndpointInfo {
  return {
    id: toEndpointId(id),
    kind: 'engine',
    address: '127.0.0.1:1',
    dataCentre: toDataCentreId('gebze-a'),
    group: GROUP,
    state,
    checksFencing: true,
  };
}

export function createReport(
  id: string,
  changes: Partial<LoadReport> = {},
): LoadReport {
  return {
    endpoint: toEndpointId(id),
    running: 0,
    waiting: 0,
    waitingPromptTokens: 0,
    tokensPerSecond: 0,
    weightVersion: 1,
    leaving: false,
    measuredAtMs: 0,
    ...changes,
  };
}

export function createWork(
  id: string,
  changes: Partial<WorkItem> = {},
): WorkItem {
  return {
    id,
    tenant: toTenantId('trainer-1'),
    workClass: 'rollout',
    group: GROUP,
    priority: 0,
    deadlineAtMs: 600_000,
    promptTokens: 10,
    maxTokens: 100,
    prefixKey: '',
    stepKey: '',
    groupKey: '',
    minWeightVersion: 0,
    idempotent: true,
    maxAttempts: 4,
    fingerprint: id,
    ...changes,
  };
}

/** Creates a scheduler whose VM list contains the given endpoints. */
export function createScheduler(ids: readonly string[]): PolicyScheduler {
  const scheduler = new PolicyScheduler(
    {vm: toVmId('vm-1'), dataCentre: toDataCentreId('gebze-a')},
    createRandomBits(1),
  );
  const endpoints = ids.map(id => createEndpoint(id));
  scheduler.handle({kind: 'endpoints', endpoints}, 0);
  return scheduler;
}
