/**
 * An engine's own record of its runs. Tests count lost, duplicated and too old
 * rollouts from it, independently of the service.
 */

import type {TokenSpan} from '@radishyoke/shared/rollout';
import {addToSpans} from './token_text.js';

export type RunEnd = 'finished' | 'cancelled' | 'crashed' | 'abandoned';

/** One run of a request on the engine. */
export interface EngineRun {
  readonly requestId: string;
  readonly seed: number;
  /** Tokens that were generated elsewhere and came with the request. */
  readonly resumeTokens: number;
  readonly startedAtMs: number;
  /** Undefined while it runs. */
  readonly endedAtMs?: number;
  readonly end?: RunEnd;
  /** The weight versions that generated its tokens, in order. */
  readonly spans: readonly TokenSpan[];
}

interface MutableRun {
  readonly requestId: string;
  readonly seed: number;
  readonly resumeTokens: number;
  readonly startedAtMs: number;
  endedAtMs?: number;
  end?: RunEnd;
  readonly spans: Array<{weightVersion: number; tokens: number}>;
}

/** Retains at least the last `maxRuns` runs. */
export class RunHistory {
  private runs: MutableRun[] = [];
  private dropped = 0;

  constructor(private readonly maxRuns: number) {}

  startRun(
    requestId: string,
    seed: number,
    resumeTokens: number,
    startedAtMs: number,
  ): RunRecorder {
    const run = {requestId, seed, resumeTokens, startedAtMs, spans: []};
    this.runs.push(run);
    if (this.runs.length >= 2 * this.maxRuns) this.dropOldest();
    return new RunRecorder(run);
  }

  list(): readonly EngineRun[] {
    return this.runs;
  }

  /** Counts the runs no longer listed; totals over `list` are exact only while it is 0. */
  countDropped(): number {
    return this.dropped;
  }

  private dropOldest(): void {
    this.dropped += this.runs.length - this.maxRuns;
    this.runs = this.runs.slice(-this.maxRuns);
  }
}

/** Updates one run of the history. */
export class RunRecorder {
  constructor(private readonly run: MutableRun) {}

  get spans(): readonly TokenSpan[] {
    return this.run.spans;
  }

  addTokens(weightVersion: number, tokens: number): void {
    if (tokens > 0) addToSpans(this.run.spans, weightVersion, tokens);
  }

  close(end: RunEnd, atMs: number): void {
    this.run.end = end;
    this.run.endedAtMs = atMs;
  }
}
