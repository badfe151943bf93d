/**
 * Follows the coordinator's lease, claims it when it is free, and renews it while
 * this VM holds it. The holder runs batches and orders weight loads. Every VM may
 * become the holder.
 */

import {
  type LeaseRecord,
  type LeaseTiming,
  LogLease,
} from '@radishyoke/core/leases/log_lease';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';
import {decodeLeaseRecord, encodeRecord} from '../batches/batch_codec.js';
import type {LogStore, StoredRecord} from '../store/log_store.js';
import type {VmClock} from '../vm_clock.js';

const LEASE_TOPIC = 'coordinator';
const PARTITION = 0;

/**
 * A holder that dies is replaced about 1.2 s after its last renewal, so that a
 * step of 7.5 s survives a failover. One renewal in that time may get lost. The
 * window of an announced order is the sum of the 400 ms that an append may take,
 * the 200 ms that the order may take to arrive, and 50 ms for delays on a busy VM.
 */
export const LEASE_TIMING: LeaseTiming = {
  renewMs: 300,
  validityMs: 900,
  silenceMs: 1100,
  orderWindowMs: 650,
};

/** Time limit of one append, ms. It exceeds the 320 ms of a slow log, and leaves time for a second renewal before `silenceMs` is over. */
const APPEND_TIMEOUT_MS = 400;
/** An announced order must arrive within its window, so it is sent at least this long before the end, ms: a little more than the time limit for the connection and answer of an order. */
const ORDER_TRAVEL_MS = 200;
/** Interval between decisions about the lease, ms. */
const TICK_MS = 50;
/** Duration of a long poll of the lease's partition, ms. */
const LONG_POLL_MS = 600;
/** Pause between reads at the end of the partition, ms: renewals must be seen, but not immediately. */
const READ_PAUSE_MS = 150;
const RETRY_MS = 100;
/** Added to the time between the orders of two holders, ms, since the clocks of two VMs run at slightly different rates. */
const ORDER_SLACK_MS = 50;
/** Lease records that are retained as history for the analysis of faults. */
const RETAINED_RECORDS = 500;
/** Renewals between two trims of the partition. */
const RENEWALS_PER_TRIM = 200;

export interface LeaseConfig {
  /** Unique for each start of this process. */
  readonly incarnationId: string;
  /** Added to the silence after which this VM claims the lease, ms. */
  readonly claimDelayMs: number;
  /** Minimum time between the last order of one holder and the first of the next, ms. */
  readonly orderLeaseMs: number;
  /** Whether engines refuse orders whose fencing token is older than one they have seen. */
  readonly isFencingEnforced: boolean;
}

export class LeaseTask {
  readonly lease: LogLease;
  private nextOffset = 0;
  private readonly abort = new AbortController();
  private wasCoordinator = false;
  private isCaughtUp = false;
  /** Whether the partition has been read to its end at least once since this process started. */
  private wasCaughtUp = false;
  private isReleased = false;
  private renewals = 0;
  private contactMs = -Infinity;
  /** Steady ms at which the last suspension was noticed; no orders are sent for `validityMs` after it. */
  private resumedMs = -Infinity;
  /** By engine, the callback that ends the wait of an order for its announcement. */
  private readonly announcements = new Map<string, () => void>();

  constructor(
    private readonly store: LogStore,
    private readonly clock: VmClock,
    private readonly cfg: LeaseConfig,
    /** Whether this VM has the configuration and the endpoints that it needs to run batches. */
    private readonly canCoordinate: () => boolean,
    private readonly onChange: (isCoordinator: boolean) => void,
    private readonly logger: EventLogger,
  ) {
    const {incarnationId, claimDelayMs} = cfg;
    this.lease = new LogLease(
      incarnationId,
      LEASE_TIMING,
      claimDelayMs,
      clock.now(),
    );
  }

  start(): void {
    void this.follow();
    void this.maintain();
  }

  /** Whether the log names this VM as the holder and it has not released the lease. */
  get isCoordinator(): boolean {
    return this.lease.isNamedHolder() && !this.isReleased;
  }

  /** Steady ms of the last read or append that succeeded. */
  get lastContactMs(): number {
    return this.contactMs;
  }

  /**
   * Returns a check of which engines this VM may order now, once the order is
   * announced. An engine must never receive orders of two holders alternately, so
   * a new holder waits until orders of earlier holders are older than
   * `orderLeaseMs`. It need not wait if the earlier holder released the lease and
   * engines check fencing tokens: they refuse its late orders by the older token.
   */
  createOrderCheck(): (engineId: string) => boolean {
    const nowMs = this.clock.now();
    this.checkSuspension(nowMs);
    const isHolder =
      this.lease.isHeld(nowMs) &&
      !this.isReleased &&
      nowMs - this.resumedMs > LEASE_TIMING.validityMs;
    if (!isHolder) return () => false;
    const isSafe = this.lease.isHandedOver && this.cfg.isFencingEnforced;
    const waitMs = isSafe ? 0 : this.cfg.orderLeaseMs + ORDER_SLACK_MS;
    return engineId => this.lease.measureQuietMs(engineId, nowMs) >= waitMs;
  }

