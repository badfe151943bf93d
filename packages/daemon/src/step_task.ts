/**
 * The task that runs one step at its owner. It feeds the step machine and does
 * what that answers: submits samples, writes the ledger, talks to the trainer.
 */

import type {ServerResponse} from 'node:http';
import type {Dispatcher as HttpDispatcher} from 'undici';
import {computeDigest, computePrefixKey} from '@radishyoke/core/ledger/digest';
import {nameStepLease} from '@radishyoke/core/ledger/lease_table';
import type {RouteAction} from '@radishyoke/core/rules/rule';
import type {WorkItem} from '@radishyoke/core/scheduling/scheduler';
import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import {
  formatSampleKey,
  SampleOutput,
  SampleRef,
  StepHistory,
  StepInput,
  StepOutput,
  StepProgress,
} from '@radishyoke/core/steps/step_message';
import {StepMachine} from '@radishyoke/core/steps/step_machine';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {
  CommittedSample,
  SampleCommit,
} from '@radishyoke/shared/log_record';
import type {StepRequest, TokenSpan} from '@radishyoke/shared/rollout';
import {EngineStream, GenerationChunk} from '@radishyoke/wire/engine_stream';
import type {Dispatcher} from './dispatcher.js';
import type {LogTask, StateBody} from './log_task.js';
import type {Logger} from './logger.js';
import {createMailbox} from './mailbox.js';
import {EndedSampleAttempt, mergeSpans, SampleRunner} from './sample_runner.js';
import {StepStream} from './step_stream.js';

/** How long records wait for others to share an append with, ms. */
const batchMs = 20;
/** How often deadlines are looked at, ms. */
const tickMs = 200;
/** Pause before a refused commit is tried again, ms. */
const commitRetryMs = 500;
/** Characters a token stands for when a prompt's length is estimated. */
const charsPerToken = 4;

/**
 * What became of a step at this VM. After `lost` and `left` another VM goes on
 * with it.
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
  /** Called once; the task does nothing more after it. */
  readonly onEnd: (end: StepEnd) => void;
  /** Told of a run's attempts when it is over, however it ended. */
  readonly onAttempts: (
    ref: SampleRef,
    attempts: readonly EndedSampleAttempt[],
  ) => void;
  /** Told of generated tokens that no trainer will receive. */
  readonly onWasted: (tokens: number) => void;
  /** Told of every sample settled, for metrics and the audit. */
  readonly onSettled: (output: SampleOutput) => void;
}

export class StepTask {
  private readonly inputs = createMailbox<StepInput>();
  private readonly machine: StepMachine;
  private readonly runners = new Map<string, SampleRunner>();
  /** Samples whose attempt by an earlier owner was already gone on from. */
  private readonly inherited = new Set<string>();
  private readonly req: StepRequest;
  private readonly ticker: NodeJS.Timeout;
  private attempts: Array<SampleRef & StartedRef> = [];
  private commits: SampleCommit[] = [];
  private flushTimer: NodeJS.Timeout | undefined;
  private stream: StepStream | undefined;
  private round = 0;
  private ended = false;

  constructor(private readonly options: StepTaskOptions) {
    const {ledger, fencing} = options;
    this.req = ledger.opening.req;
    this.machine = new StepMachine({
      step: ledger.opening.step,
      req: this.req,
      fencing,
      openedAtMs: estimateOpenedAt(options),
      ownedFromMs: Date.now(),
      history: readHistory(ledger),
    });
    void this.inputs.messages.observe(input => this.handle(input));
    this.ticker = setInterval(() => this.tick(), tickMs);
  }

  get fencing(): number {
    return this.options.fencing;
  }

  begin(): void {
    this.carryOutAll(this.machine.begin());
  }

  /** Connects the trainer's response; an earlier one is ended. */
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

  /** Stops without closing the step: another VM goes on with it. */
  leave(): void {
    this.finish('left');
  }

  /** Stops without a word to the log or the engines, as a crash would. */
  stop(): void {
    this.ended = true;
    clearInterval(this.ticker);
    clearTimeout(this.flushTimer);
    for (const runner of this.runners.values()) runner.detachAll();
  }

  private handle(input: StepInput): void {
    if (this.ended) return;
    this.carryOutAll(this.machine.handle(input, Date.now()));
  }

  private tick(): void {
    const {log, ledger, fencing} = this.options;
    const lease = nameStepLease(ledger.key);
    // A newer claim on the log ends this owner, also when it was paused past
    // its lease: whatever it still wrote is void at the log.
    if (!log.state.leases.isCurrent(lease, fencing)) {
      this.finish('lost');
      return;
    }
    this.inputs.post({kind: 'tick'});
  }

  private carryOutAll(outputs: readonly StepOutput[]): void {
    for (const output of outputs) this.carryOut(output);
  }

