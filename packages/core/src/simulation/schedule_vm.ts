/** One VM of a schedule: its folds and writers, and a minimal owner of the only step. */

import {
  toEndpointId,
  toIncarnationId,
  toRequestId,
  toVmId,
} from '@radishyoke/shared/ids';
import type {
  CheckpointPart,
  CommittedSample,
  ConfigRecord,
  LoggedRecord,
  StateRecord,
} from '@radishyoke/shared/log_record';
import {CheckpointAssembler, splitCheckpoint} from '../ledger/checkpoint.js';
import {ConfigHistory, NO_VERSION} from '../rules/config_history.js';
import {buildStepLeaseName} from '../ledger/lease_table.js';
import {
  DEFAULT_CLAIM_HORIZON_MS,
  StateFold,
  type StateSnapshot,
} from '../ledger/state_fold.js';
import {openStep, STEP, TEAM, TENANT} from './log_fixtures.js';
import {type ScheduleLog, ScheduleWriter} from './schedule_log.js';

export const SESSION_TTL_MS = 6000;
/** Share of the TTL for which a holder treats its own lease as valid. */
const LOCAL_VALIDITY_SHARE = 0.9;
const LEASE = buildStepLeaseName(`${TENANT}/${STEP}`);

/** A guard that is disabled to show that the checks detect its absence. */
export type MissingGuard =
  | 'none'
  | 'log_fencing'
  | 'trainer_fencing'
  | 'trainer_cursor'
  | 'lost_answer'
  | 'carried_claims';

/** A message from a VM to the trainer with one sample. */
export interface SampleDelivery {
  readonly fencing: number;
  readonly cursor: number;
  readonly sample: number;
  readonly text: string;
}

/** The state that all VMs of a schedule share. */
export interface ScheduleWorld {
  readonly state: ScheduleLog<StateRecord>;
  readonly config: ScheduleLog<ConfigRecord>;
  readonly sampleCount: number;
  readonly guard: MissingGuard;
  nowMs: number;
  /** How often each request id was run. */
  readonly runCounts: Map<string, number>;
  /** Texts of publications that were reported to the operator as failed. */
  readonly reportedFailed: Set<string>;
}

/** Creates a fold, without its fencing check if that is the missing guard. */
export function createFold(
  guard: MissingGuard,
  snapshot?: StateSnapshot,
): StateFold {
  const cfg = {claimHorizonMs: DEFAULT_CLAIM_HORIZON_MS};
  const fold = new StateFold(cfg, snapshot);
  if (guard === 'log_fencing') {
    (fold.leases as {isCurrent: unknown}).isCurrent = () => true;
  }
  return fold;
}

/** A VM process. A restart creates another instance with another incarnation. */
export class ScheduleVm {
  paused = false;
  fold: StateFold;
  config = new ConfigHistory(() => undefined);
  /** Whether it has reached the end of both streams since it started. */
  ready = false;
  readonly stateWriter: ScheduleWriter<StateRecord>;
  private readonly configWriter: ScheduleWriter<ConfigRecord>;
  private readonly generatedTexts = new Map<string, string>();
  private validUntilMs = 0;
  /** When each renewal was given to the writer, by its sequence number. */
  private readonly renewalSentAtMs = new Map<number, number>();
  /** Set once the trainer has connected: the fencing number and the last cursor sent. */
  private trainerLink:
    {readonly fencing: number; sentCursor: number} | undefined;
  private publications = 0;
  private attempts = 0;

  constructor(
    private readonly world: ScheduleWorld,
    private readonly name: string,
    private readonly incarnation: string,
  ) {
    const stamp = {
      vm: toVmId(name),
      incarnation: toIncarnationId(incarnation),
    };
    const dropsUnacknowledged = world.guard === 'lost_answer';
    this.fold = createFold(world.guard);
    this.stateWriter = new ScheduleWriter(
      world.state,
      stamp,
      dropsUnacknowledged,
    );
    this.configWriter = new ScheduleWriter(
      world.config,
      stamp,
      dropsUnacknowledged,
    );
  }

