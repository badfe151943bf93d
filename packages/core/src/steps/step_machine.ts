/**
 * One step at its owner: which samples run, which output wins, what the trainer
 * is handed and when. Keeps two promises: a sample is handed over only after the
 * log holds its winner, and never when it is older than the staleness bound at
 * that moment. Pure: events in, actions out.
 */

import type {ErrorKind, RadishyokeError} from '@radishyoke/shared/error_kind';
import {createError} from '@radishyoke/shared/error_kind';
import type {EndpointId, StepId} from '@radishyoke/shared/ids';
import {toEndpointId, toRolloutId} from '@radishyoke/shared/ids';
import type {
  CommittedSample,
  SampleCommit,
} from '@radishyoke/shared/log_record';
import {
  measureStaleness,
  Rollout,
  StepEvent,
  StepRequest,
  TokenSpan,
} from '@radishyoke/shared/rollout';
import {computeDigest} from '../ledger/digest.js';

/** Which sample of the step, both from 0. */
export interface SampleRef {
  readonly group: number;
  readonly sample: number;
}

/** The output of the attempt that won. */
export interface SampleOutput extends SampleRef {
  readonly attempt: number;
  readonly endpoint: EndpointId;
  readonly text: string;
  readonly spans: readonly TokenSpan[];
  readonly finishReason: string;
}

export type StepInput =
  | {readonly kind: 'finished'; readonly output: SampleOutput}
  | ({readonly kind: 'failed'; readonly error: RadishyokeError} & SampleRef)
  /** The partial output of a running sample is already over the bound. */
  | ({readonly kind: 'outdated'} & SampleRef)
  /** The log holds these winners and no newer owner existed before them. */
  | {
      readonly kind: 'committed';
      readonly samples: readonly CommittedSample[];
    }
  /** The log did not take these; they are committed again. */
  | {readonly kind: 'commit_failed'; readonly samples: readonly SampleRef[]}
  | {
      readonly kind: 'attached';
      readonly cursor: number;
      readonly weightVersion: number;
    }
  | {readonly kind: 'detached'}
  | {
      readonly kind: 'acknowledged';
      readonly cursor: number;
      readonly weightVersion: number;
    }
  /** The text of an earlier owner's winner was had from its engine, or not. */
  | {
      readonly kind: 'recovered';
      readonly cursor: number;
      readonly output?: SampleOutput;
    }
  | {readonly kind: 'cancel'}
  | {readonly kind: 'tick'};

export type StepOutput =
  | ({
      readonly kind: 'run';
      /** Number of the first attempt; later ones count on. */
      readonly firstAttempt: number;
      readonly minWeightVersion: number;
    } & SampleRef)
  | ({readonly kind: 'abandon'} & SampleRef)
  | {readonly kind: 'min_version'; readonly minWeightVersion: number}
  | {readonly kind: 'commit'; readonly samples: readonly SampleCommit[]}
  | {readonly kind: 'void'; readonly cursors: readonly number[]}
  | {readonly kind: 'send'; readonly event: StepEvent}
  | {readonly kind: 'recover'; readonly committed: CommittedSample}
  | {
      readonly kind: 'acknowledge';
      readonly cursor: number;
      readonly weightVersion: number;
    }
  | {
      readonly kind: 'close';
      readonly reason: 'complete' | 'cancelled' | 'timed_out';
    };

/** What the log already holds of the step when this owner takes it. */
export interface StepHistory {
  readonly committed: readonly CommittedSample[];
  readonly acknowledgedCursor: number;
  /** Highest cursor ever committed, voided ones included. */
  readonly highestCursor: number;
  readonly weightVersion: number;
  /** Attempts begun so far, by sample, for numbering. */
  readonly attempts: ReadonlyMap<string, number>;
}

export interface StepMachineOptions {
  readonly step: StepId;
  readonly req: StepRequest;
  readonly fencing: number;
  /** When the step was opened, by any owner; its deadline counts from here. */
  readonly openedAtMs: number;
  /** When this owner took it. */
  readonly ownedFromMs: number;
  readonly history?: StepHistory;
}

