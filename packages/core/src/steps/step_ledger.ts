/** Ledger of one step: the winners of its samples and the trainer's cursor. */

import type {EndpointId, StepId, TenantId} from '@radishyoke/shared/ids';
import type {
  CommittedSample,
  SampleCommit,
} from '@radishyoke/shared/log_record';
import type {StepRequest} from '@radishyoke/shared/rollout';

/** An attempt that an owner started, as recorded in the log. */
export interface StartedAttempt {
  readonly group: number;
  readonly sample: number;
  readonly attempt: number;
  readonly endpoint: EndpointId;
  /** Fencing number of the owner that started it. */
  readonly fencing: number;
}

export type CloseReason = 'complete' | 'cancelled' | 'timed_out';

/** The part of a step that never changes after it was opened. */
export interface StepOpening {
  readonly tenant: TenantId;
  readonly step: StepId;
  readonly digest: string;
  readonly req: StepRequest;
  readonly rule: string;
  readonly configVersion: number;
  /** Adjusted log time. */
  readonly openedAtMs: number;
}

/** The complete state of a step from the log, as plain data. */
export interface StepSnapshot {
  readonly opening: StepOpening;
  readonly committed: readonly CommittedSample[];
  readonly attempts: readonly StartedAttempt[];
  readonly nextCursor: number;
  readonly acknowledged: number;
  readonly trainerVersion: number;
  readonly closed?: CloseReason;
  readonly closedAtMs: number;
}

/**
 * Number of latest attempts stored for each sample: the first one, its hedge
 * and a retry.
 */
const RETAINED_ATTEMPTS_PER_SAMPLE = 3;

/** Returns the key of a step across tenants, `tenant/step`. */
export function buildStepKey(tenant: TenantId, step: StepId): string {
  return `${tenant}/${step}`;
}

function buildSampleKey(group: number, sample: number): string {
  return `${group}/${sample}`;
}

/**
 * Folds the records of one step. The caller checks fencing numbers; this class
 * stores one winner per sample and assigns cursors in log order.
 */
export class StepLedger {
  readonly opening: StepOpening;
  private readonly winners = new Map<string, CommittedSample>();
  private readonly started = new Map<string, StartedAttempt[]>();
  private nextCursor = 1;
  private acknowledgedCursor = 0;
  private latestTrainerVersion: number;
  private closeReason: CloseReason | undefined;
  private endedAtMs = 0;

  constructor(opening: StepOpening, snapshot?: StepSnapshot) {
    this.opening = opening;
    this.latestTrainerVersion = opening.req.weightVersion;
    if (snapshot !== undefined) this.restore(snapshot);
  }

  /** Key of the step across tenants. */
  get key(): string {
    return buildStepKey(this.opening.tenant, this.opening.step);
  }

  /** Last cursor that the trainer has acknowledged. */
  get acknowledged(): number {
    return this.acknowledgedCursor;
  }

  /** Highest weight version that the trainer has reported. */
  get trainerVersion(): number {
    return this.latestTrainerVersion;
  }

  get closed(): CloseReason | undefined {
    return this.closeReason;
  }

  get closedAtMs(): number {
    return this.endedAtMs;
  }

  /** Highest cursor assigned; 0 for none. */
  get lastCursor(): number {
    return this.nextCursor - 1;
  }

  /** Number of samples that the step requests. */
  get sampleCount(): number {
    return this.opening.req.groups.reduce((sum, g) => sum + g.samples, 0);
  }

  /** Winners in cursor order. */
  listCommitted(): readonly CommittedSample[] {
    return [...this.winners.values()].sort((a, b) => a.cursor - b.cursor);
  }

  findCommitted(group: number, sample: number): CommittedSample | undefined {
    return this.winners.get(buildSampleKey(group, sample));
  }

  get committedCount(): number {
    return this.winners.size;
  }

  /** Attempts that owners started for a sample, in order of their numbers. */
  listAttempts(group: number, sample: number): readonly StartedAttempt[] {
    return this.started.get(buildSampleKey(group, sample)) ?? [];
  }

