/**
 * Every VM that this VM knows by name, with what it believes of each. Bounded:
 * a VM beyond the capacity is not taken in, whoever tells of it.
 */

import type {VmInfo} from '@radishyoke/shared/endpoint';
import type {VmId} from '@radishyoke/shared/ids';
import {Member, supersedes} from './member.js';
import {MEMBERSHIP_LIMITS} from './membership_timing.js';

interface DirectoryEntry {
  readonly member: Member;
  /** Unix ms at which the belief was taken. */
  readonly sinceMs: number;
}

/** `refreshed`: newer news of the same state. */
export type MergeResult = 'ignored' | 'refreshed' | 'changed';

export class Directory {
  private readonly entries = new Map<VmId, DirectoryEntry>();
  private readonly suspects = new Set<VmId>();
  private listed: ReadonlyMap<VmId, VmInfo> = new Map();

  constructor(private readonly self: VmId) {}

  get(id: VmId): Member | undefined {
    return this.entries.get(id)?.member;
  }

  list(): readonly Member[] {
    return [...this.entries.values()].map(entry => entry.member);
  }

  /** Whether any VM not failed is known otherwise than from the VM list. */
  hasHeard(): boolean {
    for (const {member} of this.entries.values()) {
      if (member.incarnation > 0 && member.state !== 'failed') return true;
    }
    return false;
  }

  size(): number {
    return this.entries.size;
  }

  /** Takes `news` in if it is newer than what is held. */
  merge(news: Member, nowMs: number): MergeResult {
    const held = this.entries.get(news.id)?.member;
    if (held && !supersedes(news, held)) return 'ignored';
    if (!held && news.state === 'failed') return 'ignored';
    const full = this.entries.size >= MEMBERSHIP_LIMITS.directory;
    if (!held && full) return 'ignored';
    this.entries.set(news.id, {member: news, sinceMs: nowMs});
    if (news.state === 'suspect') this.suspects.add(news.id);
    else this.suspects.delete(news.id);
    return held?.state === news.state ? 'refreshed' : 'changed';
  }

  /** Takes the VM list in; returns the beliefs whose state changed by it. */
  applyList(vms: readonly VmInfo[], nowMs: number): readonly Member[] {
    const before = this.listed;
    this.listed = new Map(vms.map(vm => [vm.id, vm]));
    const news = vms
      .filter(vm => vm.id !== this.self)
      .map(vm => this.toNews(vm, before.get(vm.id)));
    return news.filter(member => this.merge(member, nowMs) === 'changed');
  }

  /** VMs suspected since `beforeMs` or longer. */
  listSuspectedSince(beforeMs: number): readonly Member[] {
    return [...this.suspects]
      .map(id => this.entries.get(id)!)
      .filter(entry => entry.sinceMs <= beforeMs)
      .map(entry => entry.member);
  }

  /** Gives every suspect its whole time again. */
  restartSuspicions(nowMs: number): void {
    for (const id of this.suspects) {
      const {member} = this.entries.get(id)!;
      this.entries.set(id, {member, sinceMs: nowMs});
    }
  }

  /** Drops VMs that failed before `beforeMs` and that the VM list does not name. */
  forget(beforeMs: number): void {
    for (const [id, {member, sinceMs}] of this.entries) {
      const old = member.state === 'failed' && sinceMs <= beforeMs;
      if (old && !this.listed.has(id)) this.entries.delete(id);
    }
  }

  /**
   * The list lags: it may call a VM leaving whose process was replaced since.
   * It shows as a new VM that gets no work. Only the change to leaving counts,
   * and only against the incarnation known when it was seen.
   */
  private toNews(vm: VmInfo, before: VmInfo | undefined): Member {
    const {id, peerAddress, callerAddress, dataCentre} = vm;
    const began = vm.state === 'leaving' && before?.state === 'live';
    const incarnation = began ? (this.get(id)?.incarnation ?? 0) : 0;
    const state = vm.state === 'leaving' ? 'leaving' : 'alive';
    return {
      id,
      peerAddress,
      callerAddress,
      dataCentre,
      incarnation,
      state,
    };
  }
}
