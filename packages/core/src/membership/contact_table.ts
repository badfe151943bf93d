/** The VMs that this VM exchanges messages with, and the news each is still to be told. */

import type {VmId} from '@radishyoke/shared/ids';
import {Contact} from './contact.js';
import type {Rumour} from './gossip_message.js';
import type {Member} from './member.js';
import {MEMBERSHIP_LIMITS, MEMBERSHIP_TIMING} from './membership_timing.js';
import {selectNeighbours} from './neighbour_view.js';

export class ContactTable {
  private readonly contacts = new Map<VmId, Contact>();
  private chosen: readonly VmId[] = [];
  private isViewStale = true;

  constructor(private readonly self: VmId) {}

  /** The VMs that this one probes. */
  get neighbours(): readonly VmId[] {
    return this.chosen;
  }

  get(id: VmId): Contact | undefined {
    return this.contacts.get(id);
  }

  entries(): Iterable<[VmId, Contact]> {
    return this.contacts;
  }

  /** The contact, made if there is room; neighbours always find some. */
  touch(id: VmId, nowMs: number): Contact | undefined {
    const held = this.contacts.get(id);
    if (held) return held;
    const isFull = this.contacts.size >= MEMBERSHIP_LIMITS.contacts;
    if (isFull && !this.chosen.includes(id)) return undefined;
    const patienceMs = id > this.self ? MEMBERSHIP_TIMING.patienceMs : 0;
    const contact = new Contact(nowMs, patienceMs);
    this.contacts.set(id, contact);
    return contact;
  }

  /** Takes the contact out, for its VM has failed. */
  remove(id: VmId): Contact | undefined {
    const contact = this.contacts.get(id);
    this.contacts.delete(id);
    return contact;
  }

  /** To be called when a VM came, left or changed its state. */
  markViewStale(): void {
    this.isViewStale = true;
  }

  /** Drops idle contacts and chooses neighbours anew if VMs changed. */
  refresh(self: Member, list: () => readonly Member[], nowMs: number): void {
    this.dropIdle(nowMs);
    if (!this.isViewStale) return;
    this.isViewStale = false;
    const live = list().filter(member => member.state !== 'failed');
    this.chosen = selectNeighbours(self, live);
  }

  /** Every contact gets a whole new probe. */
  restartProbes(nowMs: number): void {
    for (const contact of this.contacts.values()) {
      contact.hear(nowMs - MEMBERSHIP_TIMING.periodMs);
    }
  }

  /** Has all contacts told but the one that the news came from. */
  tell(rumour: Rumour, source?: VmId): void {
    for (const [id, contact] of this.contacts) {
      if (id !== source) contact.outbox.add(rumour);
    }
  }

  /** Contacts known to hold config records past `offset`, last heard first. */
  listAhead(offset: number): readonly VmId[] {
    return [...this.contacts]
      .filter(([, contact]) => contact.configNext > offset)
      .sort(([, a], [, b]) => b.lastHeardMs - a.lastHeardMs)
      .map(([id]) => id);
  }

  private dropIdle(nowMs: number): void {
    for (const [id, contact] of this.contacts) {
      const idleMs = nowMs - contact.lastHeardMs;
      if (idleMs < MEMBERSHIP_TIMING.contactIdleMs) continue;
      if (!this.chosen.includes(id)) this.contacts.delete(id);
    }
  }
}
