/**
 * State machine of one step at its owner: which samples run, which output wins
 * and what is sent to the trainer when. It guarantees that a sample is sent
 * only after the log contains its winner, and never if its weights are outside
 * the staleness bound at that time. Pure: inputs in, outputs out.
 */

import type {ErrorKind, RadishyokeError} from '@radishyoke/shared/error_kind';
import {createError} from '@radishyoke/shared/error_kind';
import type {StepId} from '@radishyoke/shared/ids';
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
import {Delivery} from './delivery.js';
import {SampleStates, SettledState} from './sample_states.js';
import {
  buildSampleKey,
  SampleOutput,
  SampleRef,
  StepHistory,
  StepInput,
  StepOutput,
  StepProgress,
} from './step_message.js';

/** Errors that are transient: the sample runs again after a delay. */
const transientKinds: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'no_endpoint',
  'overloaded',
]);
/** Delay before such a sample runs again if the error gives none, ms. */
const defaultRetryDelayMs = 500;
/**
 * How long a new owner tries to recover a winner's text from its engine, ms.
 */
const recoveryTimeoutMs = 5000;
/** How long past its deadline a step awaits the last acknowledgement, ms. */
const lastAckGraceMs = 60_000;

export interface StepMachineOptions {
  readonly step: StepId;
  readonly req: StepRequest;
  readonly fencing: number;
  /** When the step was opened, by any owner; its deadline counts from then. */
  readonly openedAtMs: number;
  /** When this owner took the step over. */
  readonly ownedFromMs: number;
  readonly history?: StepHistory;
}

export class StepMachine {
  private readonly states = new SampleStates();
  private readonly delivery: Delivery;
  private readonly attempts: Map<string, number>;
  private readonly deadlineAtMs: number;
  private attached = false;
  private weightVersion: number;
  private closed = false;
  private endSent = false;

  constructor(private readonly options: StepMachineOptions) {
    const {req, history, openedAtMs} = options;
    this.deadlineAtMs = openedAtMs + req.timeoutMs;
    this.delivery = new Delivery(
      this.states,
      history?.highestCursor ?? 0,
      history?.acknowledgedCursor ?? 0,
    );
    this.weightVersion = Math.max(
      req.weightVersion,
      history?.weightVersion ?? 0,
    );
    this.attempts = new Map(history?.attempts);
  }

