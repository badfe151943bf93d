/** The VMs that this VM exchanges messages with, including those it probes. */

import type {VmId} from '@radishyoke/shared/ids';
import {Contact} from './contact.js';
import type {Rumour} from './gossip_message.js';
import type {Member} from './member.js';
import {MEMBERSHIP_LIMITS, MEMBERSHIP_TIMING} from './membership_timing.js';
import {selectNeighbours} from './neighbour_view.js';

export class ContactTable {
  private readonly contacts = new Map<VmId, Contact>();
  private neighbourIds: readonly VmId[] = [];
  private areNeighboursStale = true;

  constructor(private readonly self: VmId) {}

  /** The VMs that this VM probes. */
  get neighbours(): readonly VmId[] {
    return this.neighbourIds;
  }

  get(id: VmId): Contact | undefined {
    return this.contacts.get(id);
  }

  entries(): Iterable<[VmId, Contact]> {
    return this.contacts;
  }

  /**
   * Returns the contact, created if there is room; neighbours always have room.
   */
  getOrCreate(id: VmId, nowMs: number): Contact | undefined {
    const existing = this.contacts.get(id);
    if (existing) return existing;
    const isFull = this.contacts.size >= MEMBERSHIP_LIMITS.contacts;
    if (isFull && !this.neighbourIds.includes(id)) return undefined;
    const probeDelayMs = id > this.self ? MEMBERSHIP_TIMING.probeDelayMs : 0;
    const contact = new Contact(nowMs, probeDelayMs);
    this.contacts.set(id, contact);
    return contact;
  }

  /** Removes and returns the contact of a VM that has failed. */
  remove(id: VmId): Contact | undefined {
    const contact = this.contacts.get(id);
    this.contacts.delete(id);
    return contact;
  }

  /** Must be called when a VM joined, left or changed its state. */
  markNeighboursStale(): void {
    this.areNeighboursStale = true;
  }

  /** Drops idle contacts and selects new neighbours if VMs changed. */
  refresh(
    self: Member,
    listMembers: () => readonly Member[],
    nowMs: number,
  ): void {
    this.dropIdle(nowMs);
    if (!this.areNeighboursStale) return;
    this.areNeighboursStale = false;
    const live = listMembers().filter(member => member.state !== 'failed');
    this.neighbourIds = selectNeighbours(self, live);
  }

  /** Restarts the probe of every contact from its first step. */
  restartProbes(nowMs: number): void {
    for (const contact of this.contacts.values()) {
      contact.recordMessage(nowMs - MEMBERSHIP_TIMING.probePeriodMs);
    }
  }

  /** Queues a rumour for all contacts except the one that it came from. */
  queueRumour(rumour: Rumour, source?: VmId): void {
    for (const [id, contact] of this.contacts) {
      if (id !== source) contact.outbox.add(rumour);
    }
  }

  /**
   * Returns the contacts with config records past `offset`, those whose last
   * message is most recent first.
   */
  listWithConfigPast(offset: number): readonly VmId[] {
    return [...this.contacts]
      .filter(([, contact]) => contact.configNext > offset)
      .sort(([, a], [, b]) => b.lastReceivedMs - a.lastReceivedMs)
      .map(([id]) => id);
  }

  private dropIdle(nowMs: number): void {
    for (const [id, contact] of this.contacts) {
      const idleMs = nowMs - contact.lastReceivedMs;
      if (idleMs < MEMBERSHIP_TIMING.contactIdleMs) continue;
      if (!this.neighbourIds.includes(id)) this.contacts.delete(id);
    }
  }
}
