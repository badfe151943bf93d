/**
 * Implements a lease over one partition of the log. Its records are claims and
 * renewals, each appended only if the partition still ends where the writer last
 * saw it, so of two competing claims exactly one succeeds. The offset of a claim
 * yields the fencing token of that term, which grows with each holder.
 *
 * Times are from a steady clock that may stand still while the VM is suspended;
 * the owner of this object calls `invalidate` when it detects that.
 */

import {OrderHistory} from './order_history.js';

/** One record of the lease's partition. */
export interface LeaseRecord {
  /**
   * An `order` also renews the lease, and announces orders that are about to be
   * given.
   */
  readonly kind: 'claim' | 'renewal' | 'release' | 'order';
  /** Unique for each start of a process. */
  readonly holder: string;
  /** Unix ms of the write, by the writer's clock. */
  readonly atMs: number;
  /** Whether the writer announces each order before it gives it. */
  readonly announcesOrders?: boolean;
  /** For an `order`: the engines that are about to be ordered. */
  readonly engines?: readonly string[];
}

export interface LeaseTiming {
  /** Interval between renewals, ms. */
  readonly renewMs: number;
  /**
   * The lease is valid this long after its holder sent a claim or renewal, ms.
   */
  readonly validityMs: number;
  /**
   * Other VMs claim after this long without a record, ms. Must exceed
   * `validityMs`.
   */
  readonly silenceMs: number;
  /**
   * Time after sending an announcement within which its orders are given, ms;
   * an order has arrived by then or never will.
   */
  readonly orderWindowMs: number;
}

/** What the owner of the lease object should do now. */
export type LeaseAction =
  | {readonly kind: 'none'}
  | {
      readonly kind: 'append';
      readonly record: LeaseRecord;
      /** The append must fail unless the partition ends here. */
      readonly at: number;
    };

/** What a VM requests of the lease. */
export interface LeaseRequest {
  /**
   * Whether the VM can do a holder's work.
   *
   * A VM that has just started and does not have the configuration yet could
   * not run a single item, while its renewals would keep all others from
   * claiming.
   */
  readonly mayClaim?: boolean;
  /** Engines that the holder is about to order. */
  readonly engines?: readonly string[];
}

const NO_ACTION: LeaseAction = {kind: 'none'};

export class LogLease {
  private holder: string | undefined;
  /** Offset of the claim that started the current term. */
  private claimOffset = -1;
  private nextOffset = 0;
  /** Steady ms from which silence is counted. */
  private lastRecordMs: number;
  private validUntilMs = -Infinity;
  private readonly orderHistory: OrderHistory;
  /**
   * Steady ms until which this VM's orders to an engine are covered by an
   * announcement.
   */
  private readonly announcedUntilMs = new Map<string, number>();
  private isReleased = false;
  private isFromRelease = false;
  private inFlight: {readonly sentMs: number} | undefined;
  private lastSentMs = -Infinity;
  private lastWrittenUnixMs = -Infinity;

  /**
   * @param self Name of this process in records.
   * @param claimDelayMs Added to the silence after which this VM claims;
   *     differs between VMs so that they do not all claim at once.
   */
  constructor(
    readonly self: string,
    private readonly timing: LeaseTiming,
    private readonly claimDelayMs: number,
    nowMs: number,
  ) {
    this.lastRecordMs = nowMs;
    this.orderHistory = new OrderHistory(timing.renewMs);
  }

  /** Fencing token of the current term; meaningful while `isHeld`. */
  get fencingToken(): number {
    // Offsets start at 0, and a token of 0 would look like a missing one.
    return this.claimOffset + 1;
  }

  get currentHolder(): string | undefined {
    return this.holder;
  }

  /** Whether this process may act as the holder. */
  isHeld(nowMs: number): boolean {
    return this.holder === this.self && nowMs < this.validUntilMs;
  }

  /**
   * Whether the log names this process as holder, even if the lease may have
   * expired.
   */
  isNamedHolder(): boolean {
    return this.holder === this.self;
  }

  /** Whether the previous holder released the lease and no longer acts. */
  get isHandedOver(): boolean {
    return this.isFromRelease;
  }

  /**
   * Time since another holder may last have ordered the engine, ms; negative
   * while one still may.
   */
  measureQuietMs(engineId: string, nowMs: number): number {
    return this.orderHistory.measureQuietMs(engineId, nowMs);
  }

  /**
   * Whether an order to the engine is covered by an announcement in the log.
   *
   * A successor that reads no announcement orders at once. The announcement was
   * appended at the end of all records, so whoever claims after it has read it,
   * and it cannot be appended after a claim that this holder has not read.
   */
  isAnnounced(engineId: string, nowMs: number): boolean {
    const untilMs = this.announcedUntilMs.get(engineId) ?? -Infinity;
    return this.isHeld(nowMs) && nowMs < untilMs;
  }

