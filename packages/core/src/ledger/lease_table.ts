/** Lease holders and their fencing numbers, folded from the log. */

import type {IncarnationId, VmId} from '@radishyoke/shared/ids';
import type {Stamp} from '@radishyoke/shared/log_record';
import type {SessionTable} from './session_table.js';
import {buildWriterKey} from './writer_table.js';
import {type Verdict, voidBecause} from './verdict.js';

/** The last accepted claim on a lease. */
export interface Lease {
  readonly name: string;
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  /** Offset of the accepted claim. */
  readonly fencing: number;
  /** Adjusted log time of the last accepted claim or release. */
  readonly changedAtMs: number;
  /** Released by its holder; older fencing numbers stay invalid. */
  readonly released: boolean;
}

/** Returns the name of the lease on a step. */
export const buildStepLeaseName = (stepKey: string) => `step:${stepKey}`;
/**
 * Returns the name of the lease on sending orders to the engines of a model.
 */
export const buildOrdersLeaseName = (model: string) => `orders:${model}`;

/**
 * Leases by name. A lease is held while its holder's session is live, and its
 * entry stays after that until another claim is accepted. A holder that renews
 * late therefore keeps its fencing number if nobody else claimed the lease.
 */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();

  constructor(
    private readonly sessions: SessionTable,
    entries: readonly Lease[] = [],
  ) {
    for (const lease of entries) this.leases.set(lease.name, lease);
  }

  /** Judges the claim in the record at `offset`. */
  claim(name: string, stamp: Stamp, offset: number, nowMs: number): Verdict {
    const {vm, incarnation} = stamp;
    if (!this.sessions.isLive(buildWriterKey(stamp), nowMs)) {
      return voidBecause('no_session');
    }
    const current = this.leases.get(name);
    if (current !== undefined && this.isHeld(current, nowMs)) {
      if (buildWriterKey(current) !== buildWriterKey(stamp)) {
        return voidBecause('lease_held');
      }
      return {kind: 'accepted', fencing: current.fencing};
    }
    this.leases.set(name, {
      name,
      vm,
      incarnation,
      fencing: offset,
      changedAtMs: nowMs,
      released: false,
    });
    return {kind: 'accepted', fencing: offset};
  }

  /** Releases the lease if `fencing` is the current holder's number. */
  release(name: string, fencing: number, nowMs: number): boolean {
    if (!this.isCurrent(name, fencing)) return false;
    const current = this.leases.get(name)!;
    this.leases.set(name, {...current, released: true, changedAtMs: nowMs});
    return true;
  }

  /**
   * Whether `fencing` is the number of the last accepted claim. A holder that
   * resumes from a pause may not know that its lease has expired; its records
   * carry the older number and are void at any offset.
   */
  isCurrent(name: string, fencing: number): boolean {
    const current = this.leases.get(name);
    return current?.fencing === fencing && !current.released;
  }

  /** Returns the last accepted claim, even if expired or released. */
  find(name: string): Lease | undefined {
    return this.leases.get(name);
  }

  isHeld(lease: Lease, nowMs: number): boolean {
    return (
      !lease.released && this.sessions.isLive(buildWriterKey(lease), nowMs)
    );
  }

  /** Leases last claimed by `writer` and not released, even if expired. */
  listClaimedBy(writer: string): readonly Lease[] {
    return [...this.leases.values()].filter(
      lease => !lease.released && buildWriterKey(lease) === writer,
    );
  }

  list(): readonly Lease[] {
    return [...this.leases.values()];
  }

  remove(name: string): void {
    this.leases.delete(name);
  }

  toSnapshot(): readonly Lease[] {
    return this.list();
  }
}
