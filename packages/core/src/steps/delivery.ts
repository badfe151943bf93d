/**
 * Tracks delivery to the trainer of a step: the cursors that the log assigned,
 * how far they were sent and acknowledged, and which samples are next.
 */

import type {SampleStates, SettledState} from './sample_states.js';
import type {SampleRef} from './step_message.js';

/** A committed sample that has not been sent to the trainer. */
export interface Deliverable {
  readonly ref: SampleRef;
  readonly state: SettledState;
  readonly cursor: number;
}

export class Delivery {
  private readonly refs = new Map<number, SampleRef>();
  private highestCursor: number;
  /**
   * Cursors up to here were assigned under earlier owners; some were voided.
   */
  private readonly inheritedCursor: number;
  private lastAcknowledged: number;
  private lastSent = 0;

  /**
   * `highestCursor` is the highest cursor that the log assigned and
   * `acknowledgedCursor` the last one that the trainer acknowledged in the log.
   */
  constructor(
    private readonly states: SampleStates,
    highestCursor: number,
    acknowledgedCursor: number,
  ) {
    this.highestCursor = highestCursor;
    this.inheritedCursor = highestCursor;
    this.lastAcknowledged = acknowledgedCursor;
  }

  get acknowledgedCursor(): number {
    return this.lastAcknowledged;
  }

  get sentCursor(): number {
    return this.lastSent;
  }

  /** Adds a sample that an earlier owner committed. */
  adopt(cursor: number, ref: SampleRef): void {
    this.refs.set(cursor, ref);
  }

  /** Records that the log contains the sample at `cursor`. */
  recordCommitted(cursor: number, ref: SampleRef): void {
    this.refs.set(cursor, ref);
    this.highestCursor = Math.max(this.highestCursor, cursor);
    const state = this.states.get(ref);
    if (state?.kind !== 'settled') return;
    this.states.set(ref, {...state, cursor});
  }

  find(cursor: number): SampleRef | undefined {
    return this.refs.get(cursor);
  }

  /**
   * Restarts sending after `cursor`, up to which a connected trainer has read.
   */
  restartAt(cursor: number): void {
    this.lastSent = this.limitToCommitted(cursor);
  }

  recordSent(cursor: number): void {
    this.lastSent = Math.max(this.lastSent, cursor);
  }

  /**
   * Records that the trainer read up to `cursor`; returns whether that is new.
   */
  acknowledge(cursor: number): boolean {
    const bounded = this.limitToCommitted(cursor);
    if (bounded <= this.lastAcknowledged) return false;
    for (let at = this.lastAcknowledged + 1; at <= bounded; at++) {
      this.acknowledgeOne(at);
    }
    this.lastAcknowledged = bounded;
    return true;
  }

  /**
   * Committed samples not yet sent to the trainer, in cursor order, up to the
   * first whose output is not available: no cursor may be sent before a lower
   * one.
   */
  listDeliverable(): readonly Deliverable[] {
    const deliverable: Deliverable[] = [];
    for (let at = this.lastSent + 1; at <= this.highestCursor; at++) {
      const ref = this.refs.get(at);
      if (!ref) {
        if (at <= this.inheritedCursor) continue;
        break;
      }
      const state = this.states.get(ref);
      if (state?.kind === 'recovering' && state.committed.cursor === at) break;
      if (state?.kind !== 'settled' || state.cursor !== at) continue;
      deliverable.push({ref, state, cursor: at});
    }
    return deliverable;
  }

  private acknowledgeOne(cursor: number): void {
    const ref = this.refs.get(cursor);
    if (!ref) return;
    const state = this.states.get(ref);
    const isCurrent =
      (state?.kind === 'settled' && state.cursor === cursor) ||
      (state?.kind === 'recovering' && state.committed.cursor === cursor);
    if (!isCurrent) return;
    const shortfall = state.kind === 'settled' && !!state.shortfall;
    this.states.set(ref, {kind: 'acknowledged', shortfall});
  }

  /**
   * Limits a cursor from the trainer to the highest committed one. Accepting a
   * higher one would skip samples that are still to come, and a huge one would
   * keep this process busy with cursors that do not exist.
   */
  private limitToCommitted(cursor: number): number {
    return Math.min(cursor, this.highestCursor);
  }
}
