/** What an engine stand-in is like; every part can be set for an experiment. */

import type {LengthDistribution} from './output_length.js';
import type {PrefixCacheOptions} from './prefix_cache.js';

export interface EngineOptions extends PrefixCacheOptions {
  /** Version that the engine runs at first. */
  readonly weightVersion: number;
  /** Requests generated for at once; more wait, first in first out. */
  readonly maxBatch: number;
  /** Requests that wait at most; more are refused. */
  readonly maxWaiting: number;
  /** Tokens that each running request gets before the batch is formed anew. */
  readonly tokensPerChunk: number;
  /** Time to prefill one prompt token that is not cached. */
  readonly prefillMsPerToken: number;
  /** Prompt tokens prefilled at most before generation goes on. */
  readonly prefillTokensPerIteration: number;
  /** Time for one token of each running request, whatever their number. */
  readonly decodeBaseMs: number;
  /** What each running request adds to that. */
  readonly decodeSlopeMs: number;
  readonly length: LengthDistribution;
  /** How long a stream without readers is kept. */
  readonly streamKeepMs: number;
  readonly loadLagMs: number;
  /** Time that generation stands still while weights are swapped. */
  readonly swapMs: number;
  /** Time to fetch weights; `external` leaves the fetch to the owner. */
  readonly fetchMs: number | 'external';
  readonly checksFencing: boolean;
  /** Time from a crash until it takes requests again. */
  readonly restartAfterMs: number;
  /** The version it comes back with: the first, or the one it had. */
  readonly restartVersion: 'first' | 'last';
  /** Runs that the books keep at least. */
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
