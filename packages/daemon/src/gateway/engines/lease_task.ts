/**
 * Keeps this VM's view of the coordinator's lease, and the lease itself while it
 * is held. The holder runs batches and orders weights; every VM may become it.
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
 * step of 7.5 s survives it. Of the renewals in that time one may get lost. An
 * announced order has the 400 ms that an append may take, the 200 that it
 * travels, and 50 for a busy VM.
 */
export const LEASE_TIMING: LeaseTiming = {
  renewMs: 300,
  validityMs: 900,
  silenceMs: 1100,
  orderWindowMs: 650,
};

/** A renewal without an answer for this long is made again, ms: over the 320 of a slow log, and short enough for a second one within the silence. */
const APPEND_TIMEOUT_MS = 400;
/** An announced order must arrive within its window: it is begun this long before the end of it, ms, which is what an order waits for its connection and answer and a little more. */
const ORDER_TRAVEL_MS = 200;
/** How often the lease decides, ms. */
const TICK_MS = 50;
/** Long polls of the lease's partition wait this long, ms. */
const LONG_POLL_MS = 600;
/** Pause of a standby between reads, ms: it needs each renewal, but not at once. */
const READ_PAUSE_MS = 150;
const RETRY_MS = 100;
/** Added to the time between the orders of two holders, ms: clocks of two VMs do not run quite alike. */
const ORDER_SLACK_MS = 50;
/** Records of the lease that are kept, as history for whoever looks into a fault. */
const KEPT_RECORDS = 500;
/** Renewals between two trims of the partition. */
const RENEWALS_PER_TRIM = 200;

export interface LeaseConfig {
  /** Unique for each start of this process. */
  readonly incarnationId: string;
  /** Added to the silence that this VM waits for before it claims, ms. */
  readonly claimDelayMs: number;
  /** Between the last order of one holder and the first of the next, ms. */
  readonly orderLeaseMs: number;
  /** Whether engines refuse orders with an older token than they have seen. */
  readonly isFencingEnforced: boolean;
}

export class LeaseTask {
  readonly lease: LogLease;
  private nextOffset = 0;
  private readonly abort = new AbortController();
  private wasCoordinator = false;
  private isCaughtUp = false;
  /** Whether everything was read at some time in this life. */
  private wasCaughtUp = false;
  private isReleased = false;
  private renewals = 0;
  private contactMs = -Infinity;
  /** Orders wait until this steady time after a suspension. */
  private resumedMs = -Infinity;
  /** Engines whose orders wait for their announcement, with what ends the wait. */
  private readonly announcements = new Map<string, () => void>();

  constructor(
    private readonly store: LogStore,
    private readonly clock: VmClock,
    private readonly cfg: LeaseConfig,
    /** Whether this VM knows enough to run batches. */
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

  /** Whether this VM runs batches. */
  get isCoordinator(): boolean {
    return this.lease.isNamedHolder() && !this.isReleased;
  }

  /** Steady ms of the last read or append that succeeded. */
  get lastContactMs(): number {
    return this.contactMs;
  }

  /**
   * Tells which engines this VM may order now, once the order is announced. A new
   * holder waits until orders of those before it are a whole lease old, since an
   * engine must never hear two holders by turns. After a holder that gave up by
   * itself there is nothing to wait for where engines check tokens: an order of
   * it that is still on its way is refused by its older token.
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

  /** Writes down that the engine is about to be ordered; says whether the order may be given now. */
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

  /** Gives the lease up so that another VM takes over at once. */
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
        // What happened while this VM was cut off is not known, so the silence
        // that a claim needs begins when it reads again.
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

  /** Appends what the lease asks for now. */
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
    // Orders that came up while a renewal was under way do not wait for a tick.
    if (this.announcements.size > 0) await this.advance();
  }

  /** Those who wait look for themselves whether their order may be given. */
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
      {at, timeoutMs: APPEND_TIMEOUT_MS},
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
    const before = offset - KEPT_RECORDS;
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
