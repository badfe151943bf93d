/**
 * Stores all endpoints that a VM uses, by group, updated from the VM list, load
 * reports, peers' digests and cache events.
 */

import type {EndpointInfo, LoadReport} from '@radishyoke/shared/endpoint';
import type {EndpointId, VmId} from '@radishyoke/shared/ids';
import {DrainRate} from './drain_rate.js';
import {EndpointPool} from './endpoint_pool.js';
import {EndpointState, VmView} from './endpoint_state.js';
import {FairQueue} from './fair_queue.js';
import type {RandomBits} from './random_bits.js';
import type {NamedGroup, WorkClass} from './scheduler.js';
import {SpeedModel} from './speed_model.js';
import type {WorkState} from './work_state.js';

/** The endpoints of one group and the work items waiting for them. */
export class EndpointGroup {
  readonly pool: EndpointPool;
  readonly speed = new SpeedModel();
  readonly queues: Readonly<Record<WorkClass, FairQueue<WorkState>>> = {
    interactive: new FairQueue<WorkState>(),
    rollout: new FairQueue<WorkState>(),
  };
  readonly drainRates: Readonly<Record<WorkClass, DrainRate>> = {
    interactive: new DrainRate(),
    rollout: new DrainRate(),
  };
  /** Work items that no endpoint with room can serve, for its weights or model. */
  parked: WorkState[] = [];
  /** Suspected work items waiting for an endpoint without another suspect. */
  quarantined: WorkState[] = [];
  /** Running work items that were started as suspects. */
  readonly runningSuspects = new Set<WorkState>();
  /** Whether rollouts are delayed to the next tick. */
  isGathering = false;

  constructor(random: RandomBits) {
    this.pool = new EndpointPool(random);
  }
}

export class EndpointDirectory {
  readonly groups = new Map<string, EndpointGroup>();
  readonly endpoints = new Map<EndpointId, EndpointState>();
  vmView: VmView;
  private namedGroups: readonly NamedGroup[] = [];
  private readonly memberships = new Map<EndpointState, Set<EndpointGroup>>();
  private readonly peerEndpoints = new Map<VmId, ReadonlySet<EndpointId>>();
  /** Endpoints that failed and become usable again when their backoff ends. */
  private readonly suspectedEndpoints = new Set<EndpointState>();

  constructor(
    self: VmId,
    private readonly random: RandomBits,
  ) {
    this.vmView = {self, vms: [self]};
  }

  getGroup(name: string): EndpointGroup {
    let group = this.groups.get(name);
    if (!group) {
      group = new EndpointGroup(this.random);
      this.groups.set(name, group);
    }
    return group;
  }

  /**
   * Returns the groups of an endpoint: the one of its label and the named
   * groups that contain it.
   */
  groupsOf(endpoint: EndpointState): Iterable<EndpointGroup> {
    return this.memberships.get(endpoint) ?? [];
  }

  /** Replaces the groups that the rules define by endpoint ids. */
  setNamedGroups(groups: readonly NamedGroup[], nowMs: number): void {
    this.namedGroups = groups;
    for (const endpoint of this.endpoints.values()) {
      this.updateMembership(endpoint);
      this.refresh(endpoint, nowMs);
    }
  }

  /** Applies the VM list; endpoints that are no longer listed are removed. */
  setEndpoints(infos: readonly EndpointInfo[], nowMs: number): void {
    const listed = new Set(infos.map(info => info.id));
    for (const endpoint of [...this.endpoints.values()]) {
      if (!listed.has(endpoint.id)) this.removeEndpoint(endpoint);
    }
    for (const info of infos) this.setEndpoint(info, nowMs);
  }

  recordReport(report: LoadReport, nowMs: number): EndpointState | undefined {
    const endpoint = this.endpoints.get(report.endpoint);
    if (!endpoint?.recordReport(report)) return undefined;
    this.refresh(endpoint, nowMs);
    return endpoint;
  }

