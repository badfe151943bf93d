/**
 * The task that watches endpoints: it polls the VM list and the load report of
 * each endpoint and passes both to the scheduler.
 */

import type {Dispatcher as HttpDispatcher} from 'undici';
import type {RuleGroup} from '@radishyoke/core/rules/rule';
import type {VmListClient} from '@radishyoke/stores/vm_list_client';
import {
  EndpointInfo,
  LoadReport,
  loadReportSchema,
  VmInfo,
} from '@radishyoke/shared/endpoint';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {Dispatcher} from './dispatcher.js';
import type {Logger} from '../logger.js';
import {createMailbox} from '../mailbox.js';

/** Time between two polls of the VM list and of each endpoint, ms. */
const pollIntervalMs = 1000;
const reportTimeoutMs = 1000;

export interface EndpointTaskOptions {
  readonly vmList: VmListClient;
  readonly dispatcher: Dispatcher;
  readonly http: HttpDispatcher;
  readonly logger: Logger;
  readonly listGroups: () => readonly RuleGroup[];
}

export class EndpointTask {
  private readonly vmMailbox = createMailbox<readonly VmInfo[]>();
  private readonly reports = new Map<EndpointId, LoadReport>();
  private endpoints: readonly EndpointInfo[] = [];
  private vms: readonly VmInfo[] = [];
  private timer: NodeJS.Timeout | undefined;
  private readonly drainedIds = new Set<EndpointId>();
  private stopped = false;

  /** The service's own VMs, published after each read of the VM list. */
  readonly vmLists = this.vmMailbox.messages;

  constructor(private readonly options: EndpointTaskOptions) {}

  /** Reads the list once, then keeps polling in the background. */
  async start(): Promise<void> {
    await this.poll();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  listEndpoints(): readonly EndpointInfo[] {
    return this.endpoints;
  }

  listVms(): readonly VmInfo[] {
    return this.vms;
  }

  /**
   * Stops sending new work from this VM to the endpoint `id`, as if the VM list
   * showed it as leaving. Returns whether the VM list contains it.
   */
  drain(id: EndpointId): boolean {
    if (!this.endpoints.some(endpoint => endpoint.id === id)) return false;
    this.drainedIds.add(id);
    this.publishEndpoints(this.endpoints);
    return true;
  }

  findReport(id: EndpointId): LoadReport | undefined {
    return this.reports.get(id);
  }

  private async poll(): Promise<void> {
    await this.readList();
    // Not awaited: one slow endpoint must not delay the reports of the others.
    for (const endpoint of this.endpoints) void this.readReport(endpoint);
    if (this.stopped) return;
    this.timer = setTimeout(() => void this.poll(), pollIntervalMs);
  }

  private async readList(): Promise<void> {
    const {vmList, logger} = this.options;
    const list = await vmList.fetch({timeoutMs: reportTimeoutMs});
    if (!list.ok) {
      logger.log('warn', 'VM list unavailable', {detail: list.error.detail});
      return;
    }
    this.vms = list.value.vms;
    this.publishEndpoints(list.value.endpoints);
    this.vmMailbox.post(this.vms);
  }

  private publishEndpoints(endpoints: readonly EndpointInfo[]): void {
    this.endpoints = endpoints.map(endpoint => ({
      ...endpoint,
      state: this.drainedIds.has(endpoint.id) ? 'leaving' : endpoint.state,
    }));
    const {dispatcher, listGroups} = this.options;
    dispatcher.post({kind: 'groups', groups: listGroups()});
    dispatcher.post({kind: 'endpoints', endpoints: this.endpoints});
  }

  private async readReport(endpoint: EndpointInfo): Promise<void> {
    const report = await this.fetchReport(endpoint);
    if (!report || this.stopped) return;
    this.reports.set(endpoint.id, report);
    this.options.dispatcher.post({kind: 'load', report});
  }

  private async fetchReport(
    endpoint: EndpointInfo,
  ): Promise<LoadReport | undefined> {
    try {
      const res = await this.options.http.request({
        origin: `http://${endpoint.address}`,
        method: 'GET',
        path: '/load',
        headersTimeout: reportTimeoutMs,
        bodyTimeout: reportTimeoutMs,
      });
      const parsed = loadReportSchema.safeParse(await res.body.json());
      return parsed.success
        ? {...parsed.data, endpoint: endpoint.id}
        : undefined;
    } catch {
      // A missing report does not mark an endpoint as dead: only attempts do.
      return undefined;
    }
  }
}