  /** The fencing number if the log shows this VM as the owner. */
  get fencing(): number | undefined {
    const lease = this.fold.leases.find(LEASE);
    const isOwn =
      lease?.vm === this.name && lease.incarnation === this.incarnation;
    return isOwn && !lease.released ? lease.fencing : undefined;
  }

  /** `fencing` while, by the VM's own clock, no other VM can have taken over. */
  get validFencing(): number | undefined {
    return this.world.nowMs < this.validUntilMs ? this.fencing : undefined;
  }

  read(max: number): void {
    this.readConfig(max);
    this.readState(max);
    this.ready ||=
      this.fold.next === this.world.state.records.length &&
      this.config.next === this.world.config.records.length;
  }

  flush(outcome: Parameters<ScheduleWriter<StateRecord>['flush']>[0]): void {
    this.stateWriter.flush(outcome, this.world.nowMs);
    const failed = this.configWriter.flush(outcome, this.world.nowMs);
    for (const value of failed) {
      if (value.kind === 'config_published') {
        this.world.reportedFailed.add(value.text);
      }
    }
  }

  openStep(): void {
    this.stateWriter.push(openStep(this.world.sampleCount));
  }

  renew(): void {
    const {stamp} = this.stateWriter.push({
      kind: 'session',
      ttlMs: SESSION_TTL_MS,
    });
    this.renewalSentAtMs.set(stamp.seq, this.world.nowMs);
  }

  claim(): void {
    const lease = this.fold.leases.find(LEASE);
    const isHeld =
      lease !== undefined && this.fold.leases.isHeld(lease, this.world.nowMs);
    if (isHeld) return;
    this.renew();
    this.stateWriter.push({kind: 'lease_claimed', lease: LEASE});
  }

  publish(): void {
    const basedOn = this.config.current(TEAM)?.version ?? NO_VERSION;
    const text = `${this.name}/${this.incarnation}/${++this.publications}`;
    this.configWriter.push({
      kind: 'config_published',
      team: TEAM,
      basedOn,
      author: this.name,
      text,
    });
  }

  request(req: string): void {
    this.stateWriter.push({
      kind: 'request_claimed',
      tenant: TENANT,
      req: toRequestId(req),
    });
  }

  /** Generates one sample, unless one was committed, and proposes it for commit. */
  generate(sample: number): void {
    const fencing = this.validFencing;
    const step = this.step;
    if (fencing === undefined || step === undefined) return;
    if (step.findCommitted(0, sample) !== undefined) return;
    const text = `${this.name}/${this.incarnation}/${++this.attempts}`;
    this.generatedTexts.set(text, text);
    this.stateWriter.push({
      kind: 'samples_committed',
      ...this.createOwnerFields(fencing),
      samples: [
        {
          group: 0,
          sample,
          attempt: this.attempts,
          endpoint: toEndpointId('e1'),
          spans: [{weightVersion: 1, tokens: 1}],
          digest: text,
        },
      ],
    });
  }

  /** Connects the trainer at its cursor; returns the owner's fencing number. */
  connect(cursor: number): number | undefined {
    const fencing = this.validFencing;
    if (fencing === undefined) return undefined;
    this.trainerLink = {fencing, sentCursor: cursor};
    this.acknowledge(cursor);
    return fencing;
  }

  acknowledge(cursor: number): void {
    const fencing = this.validFencing;
    if (fencing === undefined) return;
    this.stateWriter.push({
      kind: 'cursor_acknowledged',
      ...this.createOwnerFields(fencing),
      cursor,
      weightVersion: 1,
    });
    if (cursor >= (this.step?.lastCursor ?? 0)) this.closeIfDone(fencing);
  }

