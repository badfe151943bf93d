/** States of the samples of a step, as tracked by the step's owner. */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {CommittedSample} from '@radishyoke/shared/log_record';
import {
  buildSampleKey,
  SampleOutput,
  SampleRef,
  StepProgress,
} from './step_message.js';

export type SampleState =
  | {readonly kind: 'running'}
  /** No endpoint could take the sample; it runs again at `untilMs`. */
  | {readonly kind: 'waiting'; readonly untilMs: number}
  /**
   * Has an output or an error, which awaits its commit and then the trainer.
   */
  | {
      readonly kind: 'settled';
      /** Position in the trainer's stream; absent until the log contains it. */
      readonly cursor?: number;
      readonly output?: SampleOutput;
      readonly shortfall?: RadishyokeError;
    }
  | {
      readonly kind: 'recovering';
      readonly committed: CommittedSample;
      /** Whether no engine has the text any more. */
      readonly lost: boolean;
    }
  | {readonly kind: 'acknowledged'; readonly shortfall: boolean};

export type SettledState = Extract<SampleState, {readonly kind: 'settled'}>;

/** A sample and its state, as one entry of the table. */
export interface SampleEntry {
  readonly ref: SampleRef;
  readonly state: SampleState;
}

/** Counts of the rollouts of a step and of samples that ended without one. */
export interface StepTotals {
  readonly rollouts: number;
  readonly shortfalls: number;
}

export class SampleStates {
  private readonly entries = new Map<string, SampleEntry>();

  get size(): number {
    return this.entries.size;
  }

  get(ref: SampleRef): SampleState | undefined {
    return this.entries.get(buildSampleKey(ref))?.state;
  }

  set(ref: SampleRef, state: SampleState): void {
    const {group, sample} = ref;
    const entry = {ref: {group, sample}, state};
    this.entries.set(buildSampleKey(ref), entry);
  }

  isRunning(ref: SampleRef): boolean {
    return this.get(ref)?.kind === 'running';
  }

  /** Returns a copy of all entries, so states may be set while iterating. */
  list(): readonly SampleEntry[] {
    return [...this.entries.values()];
  }

  /** Marks every sample that is still being recovered as lost. */
  markAllLost(): void {
    for (const {ref, state} of this.list()) {
      if (state.kind !== 'recovering') continue;
      this.set(ref, {...state, lost: true});
    }
  }

  describe(attached: boolean): StepProgress {
    let settled = 0;
    let acknowledged = 0;
    for (const {state} of this.entries.values()) {
      if (state.kind === 'settled') settled++;
      if (state.kind === 'acknowledged') acknowledged++;
    }
    return {
      samples: this.size,
      settled: settled + acknowledged,
      acknowledged,
      attached,
    };
  }

  /** Returns the totals if `sentCursor` covers all samples, else undefined. */
  countIfAllSent(sentCursor: number): StepTotals | undefined {
    let rollouts = 0;
    let shortfalls = 0;
    for (const {state} of this.entries.values()) {
      if (!isSent(state, sentCursor)) return undefined;
      if (state.shortfall) shortfalls++;
      else rollouts++;
    }
    return {rollouts, shortfalls};
  }
}

function isSent(
  state: SampleState,
  sentCursor: number,
): state is Extract<SampleState, {readonly kind: 'settled' | 'acknowledged'}> {
  if (state.kind === 'acknowledged') return true;
  if (state.kind !== 'settled') return false;
  return state.cursor !== undefined && state.cursor <= sentCursor;
}
