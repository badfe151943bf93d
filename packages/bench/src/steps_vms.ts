/** VMs of the `steps` experiment: their schedulers and the messages between them. */

import type {
  Scheduler,
  SchedulerAction,
  SchedulerEvent,
} from '@radishyoke/core/scheduling/scheduler';
import type {EndpointInfo, LoadReport} from '@radishyoke/shared/endpoint';
import {toVmId, VmId} from '@radishyoke/shared/ids';
import type {VirtualClock} from './virtual_clock.js';

const TICK_MS = 250;
const REPORT_EVERY_MS = 1000;
const DIGEST_EVERY_MS = 500;
const DIGEST_DELAY_MS = 5;

/** Creates the scheduler of one VM. */
export type CreateScheduler = (vm: VmId, index: number) => Scheduler;

export class StepsVms {
  private readonly schedulers: readonly Scheduler[];
  private readonly ids: readonly VmId[];

  constructor(
    private readonly clock: VirtualClock,
    count: number,
    createScheduler: CreateScheduler,
    private readonly perform: (vm: number, action: SchedulerAction) => void,
  ) {
    this.ids = Array.from({length: count}, (_, i) => toVmId(`vm-${i}`));
    this.schedulers = this.ids.map(createScheduler);
  }

  start(
    endpoints: readonly EndpointInfo[],
    readReports: () => readonly LoadReport[],
  ): void {
    const dispatchReports = () => {
      for (const report of readReports())
        this.dispatchToAll({kind: 'load', report});
    };
    this.dispatchToAll({kind: 'vms', vms: this.ids});
    this.dispatchToAll({kind: 'endpoints', endpoints});
    dispatchReports();
    this.clock.scheduleEvery(REPORT_EVERY_MS, dispatchReports);
    this.clock.scheduleEvery(TICK_MS, () => this.dispatchToAll({kind: 'tick'}));
    this.clock.scheduleEvery(DIGEST_EVERY_MS, () => this.exchangeDigests());
  }

  get count(): number {
    return this.schedulers.length;
  }

  /** Passes an event to one VM's scheduler and performs the resulting actions. */
  dispatch(vm: number, event: SchedulerEvent): void {
    const actions = this.schedulers[vm].handle(event, this.clock.nowMs);
    for (const action of actions) this.apply(vm, action);
  }

  dispatchToAll(event: SchedulerEvent): void {
    for (let vm = 0; vm < this.count; vm++) this.dispatch(vm, event);
  }

  countWorkItems(): number {
    return this.schedulers.reduce((sum, s) => sum + s.countWorkItems(), 0);
  }

  private apply(vm: number, action: SchedulerAction): void {
    if (action.kind !== 'report_crash') return this.perform(vm, action);
    const {fingerprints} = action;
    this.clock.scheduleAfter(DIGEST_DELAY_MS, () => {
      for (let other = 0; other < this.count; other++) {
        if (other !== vm)
          this.dispatch(other, {kind: 'suspects', fingerprints});
      }
    });
  }

  private exchangeDigests(): void {
    this.schedulers.forEach((scheduler, from) => {
      const inFlight = new Map(
        scheduler
          .listEndpoints()
          .filter(endpoint => endpoint.inFlight > 0)
          .map(endpoint => [endpoint.id, endpoint.inFlight]),
      );
      const vm = this.ids[from];
      this.clock.scheduleAfter(DIGEST_DELAY_MS, () => {
        for (let to = 0; to < this.count; to++) {
          if (to !== from) this.dispatch(to, {kind: 'peer_load', vm, inFlight});
        }
      });
    });
  }
}