/** Counts for status pages. */
export interface StepProgress {
  readonly samples: number;
  readonly settled: number;
  readonly acknowledged: number;
  readonly attached: boolean;
}

type SampleState =
  | {readonly kind: 'running'}
  /** No endpoint could take it; it runs again then. */
  | {readonly kind: 'waiting'; readonly untilMs: number}
  /** Text and error wait here for the log, then for the trainer. */
  | {
      readonly kind: 'settled';
      /** Position in the trainer's stream; absent until the log holds it. */
      readonly cursor?: number;
      readonly output?: SampleOutput;
      readonly shortfall?: RadishyokeError;
    }
  | {
      readonly kind: 'recovering';
      readonly committed: CommittedSample;
      /** No engine has the text any more. */
      readonly lost: boolean;
    }
  | {readonly kind: 'acknowledged'; readonly shortfall: boolean};

/** Refusals that pass by themselves. */
const passingKinds: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'no_endpoint',
  'overloaded',
]);
/** Pause before such a sample runs again, where the refusal names none. */
const retryPauseMs = 500;

type SettledState = Extract<SampleState, {readonly kind: 'settled'}>;

/** How long a new owner waits for an engine to give back a winner's text. */
const recoveryTimeoutMs = 5000;

/** How long a finished step waits for the trainer's last acknowledgement. */
const lastAckGraceMs = 60_000;

/** Names a sample within its step. */
export function formatSampleKey(ref: SampleRef): string {
  return `${ref.group}/${ref.sample}`;
}

export class StepMachine {
  private readonly states = new Map<string, SampleState>();
  private readonly attempts = new Map<string, number>();
  private readonly cursors = new Map<number, SampleRef>();
  private readonly deadlineAtMs: number;
  private highestCursor: number;
  /** Cursors up to here were given out before this owner; some were voided. */
  private readonly adoptedCursor: number;
  private acknowledgedCursor: number;
  private sentCursor = 0;
  private attached = false;
  private weightVersion: number;
  private closed = false;
  private endSent = false;

  constructor(private readonly options: StepMachineOptions) {
    const {req, history, openedAtMs} = options;
    this.deadlineAtMs = openedAtMs + req.timeoutMs;
    this.highestCursor = history?.highestCursor ?? 0;
    this.adoptedCursor = this.highestCursor;
    this.acknowledgedCursor = history?.acknowledgedCursor ?? 0;
    this.weightVersion = Math.max(
      req.weightVersion,
      history?.weightVersion ?? 0,
    );
    for (const [key, count] of history?.attempts ?? []) {
      this.attempts.set(key, count);
    }
  }

  /** Begins the step: what is not settled runs, what is, is recovered. */
  begin(): readonly StepOutput[] {
    const out: StepOutput[] = [];
    for (const committed of this.options.history?.committed ?? []) {
      this.adopt(committed, out);
    }
    this.options.req.groups.forEach((group, index) => {
      for (let sample = 0; sample < group.samples; sample++) {
        const ref = {group: index, sample};
        if (!this.states.has(formatSampleKey(ref))) this.run(ref, out);
      }
    });
    return out;
  }

  handle(input: StepInput, nowMs: number): readonly StepOutput[] {
    const out: StepOutput[] = [];
    if (this.closed) return out;
    switch (input.kind) {
      case 'finished':
        this.settle(input.output, {output: input.output}, out);
        break;
      case 'failed':
        this.fail(input, input.error, nowMs, out);
        break;
      case 'outdated':
        this.rerun(input, out);
        break;
      case 'committed':
        this.markCommitted(input.samples);
        break;
      case 'commit_failed':
        this.commitAgain(input.samples, out);
        break;
      case 'attached':
        this.attached = true;
        this.sentCursor = this.boundCursor(input.cursor);
        this.endSent = false;
        this.moveTrainer(input.cursor, input.weightVersion, out);
        this.rerunLost(out);
        break;
      case 'detached':
        this.attached = false;
        break;
      case 'acknowledged':
        this.moveTrainer(input.cursor, input.weightVersion, out);
        break;
      case 'recovered':
        this.recover(input.cursor, input.output, out);
        break;
      case 'cancel':
        this.close('cancelled', out);
        return out;
      case 'tick':
        this.expire(nowMs, out);
        break;
    }
    this.handOver(out);
    this.closeIfComplete(nowMs, out);
    return out;
  }