  private carryOut(output: StepOutput): void {
    switch (output.kind) {
      case 'run':
        this.run(output);
        return;
      case 'abandon':
        this.abandon(output);
        return;
      case 'min_version':
        this.raiseMinVersion(output.minWeightVersion);
        return;
      case 'commit':
        this.commits.push(...output.samples);
        this.scheduleFlush();
        return;
      case 'void':
        this.flush();
        void this.write({kind: 'samples_voided', cursors: output.cursors});
        return;
      case 'send':
        this.stream?.send(output.event);
        if (output.event.kind === 'end') this.stream?.end();
        return;
      case 'recover':
        void this.recover(output.committed);
        return;
      case 'acknowledge':
        void this.write({
          kind: 'cursor_acknowledged',
          cursor: output.cursor,
          weightVersion: output.weightVersion,
        });
        return;
      case 'close':
        this.flush();
        void this.write({kind: 'step_closed', reason: output.reason});
        this.finish(output.reason);
        return;
    }
  }

  private run(output: Extract<StepOutput, {kind: 'run'}>): void {
    const {ledger, dispatcher, http, fencing} = this.options;
    const {group, sample} = output;
    const sampleKey = formatSampleKey(output);
    const {prompt, maxTokens} = this.req.groups[group];
    const inherited = this.findInherited(output);
    const runner = new SampleRunner({
      requestPrefix: this.buildRequestPrefix(output, fencing),
      work: this.buildWork(output),
      firstAttempt: inherited?.attempt ?? output.firstAttempt,
      group,
      sample,
      model: this.req.model,
      prompt,
      maxTokens,
      seed: hashSeed(`${ledger.key}/${sampleKey}`),
      http,
      dispatcher,
      onAttempt: (attempt, endpoint) =>
        this.noteAttempt(output, attempt, endpoint),
      onOutput: result => {
        this.forget(output, sumTokens(result.spans));
        this.options.onSettled(result);
        this.inputs.post({kind: 'finished', output: result});
      },
      onGiveUp: error => {
        this.forget(output);
        this.inputs.post({kind: 'failed', group, sample, error});
      },
    });
    this.runners.set(sampleKey, runner);
    if (!inherited) {
      runner.submit();
      return;
    }
    const prefix = this.buildRequestPrefix(output, inherited.fencing);
    runner.adopt(inherited.endpoint, `${prefix}.${inherited.attempt}`);
  }

  /** The last attempt of an earlier owner, if its endpoint is still there. */
  private findInherited(ref: SampleRef) {
    const {ledger, dispatcher, fencing} = this.options;
    const last = ledger.listAttempts(ref.group, ref.sample).at(-1);
    if (!last || last.fencing === fencing) return undefined;
    if (this.inherited.has(formatSampleKey(ref))) return undefined;
    this.inherited.add(formatSampleKey(ref));
    const endpoint = dispatcher.findEndpoint(last.endpoint);
    return endpoint && {...last, endpoint};
  }

  private buildWork(run: Extract<StepOutput, {kind: 'run'}>): WorkItem {
    const {ledger, action} = this.options;
    const {prompt, maxTokens} = this.req.groups[run.group];
    const prefixKey = computePrefixKey(prompt);
    return {
      id: `${ledger.key}/${formatSampleKey(run)}#${++this.round}`,
      tenant: ledger.opening.tenant,
      workClass: 'rollout',
      group: action.group,
      model: this.req.model,
      priority: action.priority,
      deadlineAtMs: estimateOpenedAt(this.options) + this.req.timeoutMs,
      promptTokens: Math.ceil(prompt.length / charsPerToken),
      maxTokens,
      prefixKey,
      stepKey: ledger.key,
      groupKey: `${ledger.key}/${run.group}`,
      minWeightVersion: run.minWeightVersion,
      idempotent: true,
      maxAttempts: action.maxAttempts,
      hedge: action.hedge,
      maxInFlight: action.maxInFlight,
      // Prompts of one trainer often begin alike; a fingerprint of the beginning
      // would blame all of them for the one that crashes engines.
      fingerprint: computeDigest(prompt),
    };
  }

  private buildRequestPrefix(ref: SampleRef, fencing: number): string {
    const {tenant, step} = this.options.ledger.opening;
    return `${tenant}/${step}/${ref.group}.${ref.sample}.${fencing}`;
  }

  private noteAttempt(
    ref: SampleRef,
    attempt: number,
    endpoint: EndpointId,
  ): void {
    this.machine.noteAttempt(ref, attempt);
    const {group, sample} = ref;
    this.attempts.push({group, sample, attempt, endpoint});
    this.scheduleFlush();
  }

  private abandon(ref: SampleRef): void {
    const key = formatSampleKey(ref);
    const runner = this.runners.get(key);
    if (!runner) return;
    this.options.dispatcher.cancel(runner.workId);
    runner.stopAll();
    this.forget(ref);
  }

  /** The run is over; of what it received, `usedTokens` are handed over. */
  private forget(ref: SampleRef, usedTokens = 0): void {
    const key = formatSampleKey(ref);
    const runner = this.runners.get(key);
    if (!runner) return;
    this.runners.delete(key);
    this.options.onAttempts(ref, runner.listAttempts());
    const received = runner.receivedTokens;
    if (received > usedTokens) this.options.onWasted(received - usedTokens);
  }

