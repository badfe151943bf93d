/**
 * Tracks a trainer's progress in a step: its read position and the samples received. A
 * trainer that stores it together with the rollouts receives each rollout exactly once.
 */

import type {RolloutId} from '@radishyoke/shared/ids';
import type {StepEvent} from '@radishyoke/shared/rollout';

/** A step's progress as plain data, to be stored with the rollouts. */
export interface StepProgressData {
  readonly cursor: number;
  readonly fencing: number;
  readonly settled: readonly RolloutId[];
}

/** How an event has to be handled. */
export type EventVerdict = 'take' | 'duplicate' | 'outdated_owner';

type SettlingEvent = Extract<
  StepEvent,
  {readonly kind: 'rollout' | 'shortfall'}
>;

export class StepProgress {
  private readonly settled: Set<RolloutId>;
  private cursor: number;
  private fencing: number;

  constructor(data: StepProgressData = {cursor: 0, fencing: 0, settled: []}) {
    this.settled = new Set(data.settled);
    this.cursor = data.cursor;
    this.fencing = data.fencing;
  }

  /** Records `event` and returns whether its content is new. */
  recordEvent(event: SettlingEvent): EventVerdict {
    // An owner that was paused until its lease expired may still write to an old
    // connection; its cursors are invalid and could skip newer ones.
    if (event.fencing < this.fencing) return 'outdated_owner';
    this.fencing = event.fencing;
    this.cursor = Math.max(this.cursor, event.cursor);
    const id = event.kind === 'rollout' ? event.rollout.id : event.rolloutId;
    if (this.settled.has(id)) return 'duplicate';
    this.settled.add(id);
    return 'take';
  }

  /** Highest cursor read. */
  get position(): number {
    return this.cursor;
  }

  countSettled(): number {
    return this.settled.size;
  }

  toData(): StepProgressData {
    const {cursor, fencing} = this;
    return {cursor, fencing, settled: [...this.settled]};
  }
}
