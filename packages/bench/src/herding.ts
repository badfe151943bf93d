/**
 * Measures herding: whether ten routers that read the same outdated load reports
 * send all requests to the engine that was reported idle, until its next report.
 */

import {createRandomBits} from '@radishyoke/core/scheduling/random_bits';
import {NaiveScheduler} from '@radishyoke/core/scheduling/naive_scheduler';
import {PolicyScheduler} from '@radishyoke/core/scheduling/policy_scheduler';
import {
  EndpointStatus,
  Scheduler,
  SchedulerAction,
  SchedulerConfig,
  SchedulerEvent,
  WorkItem,
} from '@radishyoke/core/scheduling/scheduler';
import type {EndpointInfo, LoadReport} from '@radishyoke/shared/endpoint';
import {
  EndpointId,
  toDataCentreId,
  toEndpointId,
  toTenantId,
} from '@radishyoke/shared/ids';
import {StepsVms} from './steps_vms.js';
import {VirtualClock} from './virtual_clock.js';

const ROUTERS = 10;
const ENGINES = 6;
/** Requests running on each engine but the first, which just restarted idle. */
const REPORTED_RUNNING = 12;
const WORK_ITEMS_PER_ROUTER = 12;
const WORK_ITEM_INTERVAL_MS = 100;
const SEEDS = 10;

/** Distribution over the engines after the burst, before any new report. */
export interface HerdingLine {
  readonly case: 'ten_routers';
  readonly scheduler: string;
  /** Load of the fullest engine relative to the mean; the worst of all seeds. */
  readonly fullestToMean: number;
  /** Share of the burst that the idle engine received; 1/6 if load is ignored. */
  readonly idleEngineShare: number;
}

/** Always picks the endpoint with the lowest reported load, which causes herding. */
class LeastReportedScheduler extends Scheduler {
  private readonly reports = new Map<EndpointId, LoadReport>();
  private workItemCount = 0;

  handle(event: SchedulerEvent): readonly SchedulerAction[] {
    if (event.kind === 'load') {
      this.reports.set(event.report.endpoint, event.report);
    }
    if (event.kind !== 'enqueue') return [];
    this.workItemCount++;
    const [least] = [...this.reports.values()].sort(
      (a, b) => a.running - b.running,
    );
    const action = {kind: 'start', workId: event.work.id, attempt: 1} as const;
    const resume = {resumeTokens: 0, resumeAttempt: 0};
    return [{...action, ...resume, endpoint: least.endpoint}];
  }

  countWorkItems(): number {
    return this.workItemCount;
  }

  listEndpoints(): readonly EndpointStatus[] {
    return [];
  }
}

type CreateBurstScheduler = (
  config: SchedulerConfig,
  seed: number,
) => Scheduler;

const SCHEDULERS: Readonly<Record<string, CreateBurstScheduler>> = {
  naive: () => new NaiveScheduler(),
  least_reported: () => new LeastReportedScheduler(),
  present: (config, seed) =>
    new PolicyScheduler(config, createRandomBits(seed)),
};

export function* runHerding(): Generator<HerdingLine> {
  for (const [scheduler, create] of Object.entries(SCHEDULERS)) {
    let fullestToMean = 0;
    let idleEngineShare = 0;
    for (let seed = 1; seed <= SEEDS; seed++) {
      const counts = runBurst(create, seed);
      const totals = counts.map((n, i) => n + (i === 0 ? 0 : REPORTED_RUNNING));
      const mean = totals.reduce((a, b) => a + b, 0) / totals.length;
      fullestToMean = Math.max(fullestToMean, Math.max(...totals) / mean);
      idleEngineShare += counts[0] / (ROUTERS * WORK_ITEMS_PER_ROUTER) / SEEDS;
    }
    yield {
      case: 'ten_routers',
      scheduler,
      fullestToMean: Number(fullestToMean.toFixed(2)),
      idleEngineShare: Number(idleEngineShare.toFixed(2)),
    };
  }
}

/** Returns how many requests of the burst each engine received. */
function runBurst(
  create: CreateBurstScheduler,
  seed: number,
): readonly number[] {
  const clock = new VirtualClock();
  const counts = Array.from({length: ENGINES}, () => 0);
  const dataCentre = toDataCentreId('gebze-a');
  const vms = new StepsVms(
    clock,
    ROUTERS,
    (vm, index) => create({vm, dataCentre}, seed * 100 + index),
    (_vm, action) => {
      if (action.kind !== 'start') return;
      counts[Number(action.endpoint.split('-')[1])]++;
    },
  );
  const endpoints = Array.from({length: ENGINES}, (_, i) => createEndpoint(i));
  vms.start(endpoints, () => endpoints.map((info, i) => createReport(info, i)));
  for (let i = 0; i < WORK_ITEMS_PER_ROUTER; i++) {
    clock.scheduleAt(i * WORK_ITEM_INTERVAL_MS, () => {
      for (let vm = 0; vm < ROUTERS; vm++) {
        vms.dispatch(vm, {kind: 'enqueue', work: createWorkItem(`${vm}-${i}`)});
      }
    });
  }
  clock.run(WORK_ITEMS_PER_ROUTER * WORK_ITEM_INTERVAL_MS + 1000, () => false);
  return counts;
}

function createEndpoint(index: number): EndpointInfo {
  return {
    id: toEndpointId(`engine-${index}`),
    kind: 'engine',
    address: '',
    dataCentre: toDataCentreId('gebze-a'),
    group: 'models',
    state: 'live',
    checksFencing: true,
  };
}

/** Creates a report that is older than the burst, so it never changes. */
function createReport(info: EndpointInfo, index: number): LoadReport {
  return {
    endpoint: info.id,
    running: index === 0 ? 0 : REPORTED_RUNNING,
    waiting: 0,
    waitingPromptTokens: 0,
    tokensPerSecond: 0,
    weightVersion: 1,
    leaving: false,
    measuredAtMs: 0,
  };
}

function createWorkItem(id: string): WorkItem {
  return {
    id,
    tenant: toTenantId('trainer-0'),
    workClass: 'rollout',
    group: 'models',
    priority: 0,
    deadlineAtMs: 600_000,
    promptTokens: 200,
    maxTokens: 2000,
    prefixKey: '',
    stepKey: `step-${id}`,
    groupKey: '',
    minWeightVersion: 0,
    idempotent: true,
    maxAttempts: 3,
    fingerprint: id,
  };
}