  /** Oldest version whose output the trainer still takes. */
  get minWeightVersion(): number {
    return Math.max(0, this.weightVersion - this.options.req.maxStaleness);
  }

  isClosed(): boolean {
    return this.closed;
  }

  describe(): StepProgress {
    let settled = 0;
    let acknowledged = 0;
    for (const state of this.states.values()) {
      if (state.kind === 'settled') settled++;
      if (state.kind === 'acknowledged') acknowledged++;
    }
    return {
      samples: this.states.size,
      settled: settled + acknowledged,
      acknowledged,
      attached: this.attached,
    };
  }

  private adopt(committed: CommittedSample, out: StepOutput[]): void {
    const key = formatSampleKey(committed);
    this.cursors.set(committed.cursor, committed);
    if (committed.cursor <= this.acknowledgedCursor) {
      this.states.set(key, {
        kind: 'acknowledged',
        shortfall: committed.shortfall !== undefined,
      });
      return;
    }
    if (committed.shortfall) {
      this.states.set(key, {
        kind: 'settled',
        cursor: committed.cursor,
        shortfall: createError(committed.shortfall),
      });
      return;
    }
    this.states.set(key, {kind: 'recovering', committed, lost: false});
    out.push({kind: 'recover', committed});
  }

  private run(ref: SampleRef, out: StepOutput[]): void {
    const key = formatSampleKey(ref);
    this.states.set(key, {kind: 'running'});
    out.push({
      kind: 'run',
      group: ref.group,
      sample: ref.sample,
      firstAttempt: (this.attempts.get(key) ?? 0) + 1,
      minWeightVersion: this.minWeightVersion,
    });
  }

  /** Tells the machine that an attempt began, so that numbers are never reused. */
  noteAttempt(ref: SampleRef, attempt: number): void {
    const key = formatSampleKey(ref);
    const highest = this.attempts.get(key) ?? 0;
    this.attempts.set(key, Math.max(highest, attempt));
  }

  private rerun(ref: SampleRef, out: StepOutput[]): void {
    if (this.states.get(formatSampleKey(ref))?.kind !== 'running') return;
    out.push({kind: 'abandon', group: ref.group, sample: ref.sample});
    this.run(ref, out);
  }

  private settle(
    ref: SampleRef,
    result: {
      readonly output?: SampleOutput;
      readonly shortfall?: RadishyokeError;
    },
    out: StepOutput[],
  ): void {
    if (this.states.get(formatSampleKey(ref))?.kind !== 'running') return;
    if (result.output && this.isStale(result.output.spans)) {
      this.run(ref, out);
      return;
    }
    this.states.set(formatSampleKey(ref), {kind: 'settled', ...result});
    out.push({kind: 'commit', samples: [this.buildCommit(ref)]});
  }

  /**
   * A full queue or a group without endpoints passes; ending the sample for it
   * would show as a step that is short although its deadline is far off.
   */
  private fail(
    ref: SampleRef,
    error: RadishyokeError,
    nowMs: number,
    out: StepOutput[],
  ): void {
    if (!passingKinds.has(error.kind)) {
      this.settle(ref, {shortfall: error}, out);
      return;
    }
    const key = formatSampleKey(ref);
    if (this.states.get(key)?.kind !== 'running') return;
    const untilMs = nowMs + (error.retryAfterMs ?? retryPauseMs);
    this.states.set(key, {kind: 'waiting', untilMs});
  }

  private buildCommit(ref: SampleRef): SampleCommit {
    const state = this.states.get(formatSampleKey(ref));
    if (state?.kind !== 'settled') throw new Error('sample is not settled');
    const {output, shortfall} = state;
    return {
      group: ref.group,
      sample: ref.sample,
      attempt: output?.attempt ?? 0,
      endpoint: output?.endpoint ?? toEndpointId(''),
      spans: output?.spans ?? [],
      digest: output ? computeDigest(output.text) : '',
      ...(shortfall ? {shortfall: shortfall.kind} : {}),
    };
  }

