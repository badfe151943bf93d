/** The open connections to other VMs, by VM; opens them when there is need. */

import type {GossipMessage} from '@radishyoke/core/membership/gossip_message';
import type {Member} from '@radishyoke/core/membership/member';
import type {VmId} from '@radishyoke/shared/ids';
import {
  openPeerLink,
  PeerLink,
  PeerLinkHandler,
  PeerLinkOptions,
} from '@radishyoke/wire/peer_link';

export interface PeerLinksHandler {
  linked(member: Member): void;
  received(from: VmId, message: GossipMessage): void;
}

/** Messages that wait for a connection to open; the oldest go first. */
const MAX_WAITING = 32;

interface Opening {
  readonly link: PeerLink;
  readonly waiting: GossipMessage[];
}

export class PeerLinks implements PeerLinkHandler {
  /** The newest open connection to each VM, whichever side opened it. */
  private readonly open = new Map<VmId, PeerLink>();
  private readonly opening = new Map<VmId, Opening>();
  private readonly dialled = new Map<string, PeerLink>();
  private readonly all = new Set<PeerLink>();

  constructor(
    private readonly options: PeerLinkOptions,
    private readonly handler: PeerLinksHandler,
  ) {}

  send(to: VmId, address: string, message: GossipMessage): void {
    const link = this.open.get(to);
    if (link) return link.send(message);
    const opening = this.opening.get(to) ?? this.begin(to, address);
    opening.waiting.push(message);
    if (opening.waiting.length > MAX_WAITING) opening.waiting.shift();
  }

  /** Connects to an address whose VM is not known. */
  dial(address: string): void {
    if (this.dialled.has(address)) return;
    this.dialled.set(address, openPeerLink(address, this.options, this));
  }

  /** Ends the connections to a VM, so that the next message opens another. */
  drop(vm: VmId): void {
    this.open.get(vm)?.close();
    this.opening.get(vm)?.link.close();
  }

  closeAll(): void {
    for (const link of this.all) link.close();
    for (const {link} of this.opening.values()) link.close();
    for (const link of this.dialled.values()) link.close();
  }

  opened(link: PeerLink, peer: Member): void {
    this.all.add(link);
    this.open.set(peer.id, link);
    this.handler.linked(peer);
    const opening = this.opening.get(peer.id);
    if (!opening) return;
    for (const message of opening.waiting.splice(0)) link.send(message);
    if (opening.link === link) this.opening.delete(peer.id);
  }

  received(link: PeerLink, message: GossipMessage): void {
    this.handler.received(link.peer!.id, message);
  }

  ended(link: PeerLink): void {
    this.all.delete(link);
    if (link.peer && this.open.get(link.peer.id) === link) {
      this.open.delete(link.peer.id);
    }
    for (const [vm, opening] of this.opening) {
      if (opening.link === link) this.opening.delete(vm);
    }
    for (const [address, dialled] of this.dialled) {
      if (dialled === link) this.dialled.delete(address);
    }
  }

  private begin(to: VmId, address: string): Opening {
    const link = openPeerLink(address, this.options, this);
    const opening = {link, waiting: []};
    this.opening.set(to, opening);
    return opening;
  }
}