  /** Highest attempt number ever started for a sample; 0 for none. */
  findHighestAttempt(group: number, sample: number): number {
    return this.listAttempts(group, sample).at(-1)?.attempt ?? 0;
  }

  /** Commits the samples that have no winner yet and returns them. */
  commit(samples: readonly SampleCommit[]): readonly CommittedSample[] {
    const accepted: CommittedSample[] = [];
    for (const sample of samples) {
      const key = buildSampleKey(sample.group, sample.sample);
      // Two attempts of a sample may finish at the same time, or a new owner
      // may commit a sample without having read the old owner's commit. The
      // first commit in log order wins for every reader, so that the trainer
      // never receives a sample twice.
      if (this.winners.has(key)) continue;
      if (!this.hasSample(sample.group, sample.sample)) continue;
      const winner = {...sample, cursor: this.nextCursor++};
      this.winners.set(key, winner);
      accepted.push(winner);
    }
    return accepted;
  }

  /**
   * Voids winners by cursor; returns whether there was any. Winners that the
   * trainer has acknowledged stay, because it would receive a rerun as a
   * duplicate.
   */
  voidCursors(cursors: readonly number[]): boolean {
    const voidable = new Set(cursors.filter(c => c > this.acknowledgedCursor));
    let changed = false;
    for (const [key, winner] of this.winners) {
      if (!voidable.has(winner.cursor)) continue;
      this.winners.delete(key);
      changed = true;
    }
    return changed;
  }

  /** Records attempts that the owner with number `fencing` started. */
  recordStarts(
    attempts: ReadonlyArray<Omit<StartedAttempt, 'fencing'>>,
    fencing: number,
  ): boolean {
    const valid = attempts.filter(a => this.hasSample(a.group, a.sample));
    for (const entry of valid) this.recordAttempt({...entry, fencing});
    return valid.length > 0;
  }

  /**
   * Raises the trainer's cursor and version, neither of which ever decreases.
   */
  acknowledge(cursor: number, weightVersion: number): boolean {
    const next = Math.min(cursor, this.lastCursor);
    const moved =
      next > this.acknowledgedCursor ||
      weightVersion > this.latestTrainerVersion;
    this.acknowledgedCursor = Math.max(this.acknowledgedCursor, next);
    this.latestTrainerVersion = Math.max(
      this.latestTrainerVersion,
      weightVersion,
    );
    return moved;
  }

  close(reason: CloseReason, nowMs: number): void {
    this.closeReason = reason;
    this.endedAtMs = nowMs;
  }

  toSnapshot(): StepSnapshot {
    return {
      opening: this.opening,
      committed: this.listCommitted(),
      attempts: [...this.started.values()].flat(),
      nextCursor: this.nextCursor,
      acknowledged: this.acknowledgedCursor,
      trainerVersion: this.latestTrainerVersion,
      ...(this.closeReason === undefined ? {} : {closed: this.closeReason}),
      closedAtMs: this.endedAtMs,
    };
  }

  private recordAttempt(attempt: StartedAttempt): void {
    const key = buildSampleKey(attempt.group, attempt.sample);
    const attempts = (this.started.get(key) ?? []).filter(
      a => a.attempt !== attempt.attempt,
    );
    attempts.push(attempt);
    attempts.sort((a, b) => a.attempt - b.attempt);
    this.started.set(key, attempts.slice(-RETAINED_ATTEMPTS_PER_SAMPLE));
  }

  private hasSample(group: number, sample: number): boolean {
    const groupRequest = this.opening.req.groups[group];
    return (
      groupRequest !== undefined && sample >= 0 && sample < groupRequest.samples
    );
  }

  private restore(snapshot: StepSnapshot): void {
    for (const winner of snapshot.committed) {
      this.winners.set(buildSampleKey(winner.group, winner.sample), winner);
    }
    for (const attempt of snapshot.attempts) this.recordAttempt(attempt);
    this.nextCursor = snapshot.nextCursor;
    this.acknowledgedCursor = snapshot.acknowledged;
    this.latestTrainerVersion = snapshot.trainerVersion;
    this.closeReason = snapshot.closed;
    this.endedAtMs = snapshot.closedAtMs;
  }
}