  private raiseMinVersion(minWeightVersion: number): void {
    const stepKey = this.options.ledger.key;
    this.options.dispatcher.post({
      kind: 'min_version',
      stepKey,
      minWeightVersion,
    });
    for (const [key, runner] of this.runners) {
      if (!runner.isOutdated(minWeightVersion)) continue;
      const [group, sample] = key.split('/').map(Number);
      this.inputs.post({kind: 'outdated', group, sample});
    }
  }

  private scheduleFlush(): void {
    this.flushTimer ??= setTimeout(() => this.flush(), batchMs);
  }

  /** Writes attempts before winners: a winner's attempt must be known to readers. */
  private flush(): void {
    clearTimeout(this.flushTimer);
    this.flushTimer = undefined;
    const {attempts, commits} = this;
    this.attempts = [];
    this.commits = [];
    if (attempts.length > 0) {
      void this.write({kind: 'attempts_started', attempts});
    }
    if (commits.length > 0) void this.commit(commits);
  }

  private async commit(samples: readonly SampleCommit[]): Promise<void> {
    const committed = await this.write({kind: 'samples_committed', samples});
    if (this.ended) return;
    if (committed) {
      this.inputs.post({kind: 'committed', samples: committed});
      return;
    }
    setTimeout(
      () => this.inputs.post({kind: 'commit_failed', samples}),
      commitRetryMs,
    );
  }

  /** Appends a record under this owner's fencing number; undefined if not taken. */
  private async write(
    body: OwnedBody,
  ): Promise<readonly CommittedSample[] | undefined> {
    const {log, ledger, fencing} = this.options;
    const {tenant, step} = ledger.opening;
    const record = {...body, tenant, step, fencing} as StateBody;
    const result = await log.append(record);
    if (!result.ok) return undefined;
    const {verdict} = result.value;
    if (verdict.kind === 'accepted') return verdict.committed ?? [];
    if (verdict.reason === 'stale_fencing') this.finish('lost');
    return [];
  }

  /** Asks the engine that made a winner for its text again. */
  private async recover(committed: CommittedSample): Promise<void> {
    const {ledger, dispatcher, http} = this.options;
    const {cursor} = committed;
    const endpoint = dispatcher.findEndpoint(committed.endpoint);
    const started = ledger
      .listAttempts(committed.group, committed.sample)
      .find(entry => entry.attempt === committed.attempt);
    const fencing = started?.fencing;
    if (!endpoint || fencing === undefined) {
      this.inputs.post({kind: 'recovered', cursor});
      return;
    }
    const prefix = this.buildRequestPrefix(committed, fencing);
    const chunks: GenerationChunk[] = [];
    const stream = new EngineStream(
      http,
      `http://${endpoint.address}`,
      {
        requestId: `${prefix}.${committed.attempt}`,
        model: this.req.model,
        prompt: '',
        maxTokens: 0,
        seed: 0,
      },
      chunk => chunks.push(chunk),
    );
    const end = await stream.attach();
    if (end.kind !== 'finished') {
      this.inputs.post({kind: 'recovered', cursor});
      return;
    }
    const {group, sample, attempt} = committed;
    const text = chunks.map(chunk => chunk.text).join('');
    const spans = mergeSpans(chunks);
    const {finishReason} = end;
    this.inputs.post({
      kind: 'recovered',
      cursor,
      output: {
        group,
        sample,
        attempt,
        endpoint: committed.endpoint,
        text,
        spans,
        finishReason,
      },
    });
  }

  private finish(end: StepEnd): void {
    if (this.ended) return;
    if (end === 'left') this.flush();
    this.ended = true;
    clearInterval(this.ticker);
    clearTimeout(this.flushTimer);
    for (const runner of this.runners.values()) {
      this.options.dispatcher.forget(runner.workId);
      runner.detachAll();
    }
    this.stream?.end();
    this.options.onEnd(end);
  }
}

interface StartedRef {
  readonly attempt: number;
  readonly endpoint: EndpointId;
}

/** A record of this step, less what the task adds to each. */
type OwnedBody = StateBody extends infer Body
  ? Body extends {readonly fencing: number; readonly step: unknown}
    ? Omit<Body, 'tenant' | 'step' | 'fencing'>
    : never
  : never;

/** When the step was opened, on this VM's clock. */
function estimateOpenedAt(options: StepTaskOptions): number {
  const {ledger, log} = options;
  const ageMs = log.estimateLogNowMs() - ledger.opening.openedAtMs;
  return Date.now() - Math.max(0, ageMs);
}

function readHistory(ledger: StepLedger): StepHistory {
  const attempts = new Map<string, number>();
  ledger.opening.req.groups.forEach((request, group) => {
    for (let sample = 0; sample < request.samples; sample++) {
      const highest = ledger.highestAttempt(group, sample);
      if (highest > 0) attempts.set(formatSampleKey({group, sample}), highest);
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

function sumTokens(spans: readonly TokenSpan[]): number {
  return spans.reduce((sum, span) => sum + span.tokens, 0);
}

/** A seed that is the same on every VM, so that a rerun draws the same sample. */
function hashSeed(text: string): number {
  return parseInt(computePrefixKey(text).slice(0, 8), 16);
}
