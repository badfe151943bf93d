/**
 * Measures scheduling decisions per second on one core. A decision finds the rule of
 * a request, queues its work item, chooses an endpoint and finishes an older item.
 */

import type {RuleSet} from '@radishyoke/core/rules/rule';
import {compileRules, resolveRule} from '@radishyoke/core/rules/rule_matcher';
import {PolicyScheduler} from '@radishyoke/core/scheduling/policy_scheduler';
import {createRandomBits} from '@radishyoke/core/scheduling/random_bits';
import type {
  SchedulerAction,
  WorkItem,
} from '@radishyoke/core/scheduling/scheduler';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import {
  toDataCentreId,
  toEndpointId,
  toTeamId,
  toTenantId,
  toVmId,
} from '@radishyoke/shared/ids';

const ENDPOINT_COUNTS = [6, 72, 720] as const;
const RULE_COUNTS = [10, 200] as const;
const SEED = 1;
const WARM_UP_MS = 500;
const SLICE_MS = 200;
const SLICES = 7;
/** Decisions between two readings of the clock. */
const DECISIONS_PER_CLOCK_READ = 500;
/** Decisions per tick; a 100 ms tick at 3,300 requests per second comes less often. */
const DECISIONS_PER_TICK = 100;
/** Work items in flight per endpoint. */
const IN_FLIGHT_PER_ENDPOINT = 4;
const PEERS = 10;
const GROUP = 'tutors';

/** One line of output. */
export interface DecideLine {
  readonly endpoints: number;
  readonly rules: number;
  readonly decisionsPerSecond: number;
  /** Cost of one decision, relative to 6 endpoints and the same rules. */
  readonly costTo6Endpoints: number;
}

/** Measures all combinations, the smallest first. */
export function* runDecide(): Generator<DecideLine> {
  for (const rules of RULE_COUNTS) {
    let rateAtSix = 0;
    for (const endpoints of ENDPOINT_COUNTS) {
      const decisionsPerSecond = Math.round(measure(endpoints, rules));
      if (rateAtSix === 0) rateAtSix = decisionsPerSecond;
      const costTo6Endpoints = Number(
        (rateAtSix / decisionsPerSecond).toFixed(2),
      );
      yield {endpoints, rules, decisionsPerSecond, costTo6Endpoints};
    }
  }
}

/** Returns the best of several slices: the one least disturbed by other processes. */
function measure(endpoints: number, rules: number): number {
  const driver = new DecideDriver(endpoints, rules);
  driver.run(WARM_UP_MS);
  const rates = Array.from({length: SLICES}, () => driver.run(SLICE_MS));
  return Math.max(...rates);
}

class DecideDriver {
  private readonly scheduler = new PolicyScheduler(
    {vm: toVmId('vm-0'), dataCentre: toDataCentreId('dc-0')},
    createRandomBits(SEED),
  );
  private readonly compiled;
  private readonly running: {workId: string; attempt: number}[] = [];
  private oldestIndex = 0;
  private decisionCount = 0;

  constructor(
    private readonly endpoints: number,
    private readonly rules: number,
  ) {
    this.compiled = compileRules(createRules(rules));
    this.setUp();
  }

  /** Makes decisions for `durationMs` and returns their rate per second. */
  run(durationMs: number): number {
    const startMs = performance.now();
    const before = this.decisionCount;
    let elapsedMs = 0;
    while (elapsedMs < durationMs) {
      for (let i = 0; i < DECISIONS_PER_CLOCK_READ; i++) this.decide();
      elapsedMs = performance.now() - startMs;
    }
    return ((this.decisionCount - before) / elapsedMs) * 1e3;
  }

