/**
 * The task that orders engines to load new weight versions. For each model,
 * only the VM that holds the lease on orders sends them, with the lease's
 * fencing number.
 */

import type {Dispatcher as HttpDispatcher} from 'undici';
import {buildOrdersLeaseName} from '@radishyoke/core/ledger/lease_table';
import {
  DEFAULT_ROLLOUT_OPTIONS,
  LoadOrder,
  OrderOutcome,
  WeightRollout,
} from '@radishyoke/core/steps/weight_rollout';
import type {WeightStoreClient} from '@radishyoke/stores/weight_store_client';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import type {EndpointTask} from './endpoint_task.js';
import type {HeldLease} from '../log/lease_holder.js';
import type {LogTask} from '../log/log_task.js';
import type {Logger} from '../logger.js';

const pollIntervalMs = 500;
const callTimeoutMs = 1000;
const statusStaleFencing = 409;
const statusAccepted = 202;

export interface OrderTaskOptions {
  readonly log: LogTask;
  readonly endpoints: EndpointTask;
  readonly weightStore: WeightStoreClient;
  /** Fetches per second the weight store allows for all engines together. */
  readonly fetchesPerSecond: number;
  readonly http: HttpDispatcher;
  readonly logger: Logger;
}

/** A model's weight rollout while this VM holds the lease on its orders. */
interface HeldOrders {
  readonly lease: HeldLease;
  readonly rollout: WeightRollout;
}

export class OrderTask {
  private readonly heldOrders = new Map<string, HeldOrders>();
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly options: OrderTaskOptions) {}

  start(): void {
    this.timer = setTimeout(() => void this.poll(), pollIntervalMs);
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
    for (const [model, engines] of models)
      await this.orderWeights(model, engines);
    if (this.stopped) return;
    this.timer = setTimeout(() => void this.poll(), pollIntervalMs);
  }

  private async orderWeights(
    model: string,
    engines: readonly EndpointInfo[],
  ): Promise<void> {
    const held = await this.acquireOrders(model);
    if (!held) return;
    const versions = await this.options.weightStore.listVersions(model, {
      timeoutMs: callTimeoutMs,
    });
    const newest = versions.ok ? versions.value.at(-1)?.version : undefined;
    if (newest === undefined) return;
    const reported = engines.flatMap(engine => {
      const report = this.options.endpoints.findReport(engine.id);
      if (!report) return [];
      return [{id: engine.id, weightVersion: report.weightVersion}];
    });
    for (const order of held.rollout.plan(reported, newest, Date.now())) {
      const engine = engines.find(entry => entry.id === order.engine);
      if (engine) void this.sendOrder(engine, order, held.rollout);
    }
  }

  private async acquireOrders(model: string): Promise<HeldOrders | undefined> {
    const {log} = this.options;
    const name = buildOrdersLeaseName(model);
    const held = this.heldOrders.get(name);
    if (held && !held.rollout.isSuperseded && log.holds(held.lease)) {
      return held;
    }
    this.heldOrders.delete(name);
    if (held?.rollout.isSuperseded) await log.release(held.lease);
    const current = log.state.leases.find(name);
    const isHeld =
      current && log.state.leases.isHeld(current, log.estimateLogNowMs());
    // This VM may have assumed that its session expired, for example when its
    // log connections went silent, although the session was renewed in time.
    // The log then still names it as the holder. Treating that as another VM's
    // lease would stop weight orders permanently.
    if (isHeld && !log.isOwn(current)) return undefined;
    const claimed = await log.claim(name);
    if (!claimed.ok) return undefined;
    const fencing = claimed.value;
    const acquired = {
      lease: {lease: name, fencing},
      rollout: new WeightRollout(fencing, {
        ...DEFAULT_ROLLOUT_OPTIONS,
        fetchesPerSecond: this.options.fetchesPerSecond,
      }),
    };
    this.heldOrders.set(name, acquired);
    return acquired;
  }

  private async sendOrder(
    engine: EndpointInfo,
    order: LoadOrder,
    rollout: WeightRollout,
  ): Promise<void> {
    const outcome = await this.postOrder(engine, order);
    rollout.recordOutcome(order, outcome, Date.now());
    const {version, fencing} = order;
    this.options.logger.log(
      outcome === 'begun' ? 'info' : 'warn',
      'weights ordered',
      {endpoint: engine.id, version, fencing, outcome},
    );
  }

  private async postOrder(
    engine: EndpointInfo,
    order: LoadOrder,
  ): Promise<OrderOutcome> {
    const {fencing, version} = order;
    try {
      const res = await this.options.http.request({
        origin: `http://${engine.address}`,
        method: 'POST',
        path: '/orders',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({fencing, kind: 'load_version', version}),
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs,
      });
      await res.body.dump();
      if (res.statusCode === statusAccepted) return 'begun';
      return res.statusCode === statusStaleFencing ? 'stale_fencing' : 'failed';
    } catch {
      return 'unknown';
    }
  }
}
