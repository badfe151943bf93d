/** Runs one sample of a step on engines and collects its output. */

import type {Dispatcher as HttpDispatcher} from 'undici';
import type {
  AttemptOutcome,
  FailureKind,
} from '@radishyoke/core/scheduling/failure';
import type {WorkItem} from '@radishyoke/core/scheduling/scheduler';
import type {
  SampleOutput,
  SampleRef,
} from '@radishyoke/core/steps/step_message';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {TokenSpan} from '@radishyoke/shared/rollout';
import {
  EngineStream,
  GenerationChunk,
  GenerationEnd,
  GenerationRequest,
} from '@radishyoke/wire/engine_stream';
import {Dispatcher, StartAction, WorkRunner} from '../scheduling/dispatcher.js';

/**
 * Attempt number, within the work item, of an attempt started by an earlier
 * owner.
 */
const adoptedAttempt = 1;

/** Minimum time between two progress reports of an attempt, ms. */
const progressReportIntervalMs = 250;

export interface SampleRunnerOptions extends SampleRef {
  /**
   * Engines receive an attempt under the request id
   * `<requestPrefix>.<attempt>`.
   */
  readonly requestPrefix: string;
  /** The sample as a work item of the scheduler. */
  readonly workItem: WorkItem;
  /**
   * Number, within the sample, of the first attempt that the scheduler starts.
   */
  readonly firstAttempt: number;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly seed: number;
  readonly http: HttpDispatcher;
  readonly dispatcher: Dispatcher;
  readonly onAttemptStart: (attempt: number, endpoint: EndpointId) => void;
  readonly onOutput: (output: SampleOutput) => void;
  readonly onGiveUp: (err: RadishyokeError) => void;
}

/** An ended attempt of a sample. Times are Unix ms. */
export interface EndedSampleAttempt {
  readonly attempt: number;
  readonly endpoint: EndpointId;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly end: 'finished' | 'stopped' | FailureKind;
  /**
   * Weight versions that generated the output, including the resumed prefix.
   */
  readonly spans: readonly TokenSpan[];
}

/** Output of one attempt so far, including the prefix it was resumed from. */
interface PartialOutput {
  readonly endpoint: EndpointId;
  /** Unix ms. */
  readonly startedAtMs: number;
  endedAtMs?: number;
  end?: EndedSampleAttempt['end'];
  readonly chunks: GenerationChunk[];
  tokens: number;
  reportedAtMs: number;
  stream?: EngineStream;
  finishReason: string;
}

export class SampleRunner extends WorkRunner {
  private readonly partials = new Map<number, PartialOutput>();
  private stopped = false;
  private receivedTokenCount = 0;

  constructor(private readonly options: SampleRunnerOptions) {
    super();
  }

  /** Tokens received from engines, summed over all attempts. */
  get receivedTokens(): number {
    return this.receivedTokenCount;
  }

  /** Lists all attempts; those still running are reported as stopped now. */
  listAttempts(): readonly EndedSampleAttempt[] {
    return [...this.partials].map(([attempt, partial]) => ({
      attempt: this.toSampleAttempt(attempt),
      endpoint: partial.endpoint,
      startedAtMs: partial.startedAtMs,
      endedAtMs: partial.endedAtMs ?? Date.now(),
      end: partial.end ?? 'stopped',
      spans: mergeSpans(partial.chunks),
    }));
  }

  get workId(): string {
    return this.options.workItem.id;
  }

  /** Submits the work item to the scheduler. */
  submit(): void {
    this.options.dispatcher.submit(this.options.workItem, this);
  }

  /**
   * Continues reading an attempt that an earlier owner started as `requestId`.
   * An engine keeps a generation only for a while after its reader disconnects;
   * if it no longer has this one, the work item is submitted as a new one.
   */
  adopt(endpoint: EndpointInfo, requestId: string): void {
    const partial = createPartial(endpoint.id, []);
    let adopted = false;
    partial.stream = this.createStream(
      endpoint,
      requestId,
      undefined,
      chunk => {
        if (!adopted) {
          adopted = true;
          this.partials.set(adoptedAttempt, partial);
          const {dispatcher, workItem} = this.options;
          dispatcher.adopt(workItem, this, endpoint.id);
        }
        this.recordChunk(adoptedAttempt, partial, chunk);
      },
    );
    void partial.stream.attach().then(end => {
      if (adopted) this.onStreamEnd(adoptedAttempt, partial, end);
      else if (!this.stopped) this.submit();
    });
  }

  start(action: StartAction, endpoint: EndpointInfo): void {
    const prefix = this.selectPrefix(action);
    const partial = createPartial(endpoint.id, prefix);
    this.partials.set(action.attempt, partial);
    const attempt = this.toSampleAttempt(action.attempt);
    this.options.onAttemptStart(attempt, endpoint.id);
    const resume =
      prefix.length === 0
        ? undefined
        : {text: joinText(prefix), tokens: partial.tokens};
    partial.stream = this.createStream(
      endpoint,
      `${this.options.requestPrefix}.${attempt}`,
      resume,
      chunk => this.recordChunk(action.attempt, partial, chunk),
    );
    void partial.stream
      .run()
      .then(end => this.onStreamEnd(action.attempt, partial, end));
  }

