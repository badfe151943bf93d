/** Engines of the `steps` experiment on a virtual clock, and their output streams. */

import {EngineModel} from '@radishyoke/fakes/engine_model';
import type {EngineEvent, EngineRequest} from '@radishyoke/fakes/engine_event';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {LoadReport} from '@radishyoke/shared/endpoint';
import type {TokenSpan} from '@radishyoke/shared/rollout';
import type {
  AttemptOutcome,
  FailureKind,
} from '@radishyoke/core/scheduling/failure';
import type {
  LoadOrder,
  ReportedEngine,
} from '@radishyoke/core/steps/weight_rollout';
import type {VirtualClock} from './virtual_clock.js';

/** Receives the events of one attempt. */
export interface StreamListener {
  onProgress(tokens: number, weightVersion: number): void;
  onEnd(outcome: AttemptOutcome): void;
}

/** Time after which a VM abandons a connection that carries no data. */
const SILENT_TIMEOUT_MS = 5000;

interface OpenStream {
  readonly listener: StreamListener;
  readonly spans: Array<{weightVersion: number; tokens: number}>;
  /** Tokens of an earlier attempt that the request resumes from. */
  readonly resumedTokens: number;
  tokens: number;
  /** Time from which the connection carries no data, though it stays open. */
  silentFromMs: number;
}

export class StepsEngine {
  private readonly streams = new Map<string, OpenStream>();
  private nextAdvanceAtMs = Infinity;

  constructor(
    readonly id: EndpointId,
    readonly model: EngineModel,
    private readonly clock: VirtualClock,
    private readonly oneWayMs: number,
  ) {}

  /** Sends a request; `earlierSpans` describe the output that it resumes from. */
  submit(
    req: EngineRequest,
    earlierSpans: readonly TokenSpan[],
    silentFromMs: number,
    listener: StreamListener,
  ): void {
    this.clock.scheduleAfter(this.oneWayMs, () => {
      const {kind} = this.model.submit(req, this.clock.nowMs);
      if (kind !== 'accepted') {
        const failure = kind === 'down' ? 'connect_failed' : 'rejected';
        this.reportFailure(listener, failure, false, 0);
      } else {
        const spans = earlierSpans.map(span => ({...span}));
        const resumedTokens = req.resumeTokens;
        this.streams.set(req.id, {
          listener,
          spans,
          resumedTokens,
          tokens: 0,
          silentFromMs,
        });
      }
      this.advance();
    });
  }

  cancel(id: string): void {
    this.streams.delete(id);
    this.clock.scheduleAfter(this.oneWayMs, () => {
      this.model.cancel(id, this.clock.nowMs);
      this.advance();
    });
  }

  readSpans(id: string): readonly TokenSpan[] {
    return this.streams.get(id)?.spans ?? [];
  }

  /** Returns the weight version in the engine's latest load report. */
  reportVersion(): ReportedEngine {
    const {weightVersion} = this.model.reportLoad(this.clock.nowMs);
    return {id: this.id, weightVersion};
  }

  loadWeights({fencing, version}: LoadOrder): void {
    const order = {kind: 'load_version', fencing, version} as const;
    this.model.order(order, this.clock.nowMs);
    this.advance();
  }

  crash(): void {
    this.model.crash(this.clock.nowMs);
    this.advance();
  }

  /** Returns the load report, or nothing while the engine is down. */
  reportLoad(): readonly LoadReport[] {
    const load = this.model.reportLoad(this.clock.nowMs);
    this.advance();
    return this.model.isDown ? [] : [{endpoint: this.id, ...load}];
  }

  /** Handles the model's events up to now and schedules itself for the next one. */
  advance(): void {
    for (const event of this.model.advance(this.clock.nowMs))
      this.handleEvent(event);
    const atMs = this.model.nextEventAtMs();
    if (atMs === Infinity || atMs === this.nextAdvanceAtMs) return;
    this.nextAdvanceAtMs = atMs;
    this.clock.scheduleAt(atMs, () => {
      if (this.nextAdvanceAtMs !== atMs) return;
      this.nextAdvanceAtMs = Infinity;
      this.advance();
    });
  }

  private handleEvent(event: EngineEvent): void {
    if (event.kind === 'chunk') return this.handleChunk(event);
    if (event.kind !== 'crashed') return;
    for (const id of event.lostIds) {
      const stream = this.streams.get(id);
      if (!stream) continue;
      this.streams.delete(id);
      const tokens = stream.resumedTokens + stream.tokens;
      this.reportFailure(stream.listener, 'crashed', true, tokens);
    }
  }

  private handleChunk(event: EngineEvent & {kind: 'chunk'}): void {
    const stream = this.streams.get(event.id);
    if (!stream) return;
    if (event.atMs >= stream.silentFromMs) {
      this.streams.delete(event.id);
      this.clock.scheduleAfter(SILENT_TIMEOUT_MS, () =>
        stream.listener.onEnd(
          createFailure('silent', true, stream.resumedTokens + stream.tokens),
        ),
      );
      return;
    }
    addSpan(stream.spans, event.weightVersion, event.tokens);
    stream.tokens += event.tokens;
    if (event.finishReason !== null) this.streams.delete(event.id);
    this.clock.scheduleAfter(this.oneWayMs, () => {
      const tokens = stream.resumedTokens + stream.tokens;
      if (event.finishReason === null) {
        stream.listener.onProgress(tokens, event.weightVersion);
        return;
      }
      stream.listener.onEnd({kind: 'finished', tokens, spans: stream.spans});
    });
  }

  private reportFailure(
    listener: StreamListener,
    failure: FailureKind,
    sent: boolean,
    tokens: number,
  ): void {
    this.clock.scheduleAfter(this.oneWayMs, () =>
      listener.onEnd(createFailure(failure, sent, tokens)),
    );
  }
}

function createFailure(
  failure: FailureKind,
  sent: boolean,
  tokensReceived: number,
): AttemptOutcome {
  return {kind: 'failed', failure, sent, tokensReceived};
}

function addSpan(
  spans: Array<{weightVersion: number; tokens: number}>,
  weightVersion: number,
  tokens: number,
): void {
  if (tokens === 0) return;
  const last = spans.at(-1);
  if (last?.weightVersion === weightVersion) last.tokens += tokens;
  else spans.push({weightVersion, tokens});
}