  private markCommitted(samples: readonly CommittedSample[]): void {
    for (const {group, sample, cursor} of samples) {
      const ref = {group, sample};
      const key = formatSampleKey(ref);
      const state = this.states.get(key);
      this.cursors.set(cursor, ref);
      this.highestCursor = Math.max(this.highestCursor, cursor);
      if (state?.kind !== 'settled') continue;
      this.states.set(key, {...state, cursor});
    }
  }

  private commitAgain(samples: readonly SampleRef[], out: StepOutput[]): void {
    const open = samples.filter(ref => {
      const state = this.states.get(formatSampleKey(ref));
      return state?.kind === 'settled' && state.cursor === undefined;
    });
    if (open.length === 0) return;
    out.push({kind: 'commit', samples: open.map(ref => this.buildCommit(ref))});
  }

  private moveTrainer(
    cursor: number,
    weightVersion: number,
    out: StepOutput[],
  ): void {
    const known = this.boundCursor(cursor);
    const moved = known > this.acknowledgedCursor;
    const newer = weightVersion > this.weightVersion;
    if (moved) this.acknowledgeUpTo(known);
    if (newer) {
      this.weightVersion = weightVersion;
      out.push({kind: 'min_version', minWeightVersion: this.minWeightVersion});
    }
    if (moved || newer) {
      out.push({
        kind: 'acknowledge',
        cursor: this.acknowledgedCursor,
        weightVersion: this.weightVersion,
      });
    }
  }

  /**
   * A trainer can have read no further than was ever committed. Taking its word
   * for more would skip what is yet to come, and a huge number would keep this
   * process busy with cursors that do not exist.
   */
  private boundCursor(cursor: number): number {
    return Math.min(cursor, this.highestCursor);
  }

  private acknowledgeUpTo(cursor: number): void {
    for (let at = this.acknowledgedCursor + 1; at <= cursor; at++) {
      const ref = this.cursors.get(at);
      if (!ref) continue;
      const key = formatSampleKey(ref);
      const state = this.states.get(key);
      const holds =
        (state?.kind === 'settled' && state.cursor === at) ||
        (state?.kind === 'recovering' && state.committed.cursor === at);
      if (!holds) continue;
      const shortfall = state.kind === 'settled' && !!state.shortfall;
      this.states.set(key, {kind: 'acknowledged', shortfall});
    }
    this.acknowledgedCursor = cursor;
  }

  private recover(
    cursor: number,
    output: SampleOutput | undefined,
    out: StepOutput[],
  ): void {
    const ref = this.cursors.get(cursor);
    if (!ref) return;
    const key = formatSampleKey(ref);
    const state = this.states.get(key);
    if (state?.kind !== 'recovering') return;
    const intact =
      output && computeDigest(output.text) === state.committed.digest;
    if (intact) {
      this.states.set(key, {kind: 'settled', cursor, output});
      return;
    }
    this.states.set(key, {...state, lost: true});
    this.rerunLost(out);
  }

  private handOver(out: StepOutput[]): void {
    if (!this.attached) return;
    for (const {ref, state, cursor} of this.listDeliverable()) {
      if (state.output && this.isStale(state.output.spans)) {
        // The trainer moved on while this output waited for the log or for a
        // connection. Handing it over would break the staleness bound; the
        // winner is taken back and the sample runs again.
        out.push({kind: 'void', cursors: [cursor]});
        this.run(ref, out);
        continue;
      }
      this.sentCursor = Math.max(this.sentCursor, cursor);
      out.push({kind: 'send', event: this.buildEvent(ref, state, cursor)});
    }
    this.sendEnd(out);
  }

  /**
   * Committed samples the trainer has not been sent, in cursor order, up to the
   * first that is not at hand: a cursor must never be passed by a higher one.
   */
  private listDeliverable() {
    const deliverable: Array<{
      readonly ref: SampleRef;
      readonly state: SettledState;
      readonly cursor: number;
    }> = [];
    for (let at = this.sentCursor + 1; at <= this.highestCursor; at++) {
      const ref = this.cursors.get(at);
      if (!ref) {
        if (at <= this.adoptedCursor) continue;
        break;
      }
      const state = this.states.get(formatSampleKey(ref));
      if (state?.kind === 'recovering' && state.committed.cursor === at) break;
      if (state?.kind !== 'settled' || state.cursor !== at) continue;
      deliverable.push({ref, state, cursor: at});
    }
    return deliverable;
  }

