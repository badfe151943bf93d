/**
 * Directory of the VMs that were reported to this VM, with its current belief
 * about each. A VM beyond the capacity is ignored, whoever reports it.
 */

import type {VmInfo} from '@radishyoke/shared/endpoint';
import type {VmId} from '@radishyoke/shared/ids';
import {Member, supersedes} from './member.js';
import {MEMBERSHIP_LIMITS} from './membership_timing.js';

interface DirectoryEntry {
  readonly member: Member;
  /** Unix ms at which the belief was recorded. */
  readonly sinceMs: number;
}

/** `refreshed`: a newer belief with the same state. */
export type MergeResult = 'ignored' | 'refreshed' | 'changed';

export class MemberDirectory {
  private readonly entries = new Map<VmId, DirectoryEntry>();
  private readonly suspectIds = new Set<VmId>();
  private listedVms: ReadonlyMap<VmId, VmInfo> = new Map();

  constructor(private readonly self: VmId) {}

  get(id: VmId): Member | undefined {
    return this.entries.get(id)?.member;
  }

  list(): readonly Member[] {
    return [...this.entries.values()].map(entry => entry.member);
  }

  /**
   * Whether any VM that has not failed was reported by itself or another VM,
   * not only by the VM list.
   */
  hasConfirmedMember(): boolean {
    for (const {member} of this.entries.values()) {
      if (member.incarnation > 0 && member.state !== 'failed') return true;
    }
    return false;
  }

  size(): number {
    return this.entries.size;
  }

  /** Records `update` if it supersedes the current belief. */
  merge(update: Member, nowMs: number): MergeResult {
    const current = this.entries.get(update.id)?.member;
    if (current && !supersedes(update, current)) return 'ignored';
    if (!current && update.state === 'failed') return 'ignored';
    const isFull = this.entries.size >= MEMBERSHIP_LIMITS.directory;
    if (!current && isFull) return 'ignored';
    this.entries.set(update.id, {member: update, sinceMs: nowMs});
    if (update.state === 'suspect') this.suspectIds.add(update.id);
    else this.suspectIds.delete(update.id);
    return current?.state === update.state ? 'refreshed' : 'changed';
  }

  /** Applies the VM list; returns the beliefs whose state it changed. */
  applyVmList(vms: readonly VmInfo[], nowMs: number): readonly Member[] {
    const previous = this.listedVms;
    this.listedVms = new Map(vms.map(vm => [vm.id, vm]));
    const updates = vms
      .filter(vm => vm.id !== this.self)
      .map(vm => this.toUpdate(vm, previous.get(vm.id)));
    return updates.filter(member => this.merge(member, nowMs) === 'changed');
  }

  /** VMs that have been suspected since `beforeMs` or earlier. */
  listSuspectedSince(beforeMs: number): readonly Member[] {
    return [...this.suspectIds]
      .map(id => this.entries.get(id)!)
      .filter(entry => entry.sinceMs <= beforeMs)
      .map(entry => entry.member);
  }

  /** Restarts the time that every suspected VM has to refute. */
  restartSuspicions(nowMs: number): void {
    for (const id of this.suspectIds) {
      const {member} = this.entries.get(id)!;
      this.entries.set(id, {member, sinceMs: nowMs});
    }
  }

  /**
   * Drops VMs that failed before `beforeMs` and are not on the VM list.
   */
  dropFailed(beforeMs: number): void {
    for (const [id, {member, sinceMs}] of this.entries) {
      const isExpired = member.state === 'failed' && sinceMs <= beforeMs;
      if (isExpired && !this.listedVms.has(id)) this.entries.delete(id);
    }
  }

  /**
   * Converts an entry of the VM list to a belief. The list lags, so it may
   * still call a VM leaving whose process was replaced, and the new process
   * would get no work. So only a change to leaving counts, and only for the
   * incarnation in the directory at that time.
   */
  private toUpdate(vm: VmInfo, previous: VmInfo | undefined): Member {
    const {id, peerAddress, callerAddress, dataCentre} = vm;
    const startedLeaving = vm.state === 'leaving' && previous?.state === 'live';
    const incarnation = startedLeaving ? (this.get(id)?.incarnation ?? 0) : 0;
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
