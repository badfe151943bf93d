/**
 * Connects the peer task to the other tasks of a VM: publishes load, crashes
 * and configuration offsets to the peers and applies what they publish,
 * including which VMs are live.
 */

import type {VmInfo} from '@radishyoke/shared/endpoint';
import type {VmId} from '@radishyoke/shared/ids';
import type {Dispatcher} from '../scheduling/dispatcher.js';
import type {EndpointTask} from '../scheduling/endpoint_task.js';
import type {LogTask, PeerView} from '../log/log_task.js';
import type {PeerEvent, PeerTask} from './peer_task.js';
import type {StepDirectory} from '../steps/step_directory.js';

/** Interval at which this VM publishes its work in flight, ms. */
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
  /** Highest next offset of stream `config` that any peer has reported. */
  private highestConfigNext = 0;
  /** VMs that the membership considers live, excluding this one. */
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
    // A crash whose peer message was lost is still read from the log.
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

  /**
   * Describes the other VMs, for assessing whether this VM's configuration is
   * current.
   */
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

  /** Returns the `ip:port` on which another VM listens for callers. */
  findCallerAddress(id: VmId): string | undefined {
    const {endpoints, peers} = this.options;
    const hasId = (entry: Pick<VmInfo, 'id'>) => entry.id === id;
    // The VM list lags behind: a VM that owns a step may not be on it yet.
    const entry =
      endpoints.listVms().find(hasId) ?? peers.listMembers().find(hasId);
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
        // Ignored: this VM's own connections to the endpoint may still work, and
        // its own attempts show whether they do.
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
