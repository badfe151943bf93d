/**
 * The task that brings new weight versions to the engines. For each model the
 * VM that holds the lease on orders gives them, under its fencing number.
 */

import type {Dispatcher as HttpDispatcher} from 'undici';
import {nameOrdersLease} from '@radishyoke/core/lease_table';
import type {WeightStoreClient} from '@radishyoke/platform/weight_store_client';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {EndpointTask} from './endpoint_task.js';
import type {HeldLease, LogTask} from './log_task.js';
import type {Logger} from './logger.js';

const pollMs = 500;
const callTimeoutMs = 1000;
/** Time an engine has for a swap before it is ordered again, ms. */
const swapTimeoutMs = 15_000;
/** Part of a model's engines that may load at once, so that others go on. */
const waveShare = 1 / 3;

export interface OrderTaskOptions {
  readonly log: LogTask;
  readonly endpoints: EndpointTask;
  readonly weightStore: WeightStoreClient;
  readonly http: HttpDispatcher;
  readonly logger: Logger;
}

interface OpenOrder {
  readonly version: number;
  readonly sentAtMs: number;
}

export class OrderTask {
  private readonly held = new Map<string, HeldLease>();
  private readonly orders = new Map<EndpointId, OpenOrder>();
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly options: OrderTaskOptions) {}

  start(): void {
    this.timer = setTimeout(() => void this.poll(), pollMs);
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private async poll(): Promise<void> {
    const models = new Map<string, EndpointInfo[]>();
    for (const endpoint of this.options.endpoints.listEndpoints()) {
      if (endpoint.kind !== 'engine' || !endpoint.model) continue;
      if (endpoint.state !== 'live') continue;
      const engines = models.get(endpoint.model) ?? [];
      models.set(endpoint.model, [...engines, endpoint]);
    }
    for (const [model, engines] of models) await this.serve(model, engines);
    if (this.stopped) return;
    this.timer = setTimeout(() => void this.poll(), pollMs);
  }

  private async serve(
    model: string,
    engines: readonly EndpointInfo[],
  ): Promise<void> {
    const lease = await this.acquire(model);
    if (!lease) return;
    const versions = await this.options.weightStore.listVersions(model, {
      timeoutMs: callTimeoutMs,
    });
    const newest = versions.ok ? versions.value.at(-1)?.version : undefined;
    if (newest === undefined) return;
    const room = this.countRoom(engines);
    const behind = engines.filter(engine => this.isBehind(engine, newest));
    for (const engine of behind.slice(0, room)) {
      void this.order(engine, newest, lease);
    }
  }

  private async acquire(model: string): Promise<HeldLease | undefined> {
    const {log} = this.options;
    const name = nameOrdersLease(model);
    const held = this.held.get(name);
    if (held && log.holds(held)) return held;
    this.held.delete(name);
    const current = log.state.leases.find(name);
    if (current && log.state.leases.isHeld(current, log.estimateLogNowMs())) {
      return undefined;
    }
    const claimed = await log.claim(name);
    if (!claimed.ok) return undefined;
    const lease = {lease: name, fencing: claimed.value};
    this.held.set(name, lease);
    return lease;
  }

  private countRoom(engines: readonly EndpointInfo[]): number {
    const most = Math.max(1, Math.floor(engines.length * waveShare));
    const loading = engines.filter(engine => this.isLoading(engine)).length;
    return Math.max(0, most - loading);
  }

  private isLoading(engine: EndpointInfo): boolean {
    const order = this.orders.get(engine.id);
    if (!order) return false;
    if (this.reportedVersion(engine) >= order.version) return false;
    return Date.now() - order.sentAtMs < swapTimeoutMs;
  }

  private isBehind(engine: EndpointInfo, newest: number): boolean {
    return this.reportedVersion(engine) < newest && !this.isLoading(engine);
  }

  private reportedVersion(engine: EndpointInfo): number {
    const report = this.options.endpoints.findReport(engine.id);
    return report?.weightVersion ?? 0;
  }

  private async order(
    engine: EndpointInfo,
    version: number,
    lease: HeldLease,
  ): Promise<void> {
    this.orders.set(engine.id, {version, sentAtMs: Date.now()});
    const {http, logger} = this.options;
    const {fencing} = lease;
    const fields = {endpoint: engine.id, version, fencing};
    try {
      const res = await http.request({
        origin: `http://${engine.address}`,
        method: 'POST',
        path: '/orders',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({fencing, kind: 'load_version', version}),
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs,
      });
      await res.body.dump();
      logger.log('info', 'weights ordered', {
        ...fields,
        status: res.statusCode,
      });
      if (res.statusCode !== 202) this.orders.delete(engine.id);
    } catch {
      // The order may have arrived: the engine's own report tells, and after
      // the swap timeout it is ordered again.
      logger.log('warn', 'weight order unanswered', fields);
    }
  }
}
