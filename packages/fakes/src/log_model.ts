/**
 * The platform's log without its HTTP interface: streams of records with offsets,
 * retention by count and by age, and one append rate limit over all streams.
 */

import type {LoggedRecord} from '@radishyoke/shared/log_record';

/** Limits and retention of the log. */
export interface LogOptions {
  /** Appends per second over all streams; also the size of a burst. */
  readonly appendsPerSecond: number;
  /** Records older than this are dropped. */
  readonly retainMs: number;
  /** Largest number of records retained per stream. */
  readonly retainRecords: number;
}

export const DEFAULT_LOG_OPTIONS: LogOptions = {
  appendsPerSecond: 500,
  retainMs: 60 * 60 * 1000,
  retainRecords: 100_000,
};

export type LogAppendAnswer =
  | {readonly kind: 'appended'; readonly first: number; readonly next: number}
  | {readonly kind: 'limited'; readonly retryAfterMs: number};

export type LogReadAnswer =
  | {
      readonly kind: 'records';
      readonly oldest: number;
      /** Offset from which the next read continues. */
      readonly next: number;
      readonly records: ReadonlyArray<LoggedRecord<unknown>>;
    }
  | {readonly kind: 'expired'; readonly oldest: number};

interface Stream {
  oldest: number;
  records: Array<LoggedRecord<unknown>>;
}

/** The streams of one log. All times are Unix ms. */
export class LogModel {
  private readonly streams = new Map<string, Stream>();
  private options: LogOptions;
  private allowance: number;
  private allowanceAtMs = 0;
  private appends = 0;

  constructor(options: Partial<LogOptions> = {}) {
    this.options = {...DEFAULT_LOG_OPTIONS, ...options};
    this.allowance = this.options.appendsPerSecond;
  }

  /** Changes limits or retention from now on. */
  configure(options: Partial<LogOptions>): void {
    this.options = {...this.options, ...options};
    this.allowance = Math.min(this.allowance, this.options.appendsPerSecond);
  }

  append(
    name: string,
    values: readonly unknown[],
    nowMs: number,
  ): LogAppendAnswer {
    const retryAfterMs = this.takeAllowance(nowMs);
    if (retryAfterMs > 0) return {kind: 'limited', retryAfterMs};
    const stream = this.openStream(name);
    const first = stream.oldest + stream.records.length;
    values.forEach((value, i) =>
      stream.records.push({offset: first + i, timeMs: nowMs, value}),
    );
    this.appends++;
    this.expire(stream, nowMs);
    return {kind: 'appended', first, next: first + values.length};
  }

  read(name: string, from: number, max: number, nowMs: number): LogReadAnswer {
    const stream = this.openStream(name);
    this.expire(stream, nowMs);
    const {oldest} = stream;
    if (from < oldest) return {kind: 'expired', oldest};
    const start = from - oldest;
    const records = stream.records.slice(start, start + max);
    return {kind: 'records', oldest, next: from + records.length, records};
  }

  /** Drops all records of a stream below `offset`, as retention does. */
  dropBelow(name: string, offset: number): void {
    const stream = this.openStream(name);
    const count = Math.min(offset - stream.oldest, stream.records.length);
    if (count > 0) dropOldest(stream, count);
  }

  /** Counts the accepted appends over all streams. */
  countAppends(): number {
    return this.appends;
  }

  private openStream(name: string): Stream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = {oldest: 0, records: []};
      this.streams.set(name, stream);
    }
    return stream;
  }

  /** Takes one append from the token bucket; returns 0, or the ms until it has one. */
  private takeAllowance(nowMs: number): number {
    const {appendsPerSecond} = this.options;
    const earned =
      (Math.max(0, nowMs - this.allowanceAtMs) * appendsPerSecond) / 1000;
    this.allowance = Math.min(appendsPerSecond, this.allowance + earned);
    this.allowanceAtMs = nowMs;
    if (this.allowance < 1)
      return Math.ceil(((1 - this.allowance) * 1000) / appendsPerSecond);
    this.allowance--;
    return 0;
  }

  private expire(stream: Stream, nowMs: number): void {
    const {records} = stream;
    const oldestMs = nowMs - this.options.retainMs;
    let count = Math.max(0, records.length - this.options.retainRecords);
    while (count < records.length && records[count].timeMs < oldestMs) count++;
    if (count > 0) dropOldest(stream, count);
  }
}

function dropOldest(stream: Stream, count: number): void {
  stream.records.splice(0, count);
  stream.oldest += count;
}
