/**
 * Folds the stream `state` into the state that all VMs agree on: sessions,
 * leases, steps, at-most-once claims and suspects. It depends only on the
 * records, so all readers at the same offset hold the same state.
 */

import type {RequestId, StepId, TenantId} from '@radishyoke/shared/ids';
import type {LoggedRecord, StateRecord} from '@radishyoke/shared/log_record';
import {STEP_LIMITS} from '@radishyoke/shared/rollout';
import {type Lease, LeaseTable, buildStepLeaseName} from './lease_table.js';
import {LogClock, type LogClockSnapshot} from './log_clock.js';
import {type ClaimEntry, RequestClaims} from './request_claims.js';
import {type SessionEntry, SessionTable} from './session_table.js';
import {
  buildStepKey,
  type StepOpening,
  StepLedger,
  type StepSnapshot,
} from '../steps/step_ledger.js';
import {type SuspectEntry, SuspectTable} from '../membership/suspect_table.js';
import {ACCEPTED, type Verdict, voidBecause} from './verdict.js';
import {buildWriterKey, type WriterEntry, WriterTable} from './writer_table.js';

/**
 * How long a request claim is retained after the last attempt to claim its id.
 */
export const DEFAULT_CLAIM_HORIZON_MS = 3_600_000;
/** How long a closed step is retained for late readers. */
const CLOSED_STEP_RETENTION_MS = 600_000;
/** How long a step that was never closed is retained after its timeout. */
const OVERDUE_STEP_RETENTION_MS = 3_600_000;
/**
 * How long an expired session is retained. For a while after a log outage, VMs
 * use a log time from before the outage, at which the session was still live.
 */
const EXPIRED_SESSION_RETENTION_MS = 3_600_000;
const IDLE_LEASE_RETENTION_MS = 86_400_000;
const WRITER_RETENTION_MS = 3_600_000;
const SUSPECT_RETENTION_MS = 3_600_000;
/** Interval between removals of old entries, in log time. */
const SWEEP_INTERVAL_MS = 10_000;

type RecordOf<K extends StateRecord['kind']> = Extract<StateRecord, {kind: K}>;
/** Records that only the current owner of a step may write. */
type OwnerRecord = RecordOf<
  | 'attempts_started'
  | 'samples_committed'
  | 'samples_voided'
  | 'cursor_acknowledged'
  | 'step_closed'
>;

/** The complete folded state as plain data. */
export interface StateSnapshot {
  /** Offset of the next record to apply. */
  readonly next: number;
  readonly clock: LogClockSnapshot;
  readonly sweptAtMs: number;
  readonly claimHorizonMs: number;
  readonly writers: readonly WriterEntry[];
  readonly sessions: readonly SessionEntry[];
  readonly leases: readonly Lease[];
  readonly steps: readonly StepSnapshot[];
  readonly claims: readonly ClaimEntry[];
  readonly suspects: readonly SuspectEntry[];
}

/** Creates the snapshot of an empty state before the record at `next`. */
export function createEmptySnapshot(
  next: number,
  claimHorizonMs: number,
): StateSnapshot {
  return {
    next,
    clock: {nowMs: 0, lastRawMs: 0},
    sweptAtMs: 0,
    claimHorizonMs,
    writers: [],
    sessions: [],
    leases: [],
    steps: [],
    claims: [],
    suspects: [],
  };
}

/**
 * Returns the log time after which a record no longer affects the state, apart
 * from its sequence number.
 */
export function measureStateSpanMs(cfg: StateFoldConfig): number {
  const stepSpanMs = STEP_LIMITS.timeoutMs + OVERDUE_STEP_RETENTION_MS;
  return Math.max(cfg.claimHorizonMs, stepSpanMs);
}

/** Settings that must be equal on all VMs, or their states would diverge. */
export interface StateFoldConfig {
  readonly claimHorizonMs: number;
}

/** The state after folding all records before `next`. */
export class StateFold {
  private readonly clock: LogClock;
  private readonly writers: WriterTable;
  private readonly sessionTable: SessionTable;
  private readonly leaseTable: LeaseTable;
  private readonly stepMap = new Map<string, StepLedger>();
  private readonly claims: RequestClaims;
  private readonly suspectTable: SuspectTable;
  private readonly claimHorizonMs: number;
  private nextOffset: number;
  private sweptAtMs: number;

