/**
 * Trainer client of the caller interface: opens a step, reads its rollouts over as many
 * connections as necessary, and acknowledges what it has read.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {Readable} from 'node:stream';
import {Agent, Dispatcher} from 'undici';
import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import {createError, ErrorKind} from '@radishyoke/shared/error_kind';
import {HEADERS} from '@radishyoke/shared/header';
import type {RolloutId, StepId, TenantId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {
  measureStaleness,
  Rollout,
  StepEvent,
  StepRequest,
} from '@radishyoke/shared/rollout';
import {StepProgress} from './step_progress.js';

export interface TrainerClientOptions {
  /**
   * `http://ip:port` of the load balancer, or of several VMs; a failed request
   * switches to the next.
   */
  readonly origins: readonly string[];
  readonly tenant: TenantId;
  /**
   * Maximum time without data on the stream; the service sends a heartbeat every
   * second.
   */
  readonly silenceMs?: number;
}

export interface FollowOptions {
  readonly step: StepId;
  readonly req: StepRequest;
  /** Returns the trainer's current weight version. */
  readonly readWeightVersion: () => number;
  readonly onRollout: (rollout: Rollout) => void;
  readonly onShortfall?: (id: RolloutId, err: RadishyokeError) => void;
  readonly progress?: StepProgress;
  readonly signal?: AbortSignal;
}

export interface StepSummary {
  readonly rollouts: number;
  readonly shortfalls: number;
  /** Number of times the stream was reconnected. */
  readonly reconnects: number;
  /** Events dropped because their sample had already been received. */
  readonly duplicates: number;
}

const defaultSilenceMs = 3500;
const requestTimeoutMs = 10_000;
const firstBackoffMs = 50;
const maxBackoffMs = 1000;
/** Number of events read after which an acknowledgement is sent immediately. */
const maxUnacknowledged = 16;
const acknowledgeAfterMs = 200;

/** How one connection of the stream ended. */
type StreamEnd = 'complete' | 'cut' | 'step_unknown' | RadishyokeError;

export class TrainerClient {
  private readonly http: Dispatcher;
  private originIndex = 0;

  constructor(private readonly options: TrainerClientOptions) {
    const silenceMs = options.silenceMs ?? defaultSilenceMs;
    this.http = new Agent({
      headersTimeout: requestTimeoutMs,
      bodyTimeout: silenceMs,
      connectTimeout: silenceMs,
    });
  }

  /**
   * Opens the step. Safe to repeat: a request with the same id and body refers to the
   * same step.
   */
  async openStep(step: StepId, req: StepRequest): Promise<Result<void>> {
    const body = JSON.stringify(req);
    const res = await this.call('PUT', `/v1/steps/${step}`, body);
    return res.ok ? succeed(undefined) : res;
  }

  async cancelStep(step: StepId): Promise<Result<void>> {
    const res = await this.call('DELETE', `/v1/steps/${step}`);
    return res.ok ? succeed(undefined) : res;
  }

  /** Reports the trainer's read position and weight version to the service. */
  async acknowledge(
    step: StepId,
    cursor: number,
    weightVersion: number,
  ): Promise<Result<void>> {
    const body = JSON.stringify({cursor, weightVersion});
    const res = await this.call('POST', `/v1/steps/${step}/ack`, body);
    return res.ok ? succeed(undefined) : res;
  }

  /**
   * Opens the step and reads it to its end, reconnecting whenever the connection or the
   * VM behind it is lost. Passes every rollout to `onRollout` exactly once.
   */
  async runStep(options: FollowOptions): Promise<Result<StepSummary>> {
    const progress = options.progress ?? new StepProgress();
    const follower = new StepFollower(this, options, progress);
    let backoffMs = firstBackoffMs;
    let opened = false;
    let reconnects = -1;
    while (!options.signal?.aborted) {
      if (!opened) {
        const result = await this.openStep(options.step, options.req);
        if (!result.ok && !isWorthRetrying(result.error)) return result;
        opened = result.ok;
      }
      const previousPosition = progress.position;
      const end: StreamEnd = opened ? await this.follow(follower) : 'cut';
      if (opened) reconnects++;
      if (end === 'complete') {
        await follower.acknowledgeAll();
        return succeed({...follower.summarize(), reconnects});
      }
      if (end === 'step_unknown') opened = false;
      else if (end !== 'cut' && !isWorthRetrying(end)) return fail(end);
      if (progress.position > previousPosition) backoffMs = firstBackoffMs;
      await sleep(backoffMs);
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }
    return fail(createError('cancelled'));
  }

  async close(): Promise<void> {
    await this.http.destroy();
  }