  /** Handles the loss of records before they were read here. */
  onGap(nowMs: number): void {
    this.orderHistory.recordUnknown(this.timing.orderWindowMs, nowMs);
  }

  /** Applies the next record; records that were already applied are ignored. */
  observe(record: LeaseRecord, offset: number, nowMs: number): void {
    if (offset < this.nextOffset) return;
    this.nextOffset = offset + 1;
    this.lastRecordMs = nowMs;
    this.lastWrittenUnixMs = record.atMs;
    if (record.holder !== this.self) this.recordOrders(record, nowMs);
    switch (record.kind) {
      case 'claim':
        this.holder = record.holder;
        this.claimOffset = offset;
        this.isFromRelease = this.isReleased;
        this.isReleased = false;
        break;
      case 'renewal':
        this.orderHistory.recordRenewal();
        break;
      case 'order':
        break;
      case 'release':
        if (this.holder !== record.holder) break;
        this.holder = undefined;
        this.isReleased = true;
        // Only the VM's own claim delay remains.
        this.lastRecordMs = nowMs - this.timing.silenceMs;
    }
  }

  private recordOrders(record: LeaseRecord, nowMs: number): void {
    const {orderWindowMs, validityMs} = this.timing;
    const {kind, engines, announcesOrders} = record;
    if (kind === 'release') return;
    // A holder running an earlier version of the program gives orders while its
    // lease is valid, which is this long after each of its records.
    if (!announcesOrders) this.orderHistory.recordUnknown(validityMs, nowMs);
    else if (engines)
      this.orderHistory.recordOrders(engines, orderWindowMs, nowMs);
  }

  /**
   * Handles a successful read: while reads failed, silence could not be
   * observed, so it is counted from now.
   */
  onReadSucceeded(nowMs: number): void {
    this.lastRecordMs = Math.max(this.lastRecordMs, nowMs);
  }

  /**
   * Handles that all existing records have been read for the first time.
   *
   * After an outage of every VM the holder has long stopped when the first VM
   * is back, so waiting out its silence would only delay work. Silence is
   * therefore counted from when the last record was written. At worst a wrong
   * clock costs a holder its term: the validity of its lease and the times of
   * its orders do not depend on the time of day.
   */
  onCaughtUp(nowMs: number, unixNowMs: number): void {
    const agedMs = unixNowMs - this.lastWrittenUnixMs;
    const silentMs = Math.min(Math.max(agedMs, 0), this.timing.silenceMs);
    this.lastRecordMs = nowMs - silentMs;
  }

  /** Invalidates the lease until it is renewed. */
  invalidate(): void {
    this.validUntilMs = -Infinity;
  }

  /** Returns what to append now, if anything. */
  decide(
    nowMs: number,
    unixNowMs: number,
    {mayClaim = true, engines = []}: LeaseRequest = {},
  ): LeaseAction {
    if (this.inFlight) return NO_ACTION;
    if (this.holder === this.self) {
      if (engines.length > 0) return this.announce(engines, nowMs, unixNowMs);
      if (nowMs - this.lastSentMs < this.timing.renewMs) return NO_ACTION;
      return this.send('renewal', nowMs, unixNowMs);
    }
    if (!mayClaim) return NO_ACTION;
    const silentMs = nowMs - this.lastRecordMs;
    if (silentMs < this.timing.silenceMs + this.claimDelayMs) return NO_ACTION;
    return this.send('claim', nowMs, unixNowMs);
  }

  /** Handles that the append requested by `decide` succeeded at `offset`. */
  onAppended(record: LeaseRecord, offset: number, nowMs: number): void {
    const sentMs = this.inFlight?.sentMs ?? -Infinity;
    this.inFlight = undefined;
    // A renewal after another holder's claim that has not been read yet would
    // renew nothing. The condition on the end of the partition rules that out:
    // all existing records have been read.
    this.observe(record, offset, nowMs);
    if (this.holder === this.self) {
      this.validUntilMs = sentMs + this.timing.validityMs;
      const untilMs = sentMs + this.timing.orderWindowMs;
      for (const id of record.engines ?? []) {
        this.announcedUntilMs.set(id, untilMs);
      }
    }
  }

  /**
   * Handles an append that failed or whose outcome is unknown; reading will
   * show it.
   */
  onAppendFailed(): void {
    this.inFlight = undefined;
  }

  private announce(
    engines: readonly string[],
    nowMs: number,
    atMs: number,
  ): LeaseAction {
    return this.send('order', nowMs, atMs, {engines});
  }

  private send(
    kind: 'claim' | 'renewal' | 'order',
    nowMs: number,
    atMs: number,
    extra: Pick<LeaseRecord, 'engines'> = {},
  ): LeaseAction {
    this.inFlight = {sentMs: nowMs};
    this.lastSentMs = nowMs;
    const {self: holder} = this;
    return {
      kind: 'append',
      record: {kind, holder, atMs, announcesOrders: true, ...extra},
      at: this.nextOffset,
    };
  }
}
