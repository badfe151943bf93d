/**
 * Reports to the platform how many requests of each account endpoints started in each time
 * window, while this VM holds the lease. The content of a window's report is decided once,
 * in the log, before it is sent, so that a report that is sent again by this VM or by its
 * successor is the same.
 */

import {ReportTracker} from '@radishyoke/core/usage/report_tracker';
import {UsageLedger} from '@radishyoke/core/usage/usage_ledger';
import {
  findWindow,
  type ReportRecord,
  type UsageReport,
} from '@radishyoke/core/usage/usage_record';
import type {EventLogger} from '../../logger.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {LogStore} from '../store/log_store.js';
import type {
  ControlAnswer,
  ControlApi,
  CallCredentials,
} from '../control/control_api.js';
import {LogTail} from '../store/log_tail.js';
import {
  COUNT_TOPIC,
  decodeReportRecord,
  decodeUsageEntry,
  encodeUsage,
  REPORT_PARTITION,
  REPORT_TOPIC,
} from './usage_codec.js';

/** The part of the lease that the task uses. */
export interface CallLease {
  readonly fencingToken: number;
  /** Records that a call on `subject` is about to be made; returns whether it may be made now. */
  announce(subject: string): Promise<boolean>;
}

export interface UsageTerms {
  readonly windowMs: number;
  /** A report is due this long after the end of its window, ms. */
  readonly dueMs: number;
}

export interface UsageTaskDeps {
  readonly store: LogStore;
  readonly api: ControlApi;
  readonly lease: CallLease;
  readonly vmName: string;
  readonly terms: UsageTerms;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
  /** Unix ms. */
  readonly now: () => number;
}

/** All windows share one subject, so that reports come from one lease holder at a time. */
const LEASE_SUBJECT = 'usage reports';
/** Interval at which the task checks whether something is due, ms. */
const TICK_MS = 200;
/** A window is decided after this share of the time until its report is due: by then failed writes of counts were retried, and a log that becomes unavailable for a few seconds right after that still leaves time. */
const SETTLE_SHARE = 0.3;
/** Pause after a call that did not succeed, ms. */
const RETRY_MS = 400;
/** Windows that ended longer ago than this are not reported any more, ms: the log retains counts for 300 s. */
const MAX_BEHIND_MS = 240_000;
/** Number of windows between two trims of the counts. */
const TRIM_EVERY = 12;