  private async follow(follower: StepFollower): Promise<StreamEnd> {
    const {options, progress} = follower;
    const query = new URLSearchParams({
      cursor: String(progress.position),
      weightVersion: String(options.readWeightVersion()),
    });
    const path = `/v1/steps/${options.step}/rollouts?${query}`;
    const res = await this.call('GET', path);
    if (!res.ok) {
      return res.error.kind === 'not_found' ? 'step_unknown' : res.error;
    }
    try {
      for await (const line of readLines(res.value.body)) {
        if (options.signal?.aborted) return 'cut';
        const event = JSON.parse(line) as StepEvent;
        // The trainer's weights advanced while this rollout was in transit. It is not
        // recorded; the new connection sends the current version, and the service runs
        // the sample again.
        if (follower.isStale(event)) return 'cut';
        if (follower.handleEvent(event)) return 'complete';
      }
    } catch {
      return 'cut';
    } finally {
      res.value.body.destroy();
    }
    return 'cut';
  }

  private async call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: string,
  ): Promise<Result<Dispatcher.ResponseData>> {
    const {origins, tenant} = this.options;
    const origin = origins[this.originIndex % origins.length];
    try {
      const res = await this.http.request({
        origin,
        path,
        method,
        body,
        headers: {
          [HEADERS.tenant]: tenant,
          'content-type': 'application/json',
        },
      });
      if (method === 'GET' && res.statusCode === 200) return succeed(res);
      const text = await res.body.text();
      if (res.statusCode < 300) return succeed(res);
      this.originIndex++;
      return fail(decodeError(text));
    } catch {
      this.originIndex++;
      return fail(
        createError('endpoint_unreachable', `the request to ${origin} failed`),
      );
    }
  }
}

/** Handles the events of one step over all its connections. */
class StepFollower {
  private rollouts = 0;
  private shortfalls = 0;
  private duplicates = 0;
  private unacknowledged = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly client: TrainerClient,
    readonly options: FollowOptions,
    readonly progress: StepProgress,
  ) {}

  /**
   * Whether `event` contains a rollout that exceeds the trainer's staleness bound
   * now.
   */
  isStale(event: StepEvent): boolean {
    if (event.kind !== 'rollout') return false;
    const {req, readWeightVersion} = this.options;
    const staleness = measureStaleness(
      event.rollout.spans,
      readWeightVersion(),
    );
    return staleness > req.maxStaleness;
  }

  /** Handles one event; returns whether the step is complete. */
  handleEvent(event: StepEvent): boolean {
    switch (event.kind) {
      case 'heartbeat':
        return false;
      case 'end':
        return true;
      default:
        this.settle(event);
        return false;
    }
  }

  summarize(): Omit<StepSummary, 'reconnects'> {
    const {rollouts, shortfalls, duplicates} = this;
    return {rollouts, shortfalls, duplicates};
  }

  async acknowledgeAll(): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.unacknowledged = 0;
    const {step, readWeightVersion} = this.options;
    const {position} = this.progress;
    await this.client.acknowledge(step, position, readWeightVersion());
  }

  private settle(
    event: Exclude<StepEvent, {readonly kind: 'heartbeat' | 'end'}>,
  ): void {
    const verdict = this.progress.recordEvent(event);
    if (verdict === 'duplicate') this.duplicates++;
    if (verdict === 'outdated_owner') return;
    if (verdict === 'take') this.notifyTrainer(event);
    this.scheduleAcknowledgement();
  }

  private notifyTrainer(
    event: Exclude<StepEvent, {readonly kind: 'heartbeat' | 'end'}>,
  ): void {
    if (event.kind === 'rollout') {
      this.rollouts++;
      this.options.onRollout(event.rollout);
      return;
    }
    this.shortfalls++;
    this.options.onShortfall?.(event.rolloutId, event.error);
  }

  private scheduleAcknowledgement(): void {
    this.unacknowledged++;
    if (this.unacknowledged >= maxUnacknowledged) {
      void this.acknowledgeAll();
      return;
    }
    this.timer ??= setTimeout(
      () => void this.acknowledgeAll(),
      acknowledgeAfterMs,
    );
  }
}

/** Splits a stream into lines; an incomplete last line is dropped. */
async function* readLines(body: Readable): AsyncGenerator<string> {
  // Leaving the loop early destroys the body, which then emits an error for the abort.
  body.on('error', () => undefined);
  const decoder = new TextDecoder();
  let remainder = '';
  for await (const chunk of body) {
    const text = decoder.decode(chunk as Buffer, {stream: true});
    const lines = (remainder + text).split('\n');
    remainder = lines.pop() ?? '';
    yield* lines;
  }
}

/** Error kinds after which the same call may succeed on another VM or later. */
const transientKinds: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'endpoint_unreachable',
  'draining',
  'not_current',
  'not_owner',
  'stale_lease',
  'log_unavailable',
  'overloaded',
  'no_endpoint',
  'internal',
]);

function isWorthRetrying(err: RadishyokeError): boolean {
  return transientKinds.has(err.kind);
}

function decodeError(text: string): RadishyokeError {
  try {
    const body = JSON.parse(text) as {
      readonly error: ErrorKind;
      readonly detail: string;
    };
    return createError(body.error, body.detail);
  } catch {
    return createError('endpoint_failed', 'the response is not JSON');
  }
}