  setVms(vms: readonly VmId[], nowMs: number): void {
    const self = this.vmView.self;
    this.vmView = {self, vms: vms.includes(self) ? vms : [...vms, self]};
    for (const endpoint of this.endpoints.values()) {
      endpoint.retainPeers(vms);
      this.refresh(endpoint, nowMs);
    }
  }

  recordPeerLoad(
    vm: VmId,
    inFlight: ReadonlyMap<EndpointId, number>,
    nowMs: number,
  ): void {
    if (vm === this.vmView.self) return;
    for (const id of this.peerEndpoints.get(vm) ?? []) {
      if (!inFlight.has(id)) this.recordPeerLoadAt(vm, id, 0, nowMs);
    }
    for (const [id, count] of inFlight)
      this.recordPeerLoadAt(vm, id, count, nowMs);
    this.peerEndpoints.set(vm, new Set(inFlight.keys()));
  }

  recordCache(id: EndpointId, prefixKey: string, cached: boolean): void {
    const endpoint = this.endpoints.get(id);
    if (!endpoint) return;
    if (cached) return this.recordPrefix(endpoint, prefixKey);
    for (const group of this.groupsOf(endpoint)) {
      group.pool.prefixes.remove(prefixKey, endpoint);
    }
  }

  /** Records that the endpoint caches the prefix, or will after prefilling. */
  recordPrefix(endpoint: EndpointState, prefixKey: string): void {
    for (const group of this.groupsOf(endpoint)) {
      group.pool.prefixes.record(prefixKey, endpoint);
    }
  }

  /** Must be called after any change of the endpoint. */
  refresh(endpoint: EndpointState, nowMs: number): void {
    if (this.endpoints.get(endpoint.id) !== endpoint) return;
    if (endpoint.health.isSuspected) this.suspectedEndpoints.add(endpoint);
    else this.suspectedEndpoints.delete(endpoint);
    for (const group of this.groupsOf(endpoint)) {
      group.pool.refresh(endpoint, this.vmView, nowMs);
    }
  }

  /** Refreshes and returns suspected endpoints; their backoff may have ended. */
  refreshSuspected(nowMs: number): readonly EndpointState[] {
    const endpoints = [...this.suspectedEndpoints];
    for (const endpoint of endpoints) this.refresh(endpoint, nowMs);
    return endpoints;
  }

  private setEndpoint(info: EndpointInfo, nowMs: number): void {
    let endpoint = this.endpoints.get(info.id);
    if (!endpoint) {
      endpoint = new EndpointState(info);
      this.endpoints.set(info.id, endpoint);
    }
    endpoint.info = info;
    endpoint.health.recordListed(info);
    this.updateMembership(endpoint);
    this.refresh(endpoint, nowMs);
  }

  private removeEndpoint(endpoint: EndpointState): void {
    this.endpoints.delete(endpoint.id);
    this.suspectedEndpoints.delete(endpoint);
    for (const group of this.groupsOf(endpoint)) group.pool.remove(endpoint);
    this.memberships.delete(endpoint);
  }

  private updateMembership(endpoint: EndpointState): void {
    const names = this.namedGroups
      .filter(group => group.endpoints.includes(endpoint.id))
      .map(group => group.name);
    const groups = new Set(
      [endpoint.info.group, ...names].map(name => this.getGroup(name)),
    );
    for (const group of this.groupsOf(endpoint)) {
      if (!groups.has(group)) group.pool.remove(endpoint);
    }
    for (const group of groups) group.pool.add(endpoint);
    this.memberships.set(endpoint, groups);
  }

  private recordPeerLoadAt(
    vm: VmId,
    id: EndpointId,
    count: number,
    nowMs: number,
  ): void {
    const endpoint = this.endpoints.get(id);
    if (!endpoint) return;
    endpoint.recordPeerLoad(vm, count);
    this.refresh(endpoint, nowMs);
  }
}