  constructor(
    cfg: StateFoldConfig = {claimHorizonMs: DEFAULT_CLAIM_HORIZON_MS},
    snapshot?: StateSnapshot,
  ) {
    this.claimHorizonMs = snapshot?.claimHorizonMs ?? cfg.claimHorizonMs;
    this.clock = new LogClock(snapshot?.clock);
    this.writers = new WriterTable(snapshot?.writers);
    this.sessionTable = new SessionTable(snapshot?.sessions);
    this.leaseTable = new LeaseTable(this.sessionTable, snapshot?.leases);
    this.claims = new RequestClaims(this.claimHorizonMs, snapshot?.claims);
    this.suspectTable = new SuspectTable(snapshot?.suspects);
    this.nextOffset = snapshot?.next ?? 0;
    this.sweptAtMs = snapshot?.sweptAtMs ?? 0;
    for (const step of snapshot?.steps ?? []) {
      const ledger = new StepLedger(step.opening, step);
      this.stepMap.set(ledger.key, ledger);
    }
  }

  /** Offset of the next record to apply. */
  get next(): number {
    return this.nextOffset;
  }

  /** Adjusted log time at the last record. */
  get nowMs(): number {
    return this.clock.nowMs;
  }

  get sessions(): Pick<SessionTable, 'isLive' | 'findExpiryMs' | 'count'> {
    return this.sessionTable;
  }

  get leases(): Pick<
    LeaseTable,
    'find' | 'isHeld' | 'isCurrent' | 'listClaimedBy' | 'list'
  > {
    return this.leaseTable;
  }

  get suspects(): Pick<SuspectTable, 'find' | 'list'> {
    return this.suspectTable;
  }

  get claimCount(): number {
    return this.claims.size;
  }

  findStep(tenant: TenantId, step: StepId): StepLedger | undefined {
    return this.stepMap.get(buildStepKey(tenant, step));
  }

  listSteps(): readonly StepLedger[] {
    return [...this.stepMap.values()];
  }

  /** Returns the open steps whose lease no VM holds at log time `nowMs`. */
  listUnownedSteps(nowMs: number): readonly StepLedger[] {
    return this.listSteps().filter(step => {
      if (step.closed !== undefined) return false;
      const lease = this.leaseTable.find(buildStepLeaseName(step.key));
      return lease === undefined || !this.leaseTable.isHeld(lease, nowMs);
    });
  }

  /** Returns the writer, as `vm/incarnation`, that claimed a request id. */
  findClaimant(tenant: TenantId, req: RequestId): string | undefined {
    return this.claims.findWinner(`${tenant}/${req}`);
  }

  /** Returns the highest sequence number of a writer; 0 for none. */
  highestSeqOf(writer: string): number {
    return this.writers.highestSeqOf(writer);
  }

  /** Applies the next record and returns its verdict. */
  apply(record: LoggedRecord<StateRecord>): Verdict {
    this.nextOffset = record.offset + 1;
    const nowMs = this.clock.advance(record.timeMs);
    this.sweep(nowMs);
    if (!this.writers.recordIfNew(record.value.stamp, nowMs)) {
      return voidBecause('copy');
    }
    return this.judge(record.value, record.offset, nowMs);
  }

  toSnapshot(): StateSnapshot {
    return {
      next: this.nextOffset,
      clock: this.clock.toSnapshot(),
      sweptAtMs: this.sweptAtMs,
      claimHorizonMs: this.claimHorizonMs,
      writers: this.writers.toSnapshot(),
      sessions: this.sessionTable.toSnapshot(),
      leases: this.leaseTable.toSnapshot(),
      steps: this.listSteps().map(step => step.toSnapshot()),
      claims: this.claims.toSnapshot(),
      suspects: this.suspectTable.toSnapshot(),
    };
  }

  private judge(value: StateRecord, offset: number, nowMs: number): Verdict {
    const writer = buildWriterKey(value.stamp);
    switch (value.kind) {
      case 'session':
        this.sessionTable.renew(writer, value.ttlMs, nowMs);
        return ACCEPTED;
      case 'session_closed':
        this.sessionTable.close(writer);
        return ACCEPTED;
      case 'lease_claimed':
        return this.leaseTable.claim(value.lease, value.stamp, offset, nowMs);
      case 'lease_released':
        return this.leaseTable.release(value.lease, value.fencing, nowMs)
          ? ACCEPTED
          : voidBecause('stale_fencing');
      case 'step_opened':
        return this.openStep(value, nowMs);
      case 'request_claimed':
        return this.claimRequest(value, writer, nowMs);
      case 'request_released': {
        const key = `${value.tenant}/${value.req}`;
        return this.claims.release(key, writer, nowMs)
          ? ACCEPTED
          : voidBecause('no_change');
      }
      case 'crash_seen':
        this.suspectTable.recordCrash(
          value.endpoint,
          value.fingerprints,
          nowMs,
        );
        return ACCEPTED;
      case 'checkpoint_part':
      case 'audit_anchored':
        return ACCEPTED;
      default:
        return this.judgeOwnerRecord(value, nowMs);
    }
  }

