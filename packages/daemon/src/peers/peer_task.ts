/**
 * The task that owns the connections to other VMs and the membership state. The
 * rest of the daemon publishes updates for the other VMs through it and
 * receives theirs from `events`.
 */

import type {ConfigTransfer} from '@radishyoke/core/rules/config_history';
import type {InFlight} from '@radishyoke/core/membership/load_delta';
import type {Member} from '@radishyoke/core/membership/member';
import {Membership} from '@radishyoke/core/membership/membership';
import type {
  MembershipAction,
  MembershipEvent,
} from '@radishyoke/core/membership/membership_message';
import type {DataCentreId, EndpointId, VmId} from '@radishyoke/shared/ids';
import {PeerCounters} from '@radishyoke/wire/peer_counters';
import type {PeerLinkOptions} from '@radishyoke/wire/peer_link';
import {PeerServer} from '@radishyoke/wire/peer_server';
import type {Stream} from 'most';
import {createMailbox, Mailbox} from '../mailbox.js';
import {PeerLinks} from './peer_links.js';

/** An event that the peer task reports to the rest of the daemon. */
export type PeerEvent =
  /** Serving VMs, including this one unless it is leaving. */
  | {readonly kind: 'vms'; readonly vms: readonly VmId[]}
  | {
      readonly kind: 'peer_load';
      readonly vm: VmId;
      readonly inFlight: InFlight;
    }
  | {readonly kind: 'suspects'; readonly fingerprints: readonly string[]}
  | {readonly kind: 'silent_endpoint'; readonly endpoint: EndpointId}
  | {readonly kind: 'config_transfer'; readonly transfer: ConfigTransfer}
  /** Highest next offset of stream `config` that any VM has reported. */
  | {readonly kind: 'config_seen'; readonly next: number};

/** An update that the rest of the daemon publishes to the other VMs. */
export type PeerUpdate = Extract<
  MembershipEvent,
  {
    readonly kind:
      | 'vm_list'
      | 'own_load'
      | 'own_suspects'
      | 'own_silent_endpoint'
      | 'config_offset'
      | 'leave';
  }
>;

export interface PeerTaskConfig {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  /** Address to listen on, `ip:port`; port 0 selects a free port. */
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly seeds: readonly string[];
  readonly sharedKey: string;
  readonly maxMessageBytes: number;
  /** Seed of the membership's random choices. */
  readonly seed: number;
  /**
   * Exports what a VM needs that lacks the config records from an offset on.
   */
  readonly exportConfig: (from: number) => ConfigTransfer;
}

const TICK_INTERVAL_MS = 100;

/** Connects one VM with the others. */
export class PeerTask {
  readonly counters = new PeerCounters();
  private readonly mailbox: Mailbox<PeerEvent> = createMailbox();
  private readonly links: PeerLinks;
  private readonly server: PeerServer;
  private membership: Membership | undefined;
  private self: Member;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly cfg: PeerTaskConfig) {
    const {vm: id, peerAddress, callerAddress, dataCentre} = cfg;
    const incarnation = Date.now();
    const state = 'alive';
    this.self = {
      id,
      peerAddress,
      callerAddress,
      dataCentre,
      incarnation,
      state,
    };
    const options: PeerLinkOptions = {
      sharedKey: cfg.sharedKey,
      maxMessageBytes: cfg.maxMessageBytes,
      describeSelf: () => this.membership?.listMembers()[0] ?? this.self,
      counters: this.counters,
    };
    this.links = new PeerLinks(options, {
      linked: member => this.handle({kind: 'linked', member}),
      received: (from, message) =>
        this.handle({kind: 'message', from, message}),
    });
    this.server = new PeerServer(options, this.links);
  }

  get events(): Stream<PeerEvent> {
    return this.mailbox.messages;
  }

  /**
   * Listens and starts to discover other VMs; resolves with the bound address.
   */
  async start(): Promise<string> {
    const peerAddress = await this.server.listen(this.cfg.peerAddress);
    this.self = {...this.self, peerAddress};
    const {seeds, seed} = this.cfg;
    this.membership = new Membership(
      {self: this.self, seeds},
      seed,
      Date.now(),
    );
    this.timer = setInterval(
      () => this.handle({kind: 'tick'}),
      TICK_INTERVAL_MS,
    );
    this.handle({kind: 'tick'});
    return peerAddress;
  }

  /** Passes an update on to the other VMs. */
  publish(update: PeerUpdate): void {
    this.handle(update);
  }

  /** Lists all known VMs, this one first. */
  listMembers(): readonly Member[] {
    return this.membership?.listMembers() ?? [this.self];
  }

  /** Closes all connections. `leave` should be published some time before. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.membership = undefined;
    this.links.closeAll();
    await this.server.close();
  }

  private handle(event: MembershipEvent): void {
    const actions = this.membership?.handle(event, Date.now()) ?? [];
    for (const action of actions) this.perform(action);
  }

  private perform(action: MembershipAction): void {
    switch (action.kind) {
      case 'send':
        return this.links.send(action.to, action.address, action.message);
      case 'relink':
        return this.links.closeLinksTo(action.vm);
      case 'dial':
        return this.links.dial(action.address);
      case 'serve_config': {
        const {to, from} = action;
        const transfer = this.cfg.exportConfig(from);
        return this.handle({kind: 'config_read', to, transfer});
      }
      default:
        this.mailbox.post(action);
    }
  }
}