export class UsageTask {
  private readonly ledger = new UsageLedger();
  private readonly decisions = new ReportTracker();
  private readonly reportTail: LogTail;
  private readonly countTails: readonly LogTail[];
  /** For each partition of counts, the first offset that undecided windows may need. */
  private readonly firstNeeded: number[];
  private isTicking = false;
  private isStopped = false;
  private retryAtMs = -Infinity;
  /** The last fencing token that the platform refused; it is not used again. */
  private refusedToken = -1;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly deps: UsageTaskDeps) {
    const {store, logger} = deps;
    this.reportTail = new LogTail(
      store,
      REPORT_TOPIC,
      REPORT_PARTITION,
      logger,
    );
    this.countTails = Array.from(
      {length: store.partitions},
      (_, partition) => new LogTail(store, COUNT_TOPIC, partition, logger),
    );
    this.firstNeeded = this.countTails.map(() => 0);
  }

  start(): void {
    this.timer = setInterval(() => void this.tick(), TICK_MS);
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /** Decides and delivers what is due; resolves when that is done or has to wait. */
  async tick(): Promise<void> {
    if (this.isTicking || this.isStopped) return;
    this.isTicking = true;
    try {
      await this.decideAll();
      await this.deliverAll();
    } finally {
      this.isTicking = false;
    }
  }

  private async decideAll(): Promise<void> {
    const {windowMs, dueMs} = this.deps.terms;
    const settleMs = dueMs * SETTLE_SHARE;
    while (!this.isStopped) {
      const nowMs = this.deps.now();
      const window = await this.findNextWindow(nowMs);
      if (window === undefined) return;
      const endMs = (window + 1) * windowMs;
      if (nowMs < endMs + settleMs) return;
      if (!(await this.decide(window))) return;
    }
  }

  /** Returns the next window to decide, or undefined if the log does not show it yet. */
  private async findNextWindow(nowMs: number): Promise<number | undefined> {
    const {windowMs} = this.deps.terms;
    const current = findWindow(nowMs, windowMs);
    const maxBehind = Math.floor(MAX_BEHIND_MS / windowMs);
    const cached = this.decisions.findNext(current, maxBehind);
    if (cached !== undefined) return cached;
    if (!(await this.readReports())) return undefined;
    const refreshed = this.decisions.findNext(current, maxBehind);
    if (refreshed === undefined) await this.startReporting(current);
    return refreshed;
  }

  /** Starts reporting with the first window that has counts, since callers are served before there is a first lease holder. */
  private async startReporting(current: number): Promise<void> {
    if (!(await this.readCounts())) return;
    const window = Math.min(this.ledger.firstWindow ?? current, current);
    await this.append({kind: 'begun', window});
  }

  private async decide(window: number): Promise<boolean> {
    if (!(await this.readCounts()) || this.isStopped) return false;
    const report = {window, counts: this.ledger.sum(window)};
    if (!(await this.append({kind: 'decided', ...report}))) return false;
    this.ledger.close(window + 1);
    this.deps.logger.log('info', 'usage decided', {
      window,
      accounts: Object.keys(report.counts).length,
      requests: countRequests(report),
      fencingToken: this.deps.lease.fencingToken,
    });
    this.dropOldReports(window);
    if (window % TRIM_EVERY === 0) this.trimCounts();
    return true;
  }

  /** Appends a record and reads it back; the append fails if the partition has records that were not read. */
  private async append(record: ReportRecord): Promise<boolean> {
    const outcome = await this.deps.store.append(
      REPORT_TOPIC,
      REPORT_PARTITION,
      [encodeUsage(record)],
      {expectedEndOffset: this.reportTail.nextOffset},
    );
    const isRead = await this.readReports();
    return isRead && outcome.kind === 'appended';
  }

  private async deliverAll(): Promise<void> {
    const {lease, now} = this.deps;
    for (const report of this.decisions.undelivered) {
      if (this.isStopped || now() < this.retryAtMs) return;
      if (lease.fencingToken <= this.refusedToken) return;
      if (!(await lease.announce(LEASE_SUBJECT)) || this.isStopped) return;
      const answer = await this.deliver(report);
      if (answer !== 'accepted') this.retryAtMs = now() + RETRY_MS;
      if (answer === 'fenced') this.refusedToken = lease.fencingToken;
    }
  }

  private async deliver(report: UsageReport): Promise<ControlAnswer> {
    const {api, lease, vmName, store, logger, metrics} = this.deps;
    const {window} = report;
    const {fencingToken} = lease;
    const credentials: CallCredentials = {vmName, fencingToken};
    const answer = await api.reportUsage(report, credentials);
    metrics.count(`usage_${answer}`);
    logger.log(answer === 'accepted' ? 'info' : 'warn', 'usage report', {
      window,
      fencingToken,
      outcome: answer,
    });
    // A report that the platform refuses will never be accepted and is not sent again.
    if (answer === 'accepted' || answer === 'refused') {
      const record: ReportRecord = {kind: 'delivered', window};
      this.decisions.apply(record);
      await store.append(REPORT_TOPIC, REPORT_PARTITION, [encodeUsage(record)]);
    }
    return answer;
  }

  private async readReports(): Promise<boolean> {
    return this.reportTail.read(({bytes}) =>
      this.decisions.apply(decodeReportRecord(bytes)),
    );
  }

  private async readCounts(): Promise<boolean> {
    const reads = this.countTails.map(tail =>
      tail.read(({bytes}) => {
        const late = this.ledger.apply(decodeUsageEntry(bytes));
        if (late > 0) this.deps.metrics.count('usage_late', late);
      }),
    );
    return (await Promise.all(reads)).every(isRead => isRead);
  }

  private dropOldReports(window: number): void {
    const maxBehind = Math.floor(MAX_BEHIND_MS / this.deps.terms.windowMs);
    for (const dropped of this.decisions.forget(window - maxBehind)) {
      this.deps.logger.log('error', 'usage report given up', {window: dropped});
    }
  }

  /** Lets the log drop counts that were read before the previous trim, since their windows are decided. */
  private trimCounts(): void {
    this.countTails.forEach((tail, partition) => {
      const before = this.firstNeeded[partition];
      this.firstNeeded[partition] = tail.nextOffset;
      if (before === 0) return;
      void this.deps.store.trim(COUNT_TOPIC, partition, before);
    });
  }
}

function countRequests({counts}: UsageReport): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