  private buildEvent(
    ref: SampleRef,
    state: SettledState,
    cursor: number,
  ): StepEvent {
    const {fencing, step} = this.options;
    const id = toRolloutId(step, ref.group, ref.sample);
    if (!state.output) {
      const error = state.shortfall ?? createError('internal');
      return {kind: 'shortfall', cursor, fencing, rolloutId: id, error};
    }
    const {attempt, endpoint, text, spans, finishReason} = state.output;
    const rollout: Rollout = {
      id,
      step,
      group: ref.group,
      sample: ref.sample,
      attempt,
      endpoint,
      text,
      spans,
      finishReason,
    };
    return {kind: 'rollout', cursor, fencing, rollout};
  }

  private sendEnd(out: StepOutput[]): void {
    if (this.endSent) return;
    let rollouts = 0;
    let shortfalls = 0;
    for (const state of this.states.values()) {
      if (state.kind === 'running' || state.kind === 'waiting') return;
      if (state.kind === 'recovering') return;
      if (state.kind === 'settled') {
        if (state.cursor === undefined) return;
        if (state.cursor > this.sentCursor) return;
      }
      if (state.shortfall) shortfalls++;
      else rollouts++;
    }
    this.endSent = true;
    const {fencing} = this.options;
    out.push({
      kind: 'send',
      event: {kind: 'end', fencing, rollouts, shortfalls},
    });
  }

  private isStale(spans: readonly TokenSpan[]): boolean {
    const {maxStaleness} = this.options.req;
    return measureStaleness(spans, this.weightVersion) > maxStaleness;
  }

  private expire(nowMs: number, out: StepOutput[]): void {
    this.expireRecoveries(nowMs, out);
    const isLate = nowMs >= this.deadlineAtMs;
    for (const [key, state] of [...this.states]) {
      const [group, sample] = key.split('/').map(Number);
      if (state.kind === 'waiting' && (isLate || nowMs >= state.untilMs)) {
        this.run({group, sample}, out);
      }
      if (!isLate || this.states.get(key)?.kind !== 'running') continue;
      out.push({kind: 'abandon', group, sample});
      const shortfall = createError('deadline_passed');
      this.settle({group, sample}, {shortfall}, out);
    }
  }

  private expireRecoveries(nowMs: number, out: StepOutput[]): void {
    if (nowMs - this.options.ownedFromMs < recoveryTimeoutMs) return;
    for (const [key, state] of this.states) {
      if (state.kind !== 'recovering') continue;
      this.states.set(key, {...state, lost: true});
    }
    this.rerunLost(out);
  }

  private rerunLost(out: StepOutput[]): void {
    // The earlier owner may have handed this cursor over just before it died.
    // Running the sample again before the trainer has said how far it read
    // would show as a rollout received twice, so nothing runs until it has.
    if (!this.attached) return;
    for (const state of [...this.states.values()]) {
      if (state.kind !== 'recovering' || !state.lost) continue;
      const {committed} = state;
      out.push({kind: 'void', cursors: [committed.cursor]});
      this.run(committed, out);
    }
  }

  private closeIfComplete(nowMs: number, out: StepOutput[]): void {
    const {acknowledged, samples} = this.describe();
    if (acknowledged === samples) {
      this.close('complete', out);
      return;
    }
    if (nowMs >= this.deadlineAtMs + lastAckGraceMs) {
      this.close('timed_out', out);
    }
  }

  private close(
    reason: 'complete' | 'cancelled' | 'timed_out',
    out: StepOutput[],
  ): void {
    this.closed = true;
    for (const [key, state] of this.states) {
      if (state.kind !== 'running') continue;
      const [group, sample] = key.split('/').map(Number);
      out.push({kind: 'abandon', group, sample});
    }
    out.push({kind: 'close', reason});
  }
}
