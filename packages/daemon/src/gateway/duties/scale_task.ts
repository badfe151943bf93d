/**
 * Orders endpoints from the platform while this VM holds the lease. The platform
 * tells nothing back: what came of an order shows in the list of endpoints.
 */

import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import type {
  RouteTable,
  ServiceSpec,
} from '@radishyoke/core/routing/route_table';
import {DemandPeak} from '@radishyoke/core/scaling/demand_peak';
import {
  planReclaimable,
  type ScalingSpec,
  type DataCentreFleet,
} from '@radishyoke/core/scaling/scaling_plan';
import type {EventLogger} from '../../logger.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {DutyApi, ScaleOrder} from './duty_api.js';
import type {DutyLease} from './usage_task.js';

export interface ScaleTaskParts {
  readonly api: DutyApi;
  readonly lease: DutyLease;
  readonly vmName: string;
  readonly roster: EndpointRoster;
  readonly findTable: () => RouteTable | undefined;
  /** Items of the service's open batches that have no result yet. */
  readonly countItems: (service: string) => number;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
}

/** What was ordered last for one service in one data centre. */
interface Standing {
  readonly count: number;
  /** Steady ms. */
  readonly atMs: number;
}

/** How often the task looks whether an order is due, ms. */
const TICK_MS = 250;
/** Pause after a call that did not succeed, ms: what was taken away is not to be had again for some seconds. */
const RETRY_MS = 3000;
/** Beyond the time of a start an order may be carried out this late, ms; then the list should show what was ordered. */
const APPLY_MS = 6000;

export class ScaleTask {
  private readonly standing = new Map<string, Standing>();
  private readonly retryAtMs = new Map<string, number>();
  private readonly peaks = new Map<string, DemandPeak>();
  private isBusy = false;
  private isStopped = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ScaleTaskParts) {}

  start(): void {
    this.timer = setInterval(() => void this.tick(), TICK_MS);
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /** Gives the orders that are due now. */
  async tick(): Promise<void> {
    if (this.isBusy || this.isStopped) return;
    this.isBusy = true;
    try {
      const services = this.parts.findTable()?.engines ?? [];
      for (const service of services) await this.scale(service);
    } finally {
      this.isBusy = false;
    }
  }

  private async scale(service: ServiceSpec): Promise<void> {
    const {scaling, engine, name} = service;
    if (!scaling || !engine) return;
    const peak = this.peaks.get(name) ?? new DemandPeak();
    this.peaks.set(name, peak);
    peak.note(this.parts.countItems(name), performance.now());
    const fleets = this.listDataCentres(name, scaling);
    const demand = {peakItems: peak.items, slots: engine.slots};
    const plan = planReclaimable(scaling, fleets, demand);
    for (const fleet of fleets) {
      const count = plan.get(fleet.dataCentre) ?? 0;
      if (this.isDue(name, fleet, count, scaling)) {
        await this.order({service: name, dataCentre: fleet.dataCentre, count});
      }
    }
  }

  private isDue(
    service: string,
    {dataCentre, reclaimable}: DataCentreFleet,
    count: number,
    {bootMs}: ScalingSpec,
  ): boolean {
    const nowMs = performance.now();
    const subject = nameSubject(service, dataCentre);
    if (nowMs < (this.retryAtMs.get(subject) ?? -Infinity)) return false;
    const standing = this.standing.get(subject);
    // A new holder does not know what the one before has ordered.
    if (!standing) return count !== reclaimable;
    if (standing.count !== count) return true;
    const isOverdue = nowMs - standing.atMs > bootMs + APPLY_MS;
    return isOverdue && reclaimable !== count;
  }

  private async order(order: ScaleOrder): Promise<void> {
    const {api, lease, vmName, metrics, logger} = this.parts;
    const subject = nameSubject(order.service, order.dataCentre);
    if (!(await lease.announce(subject)) || this.isStopped) return;
    const {fencingToken} = lease;
    const answer = await api.orderEndpoints(order, {vmName, fencingToken});
    const nowMs = performance.now();
    if (answer === 'accepted') {
      this.standing.set(subject, {count: order.count, atMs: nowMs});
    } else {
      this.retryAtMs.set(subject, nowMs + RETRY_MS);
    }
    metrics.count(`scale_${answer}`);
    logger.log('info', 'endpoints ordered', {
      ...order,
      fencingToken,
      outcome: answer,
    });
  }

  private listDataCentres(
    service: string,
    {prices}: ScalingSpec,
  ): readonly DataCentreFleet[] {
    const usable = this.parts.roster.listUsable(service, performance.now());
    return Object.keys(prices).map(dataCentre => {
      const here = usable.filter(entry => entry.dataCentre === dataCentre);
      const reclaimable = here.filter(entry => entry.isReclaimable).length;
      return {dataCentre, lasting: here.length - reclaimable, reclaimable};
    });
  }
}

function nameSubject(service: string, dataCentre: string): string {
  return `duty scale ${service} ${dataCentre}`;
}