  stop(attempt: number): void {
    this.partials.get(attempt)?.stream?.stop();
  }

  /**
   * Cancels all attempts. The dispatcher must have dropped the work item
   * already.
   */
  stopAll(): void {
    this.stopped = true;
    for (const attempt of this.partials.keys()) this.stop(attempt);
  }

  /**
   * Stops reading but lets the engines continue, so that the step's next owner
   * can adopt the attempts.
   */
  detachAll(): void {
    this.stopped = true;
    for (const partial of this.partials.values()) partial.stream?.detach();
  }

  done(attempt: number): void {
    const partial = this.partials.get(attempt);
    if (!partial) return;
    const {group, sample} = this.options;
    this.options.onOutput({
      group,
      sample,
      attempt: this.toSampleAttempt(attempt),
      endpoint: partial.endpoint,
      text: joinText(partial.chunks),
      spans: mergeSpans(partial.chunks),
      finishReason: partial.finishReason,
    });
  }

  giveUp(err: RadishyokeError): void {
    this.stopAll();
    this.options.onGiveUp(err);
  }

  /**
   * Whether every attempt contains tokens from weights older than
   * `minWeightVersion`.
   */
  isOutdated(minWeightVersion: number): boolean {
    const partials = [...this.partials.values()];
    const outdated = (partial: PartialOutput) =>
      partial.chunks.some(chunk => chunk.weightVersion < minWeightVersion);
    return partials.length > 0 && partials.every(outdated);
  }

  private createStream(
    endpoint: EndpointInfo,
    requestId: string,
    resume: GenerationRequest['resume'],
    onChunk: (chunk: GenerationChunk) => void,
  ): EngineStream {
    const {http, model, prompt, maxTokens, seed} = this.options;
    return new EngineStream(
      http,
      `http://${endpoint.address}`,
      {requestId, model, prompt, maxTokens, seed, resume},
      onChunk,
    );
  }

  private toSampleAttempt(attempt: number): number {
    return this.options.firstAttempt + attempt - 1;
  }

  private selectPrefix(action: StartAction): readonly GenerationChunk[] {
    if (action.resumeTokens === 0) return [];
    const earlier = this.partials.get(action.resumeAttempt);
    const selected: GenerationChunk[] = [];
    let tokens = 0;
    for (const chunk of earlier?.chunks ?? []) {
      if (tokens + chunk.tokens > action.resumeTokens) break;
      tokens += chunk.tokens;
      selected.push(chunk);
    }
    return selected;
  }

  private recordChunk(
    attempt: number,
    partial: PartialOutput,
    chunk: GenerationChunk,
  ): void {
    partial.chunks.push(chunk);
    partial.tokens += chunk.tokens;
    this.receivedTokenCount += chunk.tokens;
    const nowMs = Date.now();
    if (nowMs - partial.reportedAtMs < progressReportIntervalMs) return;
    partial.reportedAtMs = nowMs;
    this.options.dispatcher.post({
      kind: 'progress',
      workId: this.options.workItem.id,
      attempt,
      tokens: partial.tokens,
      weightVersion: chunk.weightVersion,
    });
  }

  private onStreamEnd(
    attempt: number,
    partial: PartialOutput,
    end: GenerationEnd,
  ): void {
    if (end.kind === 'finished') partial.finishReason = end.finishReason;
    partial.endedAtMs = Date.now();
    partial.end = end.kind === 'failed' ? end.failure : end.kind;
    const {dispatcher, workItem} = this.options;
    const outcome = resolveOutcome(end, partial);
    dispatcher.post({kind: 'ended', workId: workItem.id, attempt, outcome});
  }
}

function resolveOutcome(
  end: GenerationEnd,
  partial: PartialOutput,
): AttemptOutcome {
  switch (end.kind) {
    case 'finished':
      return {
        kind: 'finished',
        tokens: partial.tokens,
        spans: mergeSpans(partial.chunks),
      };
    case 'failed':
      return {...end, tokensReceived: partial.tokens};
    case 'stopped':
      return {kind: 'stopped'};
  }
}

function createPartial(
  endpoint: EndpointId,
  prefix: readonly GenerationChunk[],
): PartialOutput {
  return {
    endpoint,
    chunks: [...prefix],
    startedAtMs: Date.now(),
    tokens: countTokens(prefix),
    reportedAtMs: 0,
    finishReason: '',
  };
}

function countTokens(chunks: readonly GenerationChunk[]): number {
  return chunks.reduce((sum, chunk) => sum + chunk.tokens, 0);
}

function joinText(chunks: readonly GenerationChunk[]): string {
  return chunks.map(chunk => chunk.text).join('');
}

/** Merges adjacent chunks of the same weight version into spans. */
export function mergeSpans(
  chunks: readonly GenerationChunk[],
): readonly TokenSpan[] {
  const spans: TokenSpan[] = [];
  for (const {weightVersion, tokens} of chunks) {
    const last = spans.at(-1);
    if (last?.weightVersion !== weightVersion) {
      spans.push({weightVersion, tokens});
      continue;
    }
    spans[spans.length - 1] = {weightVersion, tokens: last.tokens + tokens};
  }
  return spans;
}
