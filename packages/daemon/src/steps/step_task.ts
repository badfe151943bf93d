/**
 * The task that runs one step at its owner. It passes inputs to the step
 * machine and executes its outputs: submits samples, writes to the log, and
 * sends events to the trainer.
 */

import type {ServerResponse} from 'node:http';
import type {Dispatcher as HttpDispatcher} from 'undici';
import {buildStepLeaseName} from '@radishyoke/core/ledger/lease_table';
import type {RouteAction} from '@radishyoke/core/rules/rule';
import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import {
  buildSampleKey,
  SampleOutput,
  SampleRef,
  StepHistory,
  StepInput,
  StepOutput,
  StepProgress,
} from '@radishyoke/core/steps/step_message';
import {StepMachine} from '@radishyoke/core/steps/step_machine';
import type {CommittedSample} from '@radishyoke/shared/log_record';
import type {Dispatcher} from '../scheduling/dispatcher.js';
import type {LogTask} from '../log/log_task.js';
import type {Logger} from '../logger.js';
import {createMailbox} from '../mailbox.js';
import type {EndedSampleAttempt} from './sample_runner.js';
import {StepRecordWriter} from './step_record_writer.js';
import {StepRuns} from './step_runs.js';
import {StepStream} from './step_stream.js';
import {recoverWinner} from './winner_recovery.js';

/** Interval at which deadlines and the lease are checked, ms. */
const tickIntervalMs = 200;
/**
 * Why a step ended at this VM. After `lost` and `left` another VM continues the
 * step.
 */
export type StepEnd = 'complete' | 'cancelled' | 'timed_out' | 'lost' | 'left';

export interface StepTaskOptions {
  readonly ledger: StepLedger;
  readonly fencing: number;
  readonly action: RouteAction;
  readonly log: LogTask;
  readonly dispatcher: Dispatcher;
  readonly http: HttpDispatcher;
  readonly logger: Logger;
  readonly slowReaderTimeoutMs: number;
  /** Called once; the task is inactive afterwards. */
  readonly onEnd: (end: StepEnd) => void;
  /**
   * Called with a run's attempts when the run has ended, whatever its outcome.
   */
  readonly onRunEnd: (
    ref: SampleRef,
    attempts: readonly EndedSampleAttempt[],
  ) => void;
  /** Called with a number of generated tokens that no trainer will receive. */
  readonly onWasted: (tokens: number) => void;
  /**
   * Called with the output of each finished sample, for metrics and the audit.
   */
  readonly onSettled: (output: SampleOutput) => void;
}

export class StepTask {
  private readonly inputs = createMailbox<StepInput>();
  private readonly machine: StepMachine;
  private readonly runs: StepRuns;
  private readonly recordWriter: StepRecordWriter;
  private readonly ticker: NodeJS.Timeout;
  private stream: StepStream | undefined;
  private ended = false;

  constructor(private readonly options: StepTaskOptions) {
    const {ledger, fencing} = options;
    const {step, req} = ledger.opening;
    this.machine = new StepMachine({
      step,
      req,
      fencing,
      openedAtMs: estimateOpenedAtMs(options),
      ownedFromMs: Date.now(),
      history: readHistory(ledger),
    });
    this.recordWriter = this.createRecordWriter();
    this.runs = this.createRuns();
    void this.inputs.messages.observe(input => this.handle(input));
    this.ticker = setInterval(() => this.tick(), tickIntervalMs);
  }

  get fencing(): number {
    return this.options.fencing;
  }

  begin(): void {
    this.executeAll(this.machine.begin());
  }

  /** Attaches the trainer's response and ends the previous one, if any. */
  attach(
    res: ServerResponse,
    cursor: number,
    weightVersion: number,
    headers: Readonly<Record<string, string>>,
  ): void {
    this.stream?.end();
    const stream = new StepStream(
      res,
      this.options.fencing,
      this.options.slowReaderTimeoutMs,
      headers,
    );
    this.stream = stream;
    res.once('close', () => {
      if (this.stream !== stream) return;
      this.stream = undefined;
      this.inputs.post({kind: 'detached'});
    });
    this.inputs.post({kind: 'attached', cursor, weightVersion});
  }

  acknowledge(cursor: number, weightVersion: number): void {
    this.inputs.post({kind: 'acknowledged', cursor, weightVersion});
  }

  cancel(): void {
    this.inputs.post({kind: 'cancel'});
  }

  describe(): StepProgress {
    return this.machine.describe();
  }

  /** Stops without closing the step, so that another VM can take it over. */
  release(): void {
    this.finish('left');
  }

  /** Stops without notifying the log or the engines, as a crash would. */
  stop(): void {
    this.ended = true;
    clearInterval(this.ticker);
    this.recordWriter.stop();
    this.runs.detachAll();
  }

  private handle(input: StepInput): void {
    if (this.ended) return;
    this.executeAll(this.machine.handle(input, Date.now()));
  }

