/** Claims and releases this VM's leases and keeps its session alive. */

import type {StateFold} from '@radishyoke/core/ledger/state_fold';
import type {JudgedRecord} from '@radishyoke/core/ledger/verdict';
import {buildWriterKey} from '@radishyoke/core/ledger/writer_table';
import type {Unstamped} from '@radishyoke/stores/log_writer';
import {createError} from '@radishyoke/shared/error_kind';
import type {IncarnationId, VmId} from '@radishyoke/shared/ids';
import type {StateRecord} from '@radishyoke/shared/log_record';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import {SessionTracker, type SessionTiming} from './session_tracker.js';

/** A lease that this VM holds. */
export interface HeldLease {
  readonly lease: string;
  readonly fencing: number;
}

export interface LeaseHolderOptions {
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  readonly timing: SessionTiming;
  readonly getFold: () => StateFold;
  readonly append: (
    body: Unstamped<StateRecord>,
  ) => Promise<Result<JudgedRecord<StateRecord>>>;
}

/** Manages the leases and the session of one VM. */
export class LeaseHolder {
  private readonly session: SessionTracker;
  /**
   * Leases claimed or being claimed, even if the claim has not been read back
   * yet.
   */
  private readonly requestedLeases = new Set<string>();
  private isRenewing = false;
  private isClosing = false;

  constructor(private readonly options: LeaseHolderOptions) {
    this.session = new SessionTracker(options.timing);
  }

  /**
   * Claims a lease and returns the fencing number. Fails with `not_owner` when
   * another live session holds it.
   */
  async claim(lease: string): Promise<Result<number>> {
    if (this.isClosing) return fail(createError('draining'));
    this.requestedLeases.add(lease);
    if (!this.session.isValid(performance.now())) void this.renewSession();
    const result = await this.options.append({kind: 'lease_claimed', lease});
    if (!result.ok) {
      this.requestedLeases.delete(lease);
      return result;
    }
    const {verdict} = result.value;
    if (verdict.kind === 'accepted' && verdict.fencing !== undefined) {
      return succeed(verdict.fencing);
    }
    this.requestedLeases.delete(lease);
    const holder = this.options.getFold().leases.find(lease)?.vm;
    const detail = holder ? `${holder} holds ${lease}` : `${lease} is not held`;
    return fail(createError('not_owner', detail));
  }

  /** Releases a lease. */
  async release(held: HeldLease): Promise<void> {
    this.requestedLeases.delete(held.lease);
    await this.options.append({kind: 'lease_released', ...held});
  }

  /**
   * Whether this VM may act on the lease now: the log names it as the holder
   * under this fencing number, and by its own clock its session can not have
   * expired. The VM can still be paused between this check and the action,
   * which is why records, orders and the trainer's stream carry fencing
   * numbers.
   */
  holds({lease, fencing}: HeldLease): boolean {
    return (
      this.options.getFold().leases.isCurrent(lease, fencing) &&
      this.session.isValid(performance.now())
    );
  }

  /**
   * Closes the session, which releases all leases at once, so that others need
   * not wait for them to expire.
   */
  async closeSession(): Promise<void> {
    // A renewal appended after the close would reopen the session, and the
    // leases would appear held until it expires.
    this.isClosing = true;
    this.requestedLeases.clear();
    await this.options.append({kind: 'session_closed'});
  }

  /**
   * Renews the session if a renewal is due and this VM holds or claims a lease.
   */
  tick(): void {
    const ownKey = buildWriterKey(this.options);
    const needsSession =
      this.requestedLeases.size > 0 ||
      this.options.getFold().leases.listClaimedBy(ownKey).length > 0;
    if (needsSession && this.session.isDue(performance.now()))
      void this.renewSession();
  }

  /**
   * Runs one renewal at a time; more would only fill the writer's buffer in an
   * outage.
   */
  private async renewSession(): Promise<void> {
    if (this.isRenewing || this.isClosing) return;
    this.isRenewing = true;
    const requestedAtMs = performance.now();
    this.session.markRequested(requestedAtMs);
    const {ttlMs} = this.options.timing;
    const result = await this.options.append({kind: 'session', ttlMs});
    this.isRenewing = false;
    if (result.ok) this.session.markConfirmed(requestedAtMs);
  }
}