  /** Begins the step: runs samples without a winner and recovers the others. */
  begin(): readonly StepOutput[] {
    const out: StepOutput[] = [];
    for (const committed of this.options.history?.committed ?? []) {
      this.adopt(committed, out);
    }
    this.options.req.groups.forEach((group, index) => {
      for (let sample = 0; sample < group.samples; sample++) {
        const ref = {group: index, sample};
        if (!this.states.get(ref)) this.run(ref, out);
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
        for (const {cursor, ...ref} of input.samples) {
          this.delivery.recordCommitted(cursor, ref);
        }
        break;
      case 'commit_failed':
        this.recommit(input.samples, out);
        break;
      case 'attached':
        this.attached = true;
        this.delivery.restartAt(input.cursor);
        this.endSent = false;
        this.advanceTrainer(input.cursor, input.weightVersion, out);
        this.rerunLost(out);
        break;
      case 'detached':
        this.attached = false;
        break;
      case 'acknowledged':
        this.advanceTrainer(input.cursor, input.weightVersion, out);
        break;
      case 'recovered':
        this.settleRecovered(input.cursor, input.output, out);
        break;
      case 'cancel':
        this.close('cancelled', out);
        return out;
      case 'tick':
        this.applyTimeouts(nowMs, out);
        break;
    }
    this.deliver(out);
    this.closeIfComplete(nowMs, out);
    return out;
  }

  /** Oldest weight version whose output the trainer still accepts. */
  get minWeightVersion(): number {
    return Math.max(0, this.weightVersion - this.options.req.maxStaleness);
  }

  isClosed(): boolean {
    return this.closed;
  }

  describe(): StepProgress {
    return this.states.describe(this.attached);
  }

  private adopt(committed: CommittedSample, out: StepOutput[]): void {
    const {cursor, shortfall} = committed;
    this.delivery.adopt(cursor, committed);
    if (cursor <= this.delivery.acknowledgedCursor) {
      const isShort = shortfall !== undefined;
      this.states.set(committed, {kind: 'acknowledged', shortfall: isShort});
      return;
    }
    if (shortfall) {
      const error = createError(shortfall);
      this.states.set(committed, {kind: 'settled', cursor, shortfall: error});
      return;
    }
    this.states.set(committed, {kind: 'recovering', committed, lost: false});
    out.push({kind: 'recover', committed});
  }

  private run(ref: SampleRef, out: StepOutput[]): void {
    const key = buildSampleKey(ref);
    this.states.set(ref, {kind: 'running'});
    out.push({
      kind: 'run',
      group: ref.group,
      sample: ref.sample,
      firstAttempt: (this.attempts.get(key) ?? 0) + 1,
      minWeightVersion: this.minWeightVersion,
    });
  }

  /** Records a started attempt, so that its number is never reused. */
  recordAttempt(ref: SampleRef, attempt: number): void {
    const key = buildSampleKey(ref);
    const highest = this.attempts.get(key) ?? 0;
    this.attempts.set(key, Math.max(highest, attempt));
  }

  private rerun(ref: SampleRef, out: StepOutput[]): void {
    if (!this.states.isRunning(ref)) return;
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
    if (!this.states.isRunning(ref)) return;
    if (result.output && this.isStale(result.output.spans)) {
      this.run(ref, out);
      return;
    }
    this.states.set(ref, {kind: 'settled', ...result});
    out.push({kind: 'commit', samples: [this.buildCommit(ref)]});
  }

  /**
   * Settles the sample with its error, unless the error is transient, such as a
   * full queue or a group without endpoints. Settling it then would leave the
   * step short of samples long before its deadline.
   */
  private fail(
    ref: SampleRef,
    error: RadishyokeError,
    nowMs: number,
    out: StepOutput[],
  ): void {
    if (!transientKinds.has(error.kind)) {
      this.settle(ref, {shortfall: error}, out);
      return;
    }
    if (!this.states.isRunning(ref)) return;
    const untilMs = nowMs + (error.retryAfterMs ?? defaultRetryDelayMs);
    this.states.set(ref, {kind: 'waiting', untilMs});
  }

  private buildCommit(ref: SampleRef): SampleCommit {
    const state = this.states.get(ref);
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

  private recommit(samples: readonly SampleRef[], out: StepOutput[]): void {
    const uncommitted = samples.filter(ref => {
      const state = this.states.get(ref);
      return state?.kind === 'settled' && state.cursor === undefined;
    });
    if (uncommitted.length === 0) return;
    out.push({
      kind: 'commit',
      samples: uncommitted.map(ref => this.buildCommit(ref)),
    });
  }

  private advanceTrainer(
    cursor: number,
    weightVersion: number,
    out: StepOutput[],
  ): void {
    const moved = this.delivery.acknowledge(cursor);
    const newer = weightVersion > this.weightVersion;
    if (newer) {
      this.weightVersion = weightVersion;
      out.push({kind: 'min_version', minWeightVersion: this.minWeightVersion});
    }
    if (moved || newer) {
      out.push({
        kind: 'acknowledge',
        cursor: this.delivery.acknowledgedCursor,
        weightVersion: this.weightVersion,
      });
    }
  }

  private settleRecovered(
    cursor: number,
    output: SampleOutput | undefined,
    out: StepOutput[],
  ): void {
    const ref = this.delivery.find(cursor);
    if (!ref) return;
    const state = this.states.get(ref);
    if (state?.kind !== 'recovering') return;
    const isIntact =
      output && computeDigest(output.text) === state.committed.digest;
    if (isIntact) {
      this.states.set(ref, {kind: 'settled', cursor, output});
      return;
    }
    this.states.set(ref, {...state, lost: true});
    this.rerunLost(out);
  }

  private deliver(out: StepOutput[]): void {
    if (!this.attached) return;
    for (const {ref, state, cursor} of this.delivery.listDeliverable()) {
      if (state.output && this.isStale(state.output.spans)) {
        // The trainer's version advanced while this output waited for the log
        // or a connection. Sending it would exceed the staleness bound, so the
        // winner is voided and the sample runs again.
        out.push({kind: 'void', cursors: [cursor]});
        this.run(ref, out);
        continue;
      }
      this.delivery.recordSent(cursor);
      out.push({kind: 'send', event: this.buildEvent(ref, state, cursor)});
    }
    this.sendEndIfComplete(out);
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
    const rollout: Rollout = {id, step, ...state.output};
    return {kind: 'rollout', cursor, fencing, rollout};
  }

  private sendEndIfComplete(out: StepOutput[]): void {
    if (this.endSent) return;
    const totals = this.states.countIfAllSent(this.delivery.sentCursor);
    if (!totals) return;
    this.endSent = true;
    const {fencing} = this.options;
    out.push({kind: 'send', event: {kind: 'end', fencing, ...totals}});
  }

  private isStale(spans: readonly TokenSpan[]): boolean {
    const {maxStaleness} = this.options.req;
    return measureStaleness(spans, this.weightVersion) > maxStaleness;
  }

  private applyTimeouts(nowMs: number, out: StepOutput[]): void {
    this.expireRecoveries(nowMs, out);
    const isLate = nowMs >= this.deadlineAtMs;
    for (const {ref, state} of this.states.list()) {
      if (state.kind === 'waiting' && (isLate || nowMs >= state.untilMs)) {
        this.run(ref, out);
      }
      if (!isLate || !this.states.isRunning(ref)) continue;
      out.push({kind: 'abandon', ...ref});
      this.settle(ref, {shortfall: createError('deadline_passed')}, out);
    }
  }

  private expireRecoveries(nowMs: number, out: StepOutput[]): void {
    if (nowMs - this.options.ownedFromMs < recoveryTimeoutMs) return;
    this.states.markAllLost();
    this.rerunLost(out);
  }

  private rerunLost(out: StepOutput[]): void {
    // The earlier owner may have sent this cursor just before it crashed. The
    // trainer could receive a rollout twice if the sample ran again before the
    // trainer has reported how far it read.
    if (!this.attached) return;
    for (const {state} of this.states.list()) {
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
    for (const {ref, state} of this.states.list()) {
      if (state.kind === 'running') out.push({kind: 'abandon', ...ref});
    }
    out.push({kind: 'close', reason});
  }
}
