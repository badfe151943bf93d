/** Manages the connections to other VMs and opens them on demand. */

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
  /** A connection to a VM was established, whichever side opened it. */
  linked(member: Member): void;
  received(from: VmId, message: GossipMessage): void;
}

/**
 * Maximum number of messages that wait for a connection to open; the oldest are
 * dropped first.
 */
const MAX_WAITING_MESSAGES = 32;

interface OpeningLink {
  readonly link: PeerLink;
  readonly waiting: GossipMessage[];
}

export class PeerLinks implements PeerLinkHandler {
  /** The newest open connection to each VM, whichever side opened it. */
  private readonly openLinks = new Map<VmId, PeerLink>();
  private readonly openingLinks = new Map<VmId, OpeningLink>();
  private readonly dialledLinks = new Map<string, PeerLink>();
  private readonly allLinks = new Set<PeerLink>();

  constructor(
    private readonly options: PeerLinkOptions,
    private readonly handler: PeerLinksHandler,
  ) {}

  /** Sends a message, opening a connection to `address` if there is none. */
  send(to: VmId, address: string, message: GossipMessage): void {
    const link = this.openLinks.get(to);
    if (link) return link.send(message);
    const opening = this.openingLinks.get(to) ?? this.openLink(to, address);
    opening.waiting.push(message);
    if (opening.waiting.length > MAX_WAITING_MESSAGES) opening.waiting.shift();
  }

  /** Connects to the VM at an address before its id is known. */
  dial(address: string): void {
    if (this.dialledLinks.has(address)) return;
    this.dialledLinks.set(address, openPeerLink(address, this.options, this));
  }

  /**
   * Closes the connections to a VM, so that the next message opens a new one.
   */
  closeLinksTo(vm: VmId): void {
    this.openLinks.get(vm)?.close();
    this.openingLinks.get(vm)?.link.close();
  }

  closeAll(): void {
    for (const link of this.allLinks) link.close();
    for (const {link} of this.openingLinks.values()) link.close();
    for (const link of this.dialledLinks.values()) link.close();
  }

  onOpened(link: PeerLink, peer: Member): void {
    this.allLinks.add(link);
    this.openLinks.set(peer.id, link);
    this.handler.linked(peer);
    const opening = this.openingLinks.get(peer.id);
    if (!opening) return;
    for (const message of opening.waiting.splice(0)) link.send(message);
    if (opening.link === link) this.openingLinks.delete(peer.id);
  }

  onMessage(link: PeerLink, message: GossipMessage): void {
    this.handler.received(link.peer!.id, message);
  }

  onEnded(link: PeerLink): void {
    this.allLinks.delete(link);
    if (link.peer && this.openLinks.get(link.peer.id) === link) {
      this.openLinks.delete(link.peer.id);
    }
    for (const [vm, opening] of this.openingLinks) {
      if (opening.link === link) this.openingLinks.delete(vm);
    }
    for (const [address, dialled] of this.dialledLinks) {
      if (dialled === link) this.dialledLinks.delete(address);
    }
  }

  private openLink(to: VmId, address: string): OpeningLink {
    const link = openPeerLink(address, this.options, this);
    const opening = {link, waiting: []};
    this.openingLinks.set(to, opening);
    return opening;
  }
}
