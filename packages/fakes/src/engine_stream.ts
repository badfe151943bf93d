/** One request inside an engine, from its submission until it is removed. */

import type {EngineRequest, FinishReason} from './engine_event.js';
import type {EngineOptions} from './engine_options.js';
import type {RunRecorder} from './run_history.js';
import {pickOutputTokens} from './output_length.js';

export class EngineStream {
  /** Length of the complete output, cut to the request's `maxTokens`. */
  readonly totalTokens: number;
  readonly finishReason: FinishReason;
  /** Tokens of the output so far, resumed ones included. */
  outputTokens: number;
  /** Tokens still to be prefilled; set when the request joins the batch. */
  prefillTokens = 0;
  readers = 1;
  /** When it finished or a reader last left, Unix ms. */
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

  /** Generates up to `count` tokens with `version`; returns how many. */
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

  /** Whether it finished or lost its last reader at least `retentionMs` ago. */
  isAbandoned(nowMs: number, retentionMs: number): boolean {
    const isIdle = this.readers === 0 || this.state === 'finished';
    return isIdle && nowMs - this.unreadSinceMs >= retentionMs;
  }
}
