/**
 * How far the trainer of a step has been sent and has read: the cursors that the
 * log gave out, and which samples are next.
 */

import type {SampleStates, SettledState} from './sample_states.js';
import type {SampleRef} from './step_message.js';

/** A committed sample that the trainer has not been sent. */
export interface Deliverable {
  readonly ref: SampleRef;
  readonly state: SettledState;
  readonly cursor: number;
}

export class Delivery {
  private readonly refs = new Map<number, SampleRef>();
  private highestCursor: number;
  /** Cursors up to here were given out before this owner; some were voided. */
  private readonly inheritedCursor: number;
  private lastAcknowledged: number;
  private lastSent = 0;

  /** Both from the log: the highest cursor given out, and the last one read. */
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

  /** Takes a sample that an earlier owner committed. */
  adopt(cursor: number, ref: SampleRef): void {
    this.refs.set(cursor, ref);
  }

  /** The log holds the sample at `cursor`. */
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

  /** The trainer connected, having read up to `cursor`. */
  restartAt(cursor: number): void {
    this.lastSent = this.limitToCommitted(cursor);
  }

  recordSent(cursor: number): void {
    this.lastSent = Math.max(this.lastSent, cursor);
  }

  /** The trainer has read up to `cursor`; false if that is no news. */
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
   * Committed samples the trainer has not been sent, in cursor order, up to the
   * first that is not at hand: a cursor must never be passed by a higher one.
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
   * A trainer can have read no further than was ever committed. Taking its word
   * for more would skip what is yet to come, and a huge number would keep this
   * process busy with cursors that do not exist.
   */
  private limitToCommitted(cursor: number): number {
    return Math.min(cursor, this.highestCursor);
  }
}
