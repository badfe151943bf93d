/** One request inside an engine, from admission until it is forgotten. */

import type {EngineRequest, FinishReason} from './engine_event.js';
import type {EngineOptions} from './engine_options.js';
import type {RunRecorder} from './run_history.js';
import {pickOutputTokens} from './output_length.js';

export class EngineStream {
  /** Tokens of the whole output at its natural or allowed end. */
  readonly totalTokens: number;
  readonly finishReason: FinishReason;
  /** Tokens of the output that are there, resumed ones included. */
  outputTokens: number;
  /** Tokens still to be prefilled; set when it is taken into the batch. */
  prefillTokens = 0;
  readers = 1;
  /** When it ended or its last reader left. */
  unreadSinceMs: number;
  state: 'waiting' | 'running' | 'finished' = 'waiting';

  constructor(
    readonly req: EngineRequest,
    readonly run: RunRecorder,
    options: EngineOptions,
    nowMs: number,
  ) {
    const naturalTokens = pickOutputTokens(req.seed, options.length);
    this.finishReason = naturalTokens <= req.maxTokens ? 'stop' : 'length';
    this.totalTokens = Math.min(naturalTokens, req.maxTokens);
    this.outputTokens = req.resumeTokens;
    this.unreadSinceMs = nowMs;
  }

  /** Adds up to `count` tokens made by `version`; returns how many. */
  generate(count: number, version: number): number {
    const left = Math.max(0, this.totalTokens - this.outputTokens);
    const tokens = Math.min(count, left);
    this.outputTokens += tokens;
    this.run.addTokens(version, tokens);
    return tokens;
  }

  get isComplete(): boolean {
    return this.outputTokens >= this.totalTokens;
  }

  /** Whether it ended or was left by its readers more than `keepMs` ago. */
  isAbandoned(nowMs: number, retentionMs: number): boolean {
    const isIdle = this.readers === 0 || this.state === 'finished';
    return isIdle && nowMs - this.unreadSinceMs >= retentionMs;
  }
}
