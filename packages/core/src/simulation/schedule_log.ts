/** The log and the network before it, as a schedule drives them. */

import type {LoggedRecord, Stamp} from '@radishyoke/shared/log_record';

/** What a schedule lets happen to one append. */
export type AppendOutcome =
  | 'answered'
  /** Takes effect; the writer hears nothing. */
  | 'answer_lost'
  /** Takes effect at some later time; the writer hears nothing. */
  | 'delayed'
  | 'refused';

interface Stamped {
  readonly stamp: Stamp;
}

/** One stream with every record it ever took. */
export class ScheduleLog<T extends Stamped> {
  readonly records: Array<LoggedRecord<T>> = [];
  /** Retention has dropped what lies below. */
  oldest = 0;
  private readonly delayed: T[][] = [];

  append(values: readonly T[], timeMs: number): void {
    for (const value of values) {
      this.records.push({offset: this.records.length, timeMs, value});
    }
  }

  /** Sends an append on its way; returns whether the writer hears that it stands. */
  send(values: readonly T[], outcome: AppendOutcome, timeMs: number): boolean {
    if (outcome === 'refused') return false;
    if (outcome === 'delayed') {
      this.delayed.push([...values]);
      return false;
    }
    this.append(values, timeMs);
    return outcome === 'answered';
  }

  /** Lets a delayed append take effect. */
  deliverDelayed(timeMs: number): void {
    const values = this.delayed.shift();
    if (values !== undefined) this.append(values, timeMs);
  }

  get hasDelayed(): boolean {
    return this.delayed.length > 0;
  }
}

/**
 * A writer with the discipline of the platform's LogWriter, without its timers:
 * unsettled records are sent again under their old numbers.
 */
export class ScheduleWriter<T extends Stamped> {
  readonly pending: Array<{readonly value: T; isAcknowledged: boolean}> = [];
  private seq = 0;

  /** `forgetsLost` takes a lost answer for a failure: the fault to be caught. */
  constructor(
    private readonly log: ScheduleLog<T>,
    private readonly stamp: Omit<Stamp, 'seq'>,
    private readonly dropsUnacknowledged: boolean,
  ) {}

  push(body: object): T {
    const stamp = {...this.stamp, seq: ++this.seq};
    const value = {...body, stamp} as unknown as T;
    this.pending.push({value, isAcknowledged: false});
    return value;
  }

  /** Sends what waits; returns the records that it gives up as failed. */
  flush(outcome: AppendOutcome, timeMs: number): readonly T[] {
    const batch = this.pending.filter(entry => !entry.isAcknowledged);
    if (batch.length === 0) return [];
    const values = batch.map(entry => entry.value);
    const isAcknowledged = this.log.send(values, outcome, timeMs);
    if (isAcknowledged) for (const entry of batch) entry.isAcknowledged = true;
    if (isAcknowledged || outcome === 'refused' || !this.dropsUnacknowledged)
      return [];
    this.pending.length = 0;
    return values;
  }

  settle(stamp: Stamp): void {
    const {vm, incarnation} = this.stamp;
    if (stamp.vm !== vm || stamp.incarnation !== incarnation) return;
    const remaining = this.pending.filter(e => e.value.stamp.seq > stamp.seq);
    this.pending.splice(0, this.pending.length, ...remaining);
  }
}