  /**
   * Sends the next committed samples in cursor order. A sample whose text was
   * generated by another process can't be sent; it is voided and generated again.
   */
  sendSamples(): readonly SampleDelivery[] {
    const {trainerLink} = this;
    const fencing = this.validFencing;
    if (trainerLink === undefined || fencing === undefined) return [];
    if (fencing !== trainerLink.fencing) return [];
    const deliveries: SampleDelivery[] = [];
    for (const winner of this.step?.listCommitted() ?? []) {
      if (winner.cursor <= trainerLink.sentCursor) continue;
      const text = this.generatedTexts.get(winner.digest);
      if (text === undefined) {
        this.voidWinner(fencing, winner);
        break;
      }
      trainerLink.sentCursor = winner.cursor;
      const {cursor, sample} = winner;
      deliveries.push({fencing, cursor, sample, text});
    }
    return deliveries;
  }

  checkpoint(): void {
    const snapshot = this.fold.toSnapshot();
    const written =
      this.world.guard === 'carried_claims'
        ? {...snapshot, claims: []}
        : snapshot;
    for (const part of splitCheckpoint(snapshot.next, written)) {
      this.stateWriter.push(part);
    }
  }

  get step() {
    return this.fold.findStep(TENANT, STEP);
  }

  private createOwnerFields(fencing: number) {
    return {tenant: TENANT, step: STEP, fencing};
  }

  private voidWinner(fencing: number, winner: CommittedSample): void {
    const cursors = [winner.cursor];
    this.stateWriter.push({
      kind: 'samples_voided',
      ...this.createOwnerFields(fencing),
      cursors,
    });
  }

  private closeIfDone(fencing: number): void {
    const {step} = this;
    if (step === undefined || step.committedCount < step.sampleCount) return;
    this.stateWriter.push({
      kind: 'step_closed',
      ...this.createOwnerFields(fencing),
      reason: 'complete',
    });
  }

  private readConfig(max: number): void {
    const {records} = this.world.config;
    for (const record of records.slice(this.config.next).slice(0, max)) {
      const outcome = this.config.apply(record);
      if (outcome.kind !== 'copy') this.configWriter.settle(record.value.stamp);
    }
  }

  private readState(max: number): void {
    if (this.fold.next < this.world.state.oldest) this.loadCheckpoint();
    const {records} = this.world.state;
    for (const record of records.slice(this.fold.next).slice(0, max)) {
      this.applyState(record);
    }
  }

  private applyState(record: LoggedRecord<StateRecord>): void {
    const {value} = record;
    const verdict = this.fold.apply(record);
    if (verdict.kind === 'void' && verdict.reason === 'copy') return;
    const isOwn =
      value.stamp.vm === this.name &&
      value.stamp.incarnation === this.incarnation;
    if (!isOwn) return;
    this.stateWriter.settle(value.stamp);
    if (value.kind === 'session') this.confirmSession(value.stamp.seq);
    if (value.kind === 'request_claimed' && verdict.kind === 'accepted') {
      const {runCounts} = this.world;
      runCounts.set(value.req, (runCounts.get(value.req) ?? 0) + 1);
    }
  }

  private confirmSession(seq: number): void {
    const sentAtMs = this.renewalSentAtMs.get(seq) ?? 0;
    const untilMs = sentAtMs + SESSION_TTL_MS * LOCAL_VALIDITY_SHARE;
    this.validUntilMs = Math.max(this.validUntilMs, untilMs);
  }

  private loadCheckpoint(): void {
    const {records, oldest} = this.world.state;
    const assembler = new CheckpointAssembler();
    for (const record of records.slice(oldest)) {
      if (record.value.kind !== 'checkpoint_part') continue;
      const part = record as LoggedRecord<CheckpointPart>;
      const checkpoint = assembler.add(part);
      if (checkpoint === undefined || checkpoint.asOf < oldest) continue;
      this.fold = createFold(this.world.guard, JSON.parse(checkpoint.text));
      return;
    }
  }
}