  private tick(): void {
    const {log, ledger, fencing} = this.options;
    const lease = buildStepLeaseName(ledger.key);
    // A newer claim in the log ends this ownership, for example after this VM
    // was paused past its lease. The log voids what it wrote since that claim.
    if (!log.state.leases.isCurrent(lease, fencing)) {
      this.finish('lost');
      return;
    }
    this.inputs.post({kind: 'tick'});
  }

  private executeAll(outputs: readonly StepOutput[]): void {
    for (const output of outputs) this.execute(output);
  }

  private execute(output: StepOutput): void {
    switch (output.kind) {
      case 'run':
        return this.runs.run(output);
      case 'abandon':
        return this.runs.abandon(output);
      case 'min_version':
        return this.raiseMinVersion(output.minWeightVersion);
      case 'commit':
        return this.recordWriter.commit(output.samples);
      case 'void':
        return this.recordWriter.voidWinners(output.cursors);
      case 'send':
        this.stream?.send(output.event);
        if (output.event.kind === 'end') this.stream?.end();
        return;
      case 'recover':
        void this.recover(output.committed);
        return;
      case 'acknowledge':
        return this.recordWriter.acknowledge(
          output.cursor,
          output.weightVersion,
        );
      case 'close':
        this.recordWriter.close(output.reason);
        return this.finish(output.reason);
    }
  }

  private createRecordWriter(): StepRecordWriter {
    const {ledger, fencing, log} = this.options;
    return new StepRecordWriter({
      ledger,
      fencing,
      log,
      onCommitted: samples => this.inputs.post({kind: 'committed', samples}),
      onRefused: samples => this.inputs.post({kind: 'commit_failed', samples}),
      onSuperseded: () => this.finish('lost'),
    });
  }

  private createRuns(): StepRuns {
    const {options} = this;
    const {ledger, fencing, action, dispatcher, http} = options;
    return new StepRuns({
      ledger,
      fencing,
      action,
      dispatcher,
      http,
      findDeadlineAtMs: () =>
        estimateOpenedAtMs(options) + ledger.opening.req.timeoutMs,
      onAttemptStart: (ref, attempt, endpoint) => {
        this.machine.recordAttempt(ref, attempt);
        this.recordWriter.recordAttempt(ref, attempt, endpoint);
      },
      onOutput: output => {
        options.onSettled(output);
        this.inputs.post({kind: 'finished', output});
      },
      onGiveUp: (ref, error) =>
        this.inputs.post({kind: 'failed', ...ref, error}),
      onRunEnd: options.onRunEnd,
      onWasted: options.onWasted,
    });
  }

  private raiseMinVersion(minWeightVersion: number): void {
    const stepKey = this.options.ledger.key;
    this.options.dispatcher.post({
      kind: 'min_version',
      stepKey,
      minWeightVersion,
    });
    for (const ref of this.runs.listOutdated(minWeightVersion)) {
      this.inputs.post({kind: 'outdated', ...ref});
    }
  }

  private async recover(committed: CommittedSample): Promise<void> {
    const {ledger, dispatcher, http} = this.options;
    const {cursor, group, sample, attempt} = committed;
    const engine = dispatcher.findEndpoint(committed.endpoint);
    const started = ledger
      .listAttempts(group, sample)
      .find(entry => entry.attempt === attempt);
    if (!engine || !started) {
      this.inputs.post({kind: 'recovered', cursor});
      return;
    }
    const prefix = this.runs.buildRequestPrefix(committed, started.fencing);
    const requestId = `${prefix}.${attempt}`;
    const {model} = ledger.opening.req;
    const output = await recoverWinner(
      committed,
      engine,
      requestId,
      model,
      http,
    );
    this.inputs.post({kind: 'recovered', cursor, ...(output && {output})});
  }

  private finish(end: StepEnd): void {
    if (this.ended) return;
    if (end === 'left') this.recordWriter.flush();
    this.ended = true;
    clearInterval(this.ticker);
    this.recordWriter.stop();
    this.runs.forgetAll();
    this.runs.detachAll();
    this.stream?.end();
    this.options.onEnd(end);
  }
}

/** Estimates when the step was opened, in Unix ms of this VM's clock. */
function estimateOpenedAtMs(options: StepTaskOptions): number {
  const {ledger, log} = options;
  const ageMs = log.estimateLogNowMs() - ledger.opening.openedAtMs;
  return Date.now() - Math.max(0, ageMs);
}

function readHistory(ledger: StepLedger): StepHistory {
  const attempts = new Map<string, number>();
  ledger.opening.req.groups.forEach((request, group) => {
    for (let sample = 0; sample < request.samples; sample++) {
      const highest = ledger.findHighestAttempt(group, sample);
      if (highest > 0) attempts.set(buildSampleKey({group, sample}), highest);
    }
  });
  return {
    committed: ledger.listCommitted(),
    acknowledgedCursor: ledger.acknowledged,
    highestCursor: ledger.lastCursor,
    weightVersion: ledger.trainerVersion,
    attempts,
  };
}
