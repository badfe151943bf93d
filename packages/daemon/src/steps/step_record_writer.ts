/**
 * What an owner writes to the log of its step: attempts and winners, gathered
 * for a moment so that they share an append, and the rest at once.
 */

import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import type {SampleRef} from '@radishyoke/core/steps/step_message';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {
  CommittedSample,
  SampleCommit,
} from '@radishyoke/shared/log_record';
import type {LogTask, StateBody} from '../log/log_task.js';

/** How long records wait for others to share an append with, ms. */
const batchDelayMs = 20;
/** Pause before a refused commit is tried again, ms. */
const commitRetryDelayMs = 500;

/** An attempt that began, as the log is told of it. */
interface StartedAttempt extends SampleRef {
  readonly attempt: number;
  readonly endpoint: EndpointId;
}

/** A record of this step, less what each of them bears. */
type StepRecordBody = StateBody extends infer Body
  ? Body extends {readonly fencing: number; readonly step: unknown}
    ? Omit<Body, 'tenant' | 'step' | 'fencing'>
    : never
  : never;

export interface StepRecordWriterOptions {
  readonly ledger: StepLedger;
  readonly fencing: number;
  readonly log: LogTask;
  /** The log holds these winners. */
  readonly onCommitted: (samples: readonly CommittedSample[]) => void;
  /** The log did not take these. */
  readonly onRefused: (samples: readonly SampleCommit[]) => void;
  /** A newer owner of the step has written. */
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

  /** Writes attempts before winners: a winner's attempt must be known to readers. */
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

  /** Nothing is written or told after this. */
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

  /** Appends a record under this owner's fencing number; undefined if not taken. */
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