  private decide(): void {
    const index = this.decisionCount++;
    const tenant = toTenantId(`tenant-${index % this.rules}`);
    const decision = resolveRule(this.compiled, {
      tenant,
      workClass: 'rollout',
      model: 'm',
      method: 'POST',
      path: '/v1/completions',
      headers: {},
      dataCentre: toDataCentreId('dc-0'),
    });
    if (decision?.then.kind !== 'route') throw new Error('no rule matched');
    const work = createWorkItem(index, tenant, decision.then.group);
    this.recordStarts(
      this.scheduler.handle({kind: 'enqueue', work}, index / 10),
    );
    if (index % DECISIONS_PER_TICK === 0) {
      this.recordStarts(this.scheduler.handle({kind: 'tick'}, index / 10));
    }
    if (
      this.running.length - this.oldestIndex <=
      this.endpoints * IN_FLIGHT_PER_ENDPOINT
    )
      return;
    this.finishOldest(index / 10);
  }

  private finishOldest(nowMs: number): void {
    const {workId, attempt} = this.running[this.oldestIndex++];
    const outcome = {kind: 'finished', tokens: 40, spans: []} as const;
    const event = {kind: 'ended', workId, attempt, outcome} as const;
    this.recordStarts(this.scheduler.handle(event, nowMs));
    if (this.oldestIndex < 10_000) return;
    this.running.splice(0, this.oldestIndex);
    this.oldestIndex = 0;
  }

  private recordStarts(actions: readonly SchedulerAction[]): void {
    for (const action of actions) {
      if (action.kind === 'start') this.running.push(action);
      else if (action.kind !== 'done') throw new Error(action.kind);
    }
  }

  private setUp(): void {
    const infos = Array.from({length: this.endpoints}, (_, i) =>
      createEndpoint(i),
    );
    this.scheduler.handle({kind: 'endpoints', endpoints: infos}, 0);
    const vms = Array.from({length: PEERS}, (_, i) => toVmId(`vm-${i}`));
    this.scheduler.handle({kind: 'vms', vms}, 0);
    for (const {id} of infos) {
      const report = {
        endpoint: id,
        running: 4,
        waiting: 0,
        waitingPromptTokens: 0,
        tokensPerSecond: 500,
        weightVersion: 1,
        leaving: false,
        measuredAtMs: 0,
      };
      this.scheduler.handle({kind: 'load', report}, 0);
    }
    const inFlight = new Map(infos.map(({id}) => [id, 1]));
    this.scheduler.handle({kind: 'peer_load', vm: vms[1], inFlight}, 0);
  }
}

function createRules(count: number): RuleSet {
  const rules = Array.from({length: count}, (_, i) => ({
    name: `rule-${i}`,
    when: {tenant: [`tenant-${i}`], pathPrefix: ['/v1'], headers: {}},
    then: {
      kind: 'route' as const,
      group: GROUP,
      maxAttempts: 3,
      timeoutMs: 60_000,
      priority: 0,
      maxQueue: 1000,
      hedge: true,
    },
  }));
  return {team: toTeamId('team'), groups: [], rules};
}

function createEndpoint(index: number): EndpointInfo {
  return {
    id: toEndpointId(`engine-${index}`),
    kind: 'engine',
    address: `127.0.0.1:${index}`,
    dataCentre: toDataCentreId(`dc-${index % 3}`),
    group: GROUP,
    state: 'live',
    checksFencing: true,
  };
}

function createWorkItem(
  index: number,
  tenant: WorkItem['tenant'],
  group: string,
): WorkItem {
  const step = Math.floor(index / 128);
  return {
    id: `work-${index}`,
    tenant,
    workClass: 'rollout',
    group,
    priority: 0,
    deadlineAtMs: index + 60_000,
    promptTokens: 200,
    maxTokens: 1000,
    prefixKey: `prefix-${Math.floor(index / 8)}`,
    stepKey: `step-${step}`,
    groupKey: `group-${Math.floor(index / 8)}`,
    minWeightVersion: 1,
    idempotent: true,
    maxAttempts: 3,
    fingerprint: `print-${index}`,
  };
}
