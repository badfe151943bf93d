/** Options of a simulated engine. */

import type {LengthDistribution} from './output_length.js';
import type {PrefixCacheOptions} from './prefix_cache.js';

export interface EngineOptions extends PrefixCacheOptions {
  /** Weight version at the start. */
  readonly weightVersion: number;
  /** Largest number of requests in the batch; others wait, first in, first out. */
  readonly maxBatch: number;
  /** Largest number of waiting requests; others are refused. */
  readonly maxWaiting: number;
  /** Tokens generated for each running request in one iteration. */
  readonly tokensPerChunk: number;
  /** Time to prefill one prompt token that is not cached. */
  readonly prefillMsPerToken: number;
  /** Largest number of prompt tokens prefilled in one iteration. */
  readonly prefillTokensPerIteration: number;
  /** Fixed part of the time for one token of each running request. */
  readonly decodeBaseMs: number;
  /** What each running request adds to `decodeBaseMs`. */
  readonly decodeSlopeMs: number;
  readonly length: LengthDistribution;
  /** How long a stream without readers is retained. */
  readonly streamKeepMs: number;
  /** Age of the figures in a load report. */
  readonly loadLagMs: number;
  /** How long generation pauses to swap weights. */
  readonly swapMs: number;
  /** Time to fetch weights; `external` if the owner of the model fetches them. */
  readonly fetchMs: number | 'external';
  readonly checksFencing: boolean;
  /** Time from a crash until the engine accepts requests again. */
  readonly restartAfterMs: number;
  /** Weight version after a restart: the one at the start, or the last loaded. */
  readonly restartVersion: 'first' | 'last';
  /** Number of runs that the run history retains at least. */
  readonly maxRuns: number;
}

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  weightVersion: 1,
  maxBatch: 32,
  maxWaiting: 10_000,
  tokensPerChunk: 4,
  prefillMsPerToken: 0.05,
  prefillTokensPerIteration: 4096,
  decodeBaseMs: 8,
  decodeSlopeMs: 0.25,
  length: {medianTokens: 200, sigma: 0.8},
  cacheTokens: 65_536,
  cacheEventLagMs: 500,
  cacheEventGapEvery: 10,
  streamKeepMs: 30_000,
  loadLagMs: 500,
  swapMs: 300,
  fetchMs: 1000,
  checksFencing: true,
  restartAfterMs: 5000,
  restartVersion: 'last',
  maxRuns: 50_000,
};
