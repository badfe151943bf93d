/**
 * Writes a step's records to the log on behalf of its owner. Started attempts
 * and winners are batched briefly so that they share an append; other records
 * are written immediately.
 */

import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import type {SampleRef} from '@radishyoke/core/steps/step_message';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {
  CommittedSample,
  SampleCommit,
} from '@radishyoke/shared/log_record';
import type {LogTask, StateBody} from '../log/log_task.js';

/** How long records are collected before they are appended together, ms. */
const batchDelayMs = 20;
/** Delay before a failed commit is reported for a retry, ms. */
const commitRetryDelayMs = 500;

/** A started attempt as it is recorded in the log. */
interface StartedAttempt extends SampleRef {
  readonly attempt: number;
  readonly endpoint: EndpointId;
}

/** A step record without the fields that all of them share. */
type StepRecordBody = StateBody extends infer Body
  ? Body extends {readonly fencing: number; readonly step: unknown}
    ? Omit<Body, 'tenant' | 'step' | 'fencing'>
    : never
  : never;

export interface StepRecordWriterOptions {
  readonly ledger: StepLedger;
  readonly fencing: number;
  readonly log: LogTask;
  /** Called when the log has accepted these winners. */
  readonly onCommitted: (samples: readonly CommittedSample[]) => void;
  /** Called when these winners could not be appended. */
  readonly onRefused: (samples: readonly SampleCommit[]) => void;
  /** Called when the log shows that the step has a newer owner. */
  readonly onSuperseded: () => void;
}

export class StepRecordWriter {
  private attempts: StartedAttempt[] = [];
  private commits: SampleCommit[] = [];
  private flushTimer: NodeJS.Timeout | undefined;
  private retryTimers = new Set<NodeJS.Timeout>();
  private stopped = false;

  constructor(private readonly options: StepRecordWriterOptions) {}

  recordAttempt(ref: SampleRef, attempt: number, endpoint: EndpointId): void {
    const {group, sample} = ref;
    this.attempts.push({group, sample, attempt, endpoint});
    this.scheduleFlush();
  }

  commit(samples: readonly SampleCommit[]): void {
    this.commits.push(...samples);
    this.scheduleFlush();
  }

  voidWinners(cursors: readonly number[]): void {
    this.flush();
    void this.write({kind: 'samples_voided', cursors});
  }

  acknowledge(cursor: number, weightVersion: number): void {
    void this.write({kind: 'cursor_acknowledged', cursor, weightVersion});
  }

  close(reason: 'complete' | 'cancelled' | 'timed_out'): void {
    this.flush();
    void this.write({kind: 'step_closed', reason});
  }

  /**
   * Writes attempts before winners, because readers must know a winner's
   * attempt first.
   */
  flush(): void {
    clearTimeout(this.flushTimer);
    this.flushTimer = undefined;
    const {attempts, commits} = this;
    this.attempts = [];
    this.commits = [];
    if (attempts.length > 0) {
      void this.write({kind: 'attempts_started', attempts});
    }
    if (commits.length > 0) void this.writeCommits(commits);
  }

  /** Drops pending records and retries; no callback for a commit follows. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.flushTimer);
    for (const timer of this.retryTimers) clearTimeout(timer);
  }

  private scheduleFlush(): void {
    this.flushTimer ??= setTimeout(() => this.flush(), batchDelayMs);
  }

  private async writeCommits(samples: readonly SampleCommit[]): Promise<void> {
    const committed = await this.write({kind: 'samples_committed', samples});
    if (this.stopped) return;
    if (committed) {
      this.options.onCommitted(committed);
      return;
    }
    const timer = setTimeout(() => {
      this.retryTimers.delete(timer);
      this.options.onRefused(samples);
    }, commitRetryDelayMs);
    this.retryTimers.add(timer);
  }

  /**
   * Appends a record under this owner's fencing number. Returns the committed
   * samples, if any, or undefined if the append failed.
   */
  private async write(
    body: StepRecordBody,
  ): Promise<readonly CommittedSample[] | undefined> {
    const {log, ledger, fencing} = this.options;
    const {tenant, step} = ledger.opening;
    const record = {...body, tenant, step, fencing} as StateBody;
    const result = await log.append(record);
    if (!result.ok) return undefined;
    const {verdict} = result.value;
    if (verdict.kind === 'accepted') return verdict.committed ?? [];
    if (verdict.reason === 'stale_fencing') this.options.onSuperseded();
    return [];
  }
}
