/**
 * What a VM tells its peers and does with what they tell: load, crashes,
 * configuration and which VMs live.
 */

import type {VmInfo} from '@radishyoke/shared/endpoint';
import type {VmId} from '@radishyoke/shared/ids';
import type {Dispatcher} from '../scheduling/dispatcher.js';
import type {EndpointTask} from '../scheduling/endpoint_task.js';
import type {LogTask, PeerView} from '../log/log_task.js';
import type {PeerEvent, PeerTask} from './peer_task.js';
import type {StepDirectory} from '../steps/step_directory.js';

/** How often the other VMs are told what this one has in flight, ms. */
const loadReportIntervalMs = 500;

export interface PeerWiringOptions {
  readonly vm: VmId;
  readonly peers: PeerTask;
  readonly log: LogTask;
  readonly dispatcher: Dispatcher;
  readonly endpoints: EndpointTask;
  readonly directory: StepDirectory;
}

export class PeerWiring {
  private timer: NodeJS.Timeout | undefined;
  /** Highest offset of the configuration that any peer told. */
  private highestConfigNext = 0;
  /** VMs that the membership counts as live, this one left out. */
  private livePeers: readonly VmId[] = [];

  constructor(private readonly options: PeerWiringOptions) {}

  start(): void {
    const {endpoints, peers, log, dispatcher} = this.options;
    void endpoints.vmLists.observe(vms =>
      peers.publish({kind: 'vm_list', vms}),
    );
    void log.changes.observe(change => {
      if (change.kind === 'state' || change.kind === 'health') return;
      peers.publish({kind: 'config_offset', next: log.config.next});
    });
    void dispatcher.notices.observe(({endpoint, fingerprints}) => {
      peers.publish({kind: 'own_suspects', fingerprints});
      void log.append({kind: 'crash_seen', endpoint, fingerprints});
    });
    // A crash that the peers' messages lost is still found in the log.
    void log.changes.observe(change => {
      if (change.kind !== 'state') return;
      const {value} = change.judged.record;
      if (value.kind !== 'crash_seen') return;
      if (log.isOwn(value.stamp)) return;
      const {fingerprints} = value;
      dispatcher.post({kind: 'suspects', fingerprints});
    });
    void peers.events.observe(event => this.onPeerEvent(event));
    this.timer = setInterval(() => {
      const inFlight = new Map(dispatcher.countInFlight());
      peers.publish({kind: 'own_load', inFlight});
    }, loadReportIntervalMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** What is known of the other VMs, for judging whether this one is current. */
  describePeers(): PeerView {
    const {endpoints, vm} = this.options;
    const others = endpoints
      .listVms()
      .filter(entry => entry.state === 'live' && entry.id !== vm);
    return {
      otherVmCount: others.length,
      livePeers: this.livePeers,
      highestConfigNext: this.highestConfigNext,
    };
  }

  /** `ip:port` of another VM's caller listener. */
  findCallerAddress(id: VmId): string | undefined {
    const {endpoints, peers} = this.options;
    const isIt = (entry: Pick<VmInfo, 'id'>) => entry.id === id;
    // The VM list lags: a VM that owns a step already may not be on it yet.
    const entry =
      endpoints.listVms().find(isIt) ?? peers.listMembers().find(isIt);
    return entry?.callerAddress;
  }

  private onPeerEvent(event: PeerEvent): void {
    const {dispatcher, log} = this.options;
    switch (event.kind) {
      case 'vms':
        return this.setLiveVms(event.vms);
      case 'peer_load':
      case 'suspects':
        return dispatcher.post(event);
      case 'config_transfer':
        log.importConfig(event.transfer);
        return;
      case 'config_seen':
        this.highestConfigNext = event.next;
        return;
      case 'silent_endpoint':
        // Connections of this VM's own may be well; its attempts tell.
        return;
    }
  }

  private setLiveVms(vms: readonly VmId[]): void {
    const {vm, dispatcher, directory, log} = this.options;
    this.livePeers = vms.filter(id => id !== vm);
    const live = vms.includes(vm) ? vms : [...vms, vm];
    dispatcher.post({kind: 'vms', vms: live});
    directory.setLiveVms(live);
    log.setLiveVms(live.length);
  }
}