  private claimRequest(
    value: RecordOf<'request_claimed'>,
    writer: string,
    nowMs: number,
  ): Verdict {
    const key = `${value.tenant}/${value.req}`;
    switch (this.claims.claim(key, writer, nowMs)) {
      case 'won':
        return ACCEPTED;
      case 'lost':
        return voidBecause('claimed_before');
      case 'full':
        return voidBecause('claims_full');
    }
  }

  private openStep(value: RecordOf<'step_opened'>, nowMs: number): Verdict {
    const {tenant, step, digest, req, rule, configVersion} = value;
    const existing = this.findStep(tenant, step);
    if (existing !== undefined) {
      const isSame = existing.opening.digest === digest;
      return voidBecause(isSame ? 'no_change' : 'step_conflict');
    }
    const opening: StepOpening = {
      tenant,
      step,
      digest,
      req,
      rule,
      configVersion,
      openedAtMs: nowMs,
    };
    this.stepMap.set(buildStepKey(tenant, step), new StepLedger(opening));
    return ACCEPTED;
  }

  private judgeOwnerRecord(value: OwnerRecord, nowMs: number): Verdict {
    const step = this.findStep(value.tenant, value.step);
    if (step === undefined) return voidBecause('unknown_step');
    if (step.closed !== undefined) return voidBecause('step_closed');
    const lease = buildStepLeaseName(step.key);
    if (!this.leaseTable.isCurrent(lease, value.fencing)) {
      return voidBecause('stale_fencing');
    }
    switch (value.kind) {
      case 'attempts_started':
        return step.recordStarts(value.attempts, value.fencing)
          ? ACCEPTED
          : voidBecause('out_of_range');
      case 'samples_committed': {
        const committed = step.commit(value.samples);
        return committed.length > 0
          ? {kind: 'accepted', committed}
          : voidBecause('no_change');
      }
      case 'samples_voided':
        return step.voidCursors(value.cursors)
          ? ACCEPTED
          : voidBecause('no_change');
      case 'cursor_acknowledged':
        return step.acknowledge(value.cursor, value.weightVersion)
          ? ACCEPTED
          : voidBecause('no_change');
      case 'step_closed':
        step.close(value.reason, nowMs);
        this.leaseTable.release(lease, value.fencing, nowMs);
        return ACCEPTED;
    }
  }

  /**
   * Removes entries that are no longer needed. Uses log time only, so that all
   * readers remove them at the same record.
   */
  private sweep(nowMs: number): void {
    if (nowMs < this.sweptAtMs + SWEEP_INTERVAL_MS) return;
    this.sweptAtMs = nowMs;
    this.sessionTable.dropExpired(nowMs - EXPIRED_SESSION_RETENTION_MS);
    this.writers.dropBefore(nowMs - WRITER_RETENTION_MS);
    this.suspectTable.dropBefore(nowMs - SUSPECT_RETENTION_MS);
    for (const step of this.listSteps()) {
      if (nowMs < findStepExpiryMs(step)) continue;
      this.stepMap.delete(step.key);
      this.leaseTable.remove(buildStepLeaseName(step.key));
    }
    this.dropIdleLeases(nowMs);
  }

  private dropIdleLeases(nowMs: number): void {
    for (const lease of this.leaseTable.list()) {
      if (this.leaseTable.isHeld(lease, nowMs)) continue;
      if (nowMs < lease.changedAtMs + IDLE_LEASE_RETENTION_MS) continue;
      this.leaseTable.remove(lease.name);
    }
  }
}

function findStepExpiryMs(step: StepLedger): number {
  if (step.closed !== undefined)
    return step.closedAtMs + CLOSED_STEP_RETENTION_MS;
  const {openedAtMs, req} = step.opening;
  return openedAtMs + req.timeoutMs + OVERDUE_STEP_RETENTION_MS;
}
