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
  private highest: number;
  /** Cursors up to here were given out before this owner; some were voided. */
  private readonly adopted: number;
  private acknowledged: number;
  private sent = 0;

  /** Both from the log: the highest cursor given out, and the last one read. */
  constructor(
    private readonly states: SampleStates,
    highestCursor: number,
    acknowledgedCursor: number,
  ) {
    this.highest = highestCursor;
    this.adopted = highestCursor;
    this.acknowledged = acknowledgedCursor;
  }

  get acknowledgedCursor(): number {
    return this.acknowledged;
  }

  get sentCursor(): number {
    return this.sent;
  }

  /** Takes a sample that an earlier owner committed. */
  adopt(cursor: number, ref: SampleRef): void {
    this.refs.set(cursor, ref);
  }

  /** The log holds the sample at `cursor`. */
  commit(cursor: number, ref: SampleRef): void {
    this.refs.set(cursor, ref);
    this.highest = Math.max(this.highest, cursor);
    const state = this.states.get(ref);
    if (state?.kind !== 'settled') return;
    this.states.set(ref, {...state, cursor});
  }

  find(cursor: number): SampleRef | undefined {
    return this.refs.get(cursor);
  }

  /** The trainer connected, having read up to `cursor`. */
  restartAt(cursor: number): void {
    this.sent = this.bound(cursor);
  }

  noteSent(cursor: number): void {
    this.sent = Math.max(this.sent, cursor);
  }

  /** The trainer has read up to `cursor`; false if that is no news. */
  acknowledge(cursor: number): boolean {
    const known = this.bound(cursor);
    if (known <= this.acknowledged) return false;
    for (let at = this.acknowledged + 1; at <= known; at++) {
      this.acknowledgeOne(at);
    }
    this.acknowledged = known;
    return true;
  }

  /**
   * Committed samples the trainer has not been sent, in cursor order, up to the
   * first that is not at hand: a cursor must never be passed by a higher one.
   */
  listDeliverable(): readonly Deliverable[] {
    const deliverable: Deliverable[] = [];
    for (let at = this.sent + 1; at <= this.highest; at++) {
      const ref = this.refs.get(at);
      if (!ref) {
        if (at <= this.adopted) continue;
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
    const holds =
      (state?.kind === 'settled' && state.cursor === cursor) ||
      (state?.kind === 'recovering' && state.committed.cursor === cursor);
    if (!holds) return;
    const shortfall = state.kind === 'settled' && !!state.shortfall;
    this.states.set(ref, {kind: 'acknowledged', shortfall});
  }

  /**
   * A trainer can have read no further than was ever committed. Taking its word
   * for more would skip what is yet to come, and a huge number would keep this
   * process busy with cursors that do not exist.
   */
  private bound(cursor: number): number {
    return Math.min(cursor, this.highest);
  }
}