  /** Announces an order to the engine in the log; returns whether the order may be sent now. */
  async announceOrder(engineId: string): Promise<boolean> {
    const announced = new Promise<void>(resolve =>
      this.announcements.set(engineId, resolve),
    );
    void this.advance();
    await Promise.race([announced, sleep(APPEND_TIMEOUT_MS + TICK_MS)]);
    this.announcements.delete(engineId);
    const nowMs = this.clock.now();
    return (
      this.createOrderCheck()(engineId) &&
      this.lease.isAnnounced(engineId, nowMs + ORDER_TRAVEL_MS)
    );
  }

  /** Releases the lease, so that another VM takes over at once. */
  async release(): Promise<void> {
    const wasCoordinator = this.isCoordinator;
    this.isReleased = true;
    this.publishChange();
    if (!wasCoordinator) return;
    const record: LeaseRecord = {
      kind: 'release',
      holder: this.cfg.incarnationId,
      atMs: Date.now(),
    };
    await this.store.append(LEASE_TOPIC, PARTITION, [encodeRecord(record)]);
  }

  stop(): void {
    this.abort.abort();
  }

  private async follow(): Promise<void> {
    const {signal} = this.abort;
    while (!signal.aborted) {
      const options = {waitMs: this.isCaughtUp ? LONG_POLL_MS : 0, signal};
      const outcome = await this.store.read(
        LEASE_TOPIC,
        PARTITION,
        this.nextOffset,
        options,
      );
      const nowMs = this.clock.now();
      if (outcome.kind === 'failed') {
        // Records may have been missed while reads failed, so the silence that a
        // claim requires starts anew when a read succeeds.
        this.isCaughtUp = false;
        await sleep(RETRY_MS);
        continue;
      }
      this.contactMs = nowMs;
      if (outcome.kind === 'expired') {
        this.nextOffset = outcome.firstOffset;
        this.lease.onGap(nowMs);
        continue;
      }
      this.applyRecords(outcome.records, nowMs);
      const isAtEnd = this.nextOffset >= outcome.endOffset;
      if (isAtEnd && !this.isCaughtUp) {
        this.isCaughtUp = true;
        if (this.wasCaughtUp) this.lease.onReadSucceeded(nowMs);
        else if (this.nextOffset > 0) this.lease.onCaughtUp(nowMs, Date.now());
        this.wasCaughtUp = true;
      }
      if (isAtEnd) await sleep(READ_PAUSE_MS);
    }
  }

  private applyRecords(records: readonly StoredRecord[], nowMs: number): void {
    for (const {offset, bytes} of records) {
      if (offset < this.nextOffset) continue;
      this.nextOffset = offset + 1;
      this.lease.observe(decodeLeaseRecord(bytes), offset, nowMs);
    }
    this.publishChange();
  }

  private async maintain(): Promise<void> {
    const {signal} = this.abort;
    while (!signal.aborted) {
      await sleep(TICK_MS);
      await this.advance();
    }
  }

  /** Appends the record that the lease requires now, if any. */
  private async advance(): Promise<void> {
    const nowMs = this.clock.now();
    this.checkSuspension(nowMs);
    if (this.isReleased) return;
    if (!this.isCaughtUp && !this.lease.isNamedHolder()) return;
    const engines = [...this.announcements.keys()];
    const mayClaim = this.canCoordinate();
    const action = this.lease.decide(nowMs, Date.now(), {mayClaim, engines});
    if (action.kind !== 'append') return;
    await this.append(action.record, action.at);
    this.settleAnnouncements(action.record.engines ?? []);
    // Orders that were added during the append are announced without waiting for
    // the next tick.
    if (this.announcements.size > 0) await this.advance();
  }

  /** Ends the waits for announcements. The waiting calls check whether their order may be sent. */
  private settleAnnouncements(engines: readonly string[]): void {
    for (const id of engines) {
      const resolve = this.announcements.get(id);
      this.announcements.delete(id);
      resolve?.();
    }
  }

  private async append(record: LeaseRecord, at: number): Promise<void> {
    const outcome = await this.store.append(
      LEASE_TOPIC,
      PARTITION,
      [encodeRecord(record)],
      {expectedEndOffset: at, timeoutMs: APPEND_TIMEOUT_MS},
    );
    if (outcome.kind !== 'appended') {
      this.lease.onAppendFailed();
      return;
    }
    this.contactMs = this.clock.now();
    this.nextOffset = Math.max(this.nextOffset, outcome.offset + 1);
    this.lease.onAppended(record, outcome.offset, this.contactMs);
    this.publishChange();
    this.renewals += 1;
    if (this.renewals % RENEWALS_PER_TRIM === 0) this.trim(outcome.offset);
  }

  private trim(offset: number): void {
    const before = offset - RETAINED_RECORDS;
    if (before > 0) void this.store.trim(LEASE_TOPIC, PARTITION, before);
  }

  private checkSuspension(nowMs: number): void {
    const suspendedMs = this.clock.takeSuspensionMs();
    if (suspendedMs === 0) return;
    this.resumedMs = nowMs;
    this.lease.invalidate();
    this.logger.log('warn', 'the VM was suspended or its clock was set', {
      driftMs: Math.round(suspendedMs),
    });
  }

  private publishChange(): void {
    const {isCoordinator} = this;
    if (isCoordinator === this.wasCoordinator) return;
    this.wasCoordinator = isCoordinator;
    this.logger.log(
      'info',
      isCoordinator ? 'coordinator now' : 'coordinator no more',
      {
        fencingToken: this.lease.fencingToken,
        holder: this.lease.currentHolder,
      },
    );
    this.onChange(isCoordinator);
  }
}
