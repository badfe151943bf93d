/** The platform's VM list without its HTTP interface: readers see it with a delay. */

import type {EndpointInfo, VmInfo, VmList} from '@radishyoke/shared/endpoint';

const EMPTY: VmList = {vms: [], endpoints: []};

interface Snapshot {
  readonly atMs: number;
  readonly list: VmList;
}

/** The current list and the older ones that readers may still see. */
export class VmListModel {
  private snapshots: readonly Snapshot[];

  constructor(
    list: VmList = EMPTY,
    private lagMs = 0,
  ) {
    this.snapshots = [{atMs: -Infinity, list}];
  }

  setLag(lagMs: number): void {
    this.lagMs = lagMs;
  }

  /** Replaces the list; readers see it `lagMs` later. */
  update(list: VmList, nowMs: number): void {
    this.snapshots = [...this.snapshots, {atMs: nowMs, list}];
    this.dropUnseen(nowMs);
  }

  /** Adds an endpoint, or replaces the one with its id. */
  putEndpoint(endpoint: EndpointInfo, nowMs: number): void {
    const {vms, endpoints} = this.readLatest();
    const others = endpoints.filter(e => e.id !== endpoint.id);
    this.update({vms, endpoints: [...others, endpoint]}, nowMs);
  }

  /** Adds a VM, or replaces the one with its id. */
  putVm(vm: VmInfo, nowMs: number): void {
    const {vms, endpoints} = this.readLatest();
    const others = vms.filter(v => v.id !== vm.id);
    this.update({vms: [...others, vm], endpoints}, nowMs);
  }

  /** Removes the VM or endpoint with this id. */
  remove(id: string, nowMs: number): void {
    const {vms, endpoints} = this.readLatest();
    this.update(
      {
        vms: vms.filter(v => v.id !== id),
        endpoints: endpoints.filter(e => e.id !== id),
      },
      nowMs,
    );
  }

  /** Returns the list as readers see it at `nowMs`. */
  read(nowMs: number): VmList {
    this.dropUnseen(nowMs);
    return this.snapshots[0].list;
  }

  readLatest(): VmList {
    return this.snapshots[this.snapshots.length - 1].list;
  }

  private dropUnseen(nowMs: number): void {
    const shownFromMs = nowMs - this.lagMs;
    let first = 0;
    while (
      first + 1 < this.snapshots.length &&
      this.snapshots[first + 1].atMs <= shownFromMs
    )
      first++;
    this.snapshots = this.snapshots.slice(first);
  }
}
