/** Who holds which lease, and under which fencing number. */

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
  /** Given back by its holder; the fencing number still outdates older ones. */
  readonly released: boolean;
}

/** Name of the lease on a step. */
export const buildStepLeaseName = (stepKey: string) => `step:${stepKey}`;
/** Name of the lease on ordering the engines of a model. */
export const buildOrdersLeaseName = (model: string) => `orders:${model}`;

/**
 * Leases by name. A lease lasts as long as its holder's session and is not taken
 * from a holder before another claim is accepted, so that a holder that renews
 * late, with nobody else in line, just goes on under its old fencing number.
 */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();

  constructor(
    private readonly sessions: SessionTable,
    entries: readonly Lease[] = [],
  ) {
    for (const lease of entries) this.leases.set(lease.name, lease);
  }

  /** Judges a claim that stands at `offset`. */
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

  /** Gives the lease back, if `fencing` is the current holder's. */
  release(name: string, fencing: number, nowMs: number): boolean {
    if (!this.isCurrent(name, fencing)) return false;
    const current = this.leases.get(name)!;
    this.leases.set(name, {...current, released: true, changedAtMs: nowMs});
    return true;
  }

  /**
   * Whether `fencing` is the number of the last accepted claim. A paused holder
   * wakes after its lease lapsed and still believes it holds it; its records
   * carry the older number and are void wherever they land.
   */
  isCurrent(name: string, fencing: number): boolean {
    const current = this.leases.get(name);
    return current?.fencing === fencing && !current.released;
  }

  /** The last accepted claim, lapsed or not. */
  find(name: string): Lease | undefined {
    return this.leases.get(name);
  }

  isHeld(lease: Lease, nowMs: number): boolean {
    return (
      !lease.released && this.sessions.isLive(buildWriterKey(lease), nowMs)
    );
  }

  /** Leases whose last claim is `writer`'s and not given back. */
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
