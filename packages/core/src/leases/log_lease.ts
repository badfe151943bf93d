/**
 * A lease over one partition of the log. Its records are claims and renewals,
 * each appended only if the partition still ends where the writer last saw it,
 * so of two claims at one place exactly one stands. The offset of a claim is the
 * fencing token of that term: it grows with each holder.
 *
 * Times are of a steady clock that may stand still while the VM is suspended;
 * the owner of this object calls `distrust` when it finds that it did.
 */

import {OrderHistory} from './order_history.js';

/** One record of the lease's partition. */
export interface LeaseRecord {
  /** An `order` renews the lease as well and tells of orders about to be given. */
  readonly kind: 'claim' | 'renewal' | 'release' | 'order';
  /** Unique for each start of a process. */
  readonly holder: string;
  /** Unix ms at which it was written, by the writer's clock. */
  readonly atMs: number;
  /** Whether its writer tells of each order before it gives it. */
  readonly announcesOrders?: boolean;
  /** Engines that are about to be ordered, with an `order`. */
  readonly engines?: readonly string[];
}

export interface LeaseTiming {
  /** Between renewals, ms. */
  readonly renewMs: number;
  /** The holder trusts its lease this long from before it sent a renewal, ms. */
  readonly validityMs: number;
  /** Others claim after this long without a record, ms. More than `trustMs`. */
  readonly silenceMs: number;
  /** An order that was announced is given within this time from before the announcement was sent, and has arrived by then or never does, ms. */
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

/** What a VM wants of the lease now. */
export interface LeaseRequest {
  /**
   * Whether the VM can do a holder's work.
   *
   * One that has just started and does not know the configuration yet could
   * not run a single item, while its renewals keep all others away.
   */
  readonly mayClaim?: boolean;
  /** Engines that the holder wants to order. */
  readonly engines?: readonly string[];
}

const NO_ACTION: LeaseAction = {kind: 'none'};

export class LogLease {
  private holder: string | undefined;
  /** Offset of the claim that began the present term. */
  private claimOffset = -1;
  private nextOffset = 0;
  /** Steady ms from which silence counts. */
  private lastRecordMs: number;
  private validUntilMs = -Infinity;
  private readonly orderHistory: OrderHistory;
  /** Steady ms before which own orders to an engine are covered by an announcement. */
  private readonly announcedUntilMs = new Map<string, number>();
  private isReleased = false;
  private isFromRelease = false;
  private inFlight: {readonly sentMs: number} | undefined;
  private lastSentMs = -Infinity;
  private lastWrittenUnixMs = -Infinity;

  /**
   * @param self Name of this process in records.
   * @param claimDelayMs Added to the silence that this VM waits for; differs
   *     between VMs so that they do not all claim at once.
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

  /** Token of the present term; meaningful while `isHeld`. */
  get fencingToken(): number {
    // Offsets begin at 0, and a token of 0 would look like none.
    return this.claimOffset + 1;
  }

  get currentHolder(): string | undefined {
    return this.holder;
  }

  /** Whether this process may act as the holder. */
  isHeld(nowMs: number): boolean {
    return this.holder === this.self && nowMs < this.validUntilMs;
  }

  /** Whether the log names this process, even if it can not be sure any more. */
  isNamedHolder(): boolean {
    return this.holder === this.self;
  }

  /** Whether the holder before gave the lease up by itself and acts no more. */
  get isHandedOver(): boolean {
    return this.isFromRelease;
  }

  /** How long no other holder has given orders to the engine, ms; negative while one still may. */
  measureQuietMs(engineId: string, nowMs: number): number {
    return this.orderHistory.measureQuietMs(engineId, nowMs);
  }

  /**
   * Whether the log tells of an order to the engine that may still be given.
   *
   * A successor that reads no such word orders at once. The announcement was
   * appended at the end of all records, so whoever claims after it has read it,
   * and after a claim that this holder has not read none can be appended.
   */
  isAnnounced(engineId: string, nowMs: number): boolean {
    const untilMs = this.announcedUntilMs.get(engineId) ?? -Infinity;
    return this.isHeld(nowMs) && nowMs < untilMs;
  }

  /** Records were lost before they were read here. */
  onGap(nowMs: number): void {
    this.orderHistory.recordUnknown(this.timing.orderWindowMs, nowMs);
  }

  /** Takes the next record that was read; one that is known already says nothing. */
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
        // Nothing is left to wait for but the VM's own patience.
        this.lastRecordMs = nowMs - this.timing.silenceMs;
    }
  }

  private recordOrders(record: LeaseRecord, nowMs: number): void {
    const {orderWindowMs, validityMs} = this.timing;
    const {kind, engines, announcesOrders} = record;
    if (kind === 'release') return;
    // A holder of an earlier version of the program orders while it trusts its
    // lease, which it does for this long from each of its records.
    if (!announcesOrders) this.orderHistory.recordUnknown(validityMs, nowMs);
    else if (engines)
      this.orderHistory.recordOrders(engines, orderWindowMs, nowMs);
  }

  /** Reads failed until now: silence counts from here. */
  onReadSucceeded(nowMs: number): void {
    this.lastRecordMs = Math.max(this.lastRecordMs, nowMs);
  }

  /**
   * All records there were have been read for the first time.
   *
   * After a fault that took down every VM the holder is long dead when the first
   * of them is back, and work would stand still while it waits for the silence
   * of a dead one. So silence counts from when the last record was written. A
   * clock that is wrong at worst costs a holder its term: what it trusts and
   * when it gives orders does not depend on the time of day.
   */
  onCaughtUp(nowMs: number, unixNowMs: number): void {
    const agedMs = unixNowMs - this.lastWrittenUnixMs;
    const silentMs = Math.min(Math.max(agedMs, 0), this.timing.silenceMs);
    this.lastRecordMs = nowMs - silentMs;
  }

  /** Gives up all trust in the lease until it is renewed. */
  invalidate(): void {
    this.validUntilMs = -Infinity;
  }

  /** Says what to append now, if anything. */
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

  /** The append that `decide` asked for stands at `offset`. */
  onAppended(record: LeaseRecord, offset: number, nowMs: number): void {
    const sentMs = this.inFlight?.sentMs ?? -Infinity;
    this.inFlight = undefined;
    // A renewal may stand right behind the claim of another holder that was
    // not read yet; it then renews nothing. The condition on the end rules
    // that out: what was read so far is all there is.
    this.observe(record, offset, nowMs);
    if (this.holder === this.self) {
      this.validUntilMs = sentMs + this.timing.validityMs;
      const untilMs = sentMs + this.timing.orderWindowMs;
      for (const id of record.engines ?? []) {
        this.announcedUntilMs.set(id, untilMs);
      }
    }
  }

  /** The append failed or its outcome is unknown; reading tells. */
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
