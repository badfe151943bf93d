/** The ledger of one step: winners of its samples and the trainer's cursor. */

import type {EndpointId, StepId, TenantId} from '@radishyoke/shared/ids';
import type {
  CommittedSample,
  SampleCommit,
} from '@radishyoke/shared/log_record';
import type {StepRequest} from '@radishyoke/shared/rollout';

/** An attempt that an owner started, as the log tells it. */
export interface StartedAttempt {
  readonly group: number;
  readonly sample: number;
  readonly attempt: number;
  readonly endpoint: EndpointId;
  /** Fencing number of the owner that started it. */
  readonly fencing: number;
}

export type CloseReason = 'complete' | 'cancelled' | 'timed_out';

/** What stays the same for a step's life. */
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

/** A step with everything the log says of it, as plain data. */
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

/** Attempts remembered of each sample: a first one, its hedge and a retry. */
const ATTEMPTS_KEPT_PER_SAMPLE = 3;

/** Names a step across tenants, as in `tenant/step`. */
export function buildStepKey(tenant: TenantId, step: StepId): string {
  return `${tenant}/${step}`;
}

function buildSampleKey(group: number, sample: number): string {
  return `${group}/${sample}`;
}

/**
 * Folds the records of one step. Fencing is checked by the caller; this class
 * keeps one winner a sample and hands out cursors in the log's order.
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

  /** Name of the step across tenants. */
  get key(): string {
    return buildStepKey(this.opening.tenant, this.opening.step);
  }

  /** Last cursor that the trainer has taken. */
  get acknowledged(): number {
    return this.acknowledgedCursor;
  }

  /** The trainer's weight version, as last told. */
  get trainerVersion(): number {
    return this.latestTrainerVersion;
  }

  get closed(): CloseReason | undefined {
    return this.closeReason;
  }

  get closedAtMs(): number {
    return this.endedAtMs;
  }

  /** Highest cursor given out; 0 for none. */
  get lastCursor(): number {
    return this.nextCursor - 1;
  }

  /** Samples that the step asks for. */
  get sampleCount(): number {
    return this.opening.req.groups.reduce((sum, g) => sum + g.samples, 0);
  }

  /** Winners, in the order of their cursors. */
  listCommitted(): readonly CommittedSample[] {
    return [...this.winners.values()].sort((a, b) => a.cursor - b.cursor);
  }

  findCommitted(group: number, sample: number): CommittedSample | undefined {
    return this.winners.get(buildSampleKey(group, sample));
  }

  get committedCount(): number {
    return this.winners.size;
  }

  /** Attempts that owners started for a sample, latest last. */
  listAttempts(group: number, sample: number): readonly StartedAttempt[] {
    return this.started.get(buildSampleKey(group, sample)) ?? [];
  }

  /** Highest attempt number ever started for a sample; 0 for none. */
  findHighestAttempt(group: number, sample: number): number {
    return this.listAttempts(group, sample).at(-1)?.attempt ?? 0;
  }

  /** Commits those of `samples` that have no winner yet and returns them. */
  commit(samples: readonly SampleCommit[]): readonly CommittedSample[] {
    const accepted: CommittedSample[] = [];
    for (const sample of samples) {
      const key = buildSampleKey(sample.group, sample.sample);
      // Two attempts of one sample end at once, or a new owner commits what the
      // old one had committed unseen: the trainer would get the sample twice.
      // The log's order decides, the same for every reader.
      if (this.winners.has(key)) continue;
      if (!this.hasSample(sample.group, sample.sample)) continue;
      const winner = {...sample, cursor: this.nextCursor++};
      this.winners.set(key, winner);
      accepted.push(winner);
    }
    return accepted;
  }

  /**
   * Takes back winners by cursor; returns whether any was. One that the trainer
   * has acknowledged stays, because running it again would double it.
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

  /** Notes attempts that the owner under `fencing` started. */
  recordStarts(
    attempts: ReadonlyArray<Omit<StartedAttempt, 'fencing'>>,
    fencing: number,
  ): boolean {
    const valid = attempts.filter(a => this.hasSample(a.group, a.sample));
    for (const entry of valid) this.recordAttempt({...entry, fencing});
    return valid.length > 0;
  }

  /** Moves the trainer's cursor and version; both only ever rise. */
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
    this.started.set(key, attempts.slice(-ATTEMPTS_KEPT_PER_SAMPLE));
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
