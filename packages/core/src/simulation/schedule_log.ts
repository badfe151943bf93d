/** The log, and the network between it and its writers, under a schedule's control. */

import type {LoggedRecord, Stamp} from '@radishyoke/shared/log_record';

/** What happens to one append. */
export type AppendOutcome =
  | 'answered'
  /** Takes effect, but the writer gets no answer. */
  | 'answer_lost'
  /** Takes effect later; the writer gets no answer. */
  | 'delayed'
  | 'refused';

interface Stamped {
  readonly stamp: Stamp;
}

/** One stream with every record ever appended. */
export class ScheduleLog<T extends Stamped> {
  readonly records: Array<LoggedRecord<T>> = [];
  /** Offset of the oldest record that retention has not dropped. */
  oldest = 0;
  private readonly delayed: T[][] = [];

  append(values: readonly T[], timeMs: number): void {
    for (const value of values) {
      this.records.push({offset: this.records.length, timeMs, value});
    }
  }

  /** Sends an append; returns whether the writer gets its acknowledgement. */
  send(values: readonly T[], outcome: AppendOutcome, timeMs: number): boolean {
    if (outcome === 'refused') return false;
    if (outcome === 'delayed') {
      this.delayed.push([...values]);
      return false;
    }
    this.append(values, timeMs);
    return outcome === 'answered';
  }

  /** Applies the oldest delayed append. */
  deliverDelayed(timeMs: number): void {
    const values = this.delayed.shift();
    if (values !== undefined) this.append(values, timeMs);
  }

  get hasDelayed(): boolean {
    return this.delayed.length > 0;
  }
}

/**
 * Follows the protocol of the platform's `LogWriter`, without its timers: records
 * without an acknowledgement are sent again under the same sequence numbers.
 */
export class ScheduleWriter<T extends Stamped> {
  readonly pending: Array<{readonly value: T; isAcknowledged: boolean}> = [];
  private seq = 0;

  /**
   * `dropsUnacknowledged` treats a lost answer as a failed append, a fault that
   * the checks must detect.
   */
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

  /** Sends all unacknowledged records; returns those that it drops as failed. */
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

  /** Removes this writer's records up to `stamp`, which was read from the log. */
  settle(stamp: Stamp): void {
    const {vm, incarnation} = this.stamp;
    if (stamp.vm !== vm || stamp.incarnation !== incarnation) return;
    const remaining = this.pending.filter(e => e.value.stamp.seq > stamp.seq);
    this.pending.splice(0, this.pending.length, ...remaining);
  }
}
