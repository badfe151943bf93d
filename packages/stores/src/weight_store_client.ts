/**
 * The operations on the platform's weight store that the service uses. Engines
 * fetch the weights themselves.
 */

import type {Result} from '@radishyoke/shared/result';
import type {CallOptions} from './call_options.js';

/** One published version of a model's weights. */
export interface WeightVersionInfo {
  readonly version: number;
  readonly bytes: number;
}

export abstract class WeightStoreClient {
  /** Returns all versions of a model in ascending order; none for an unknown model. */
  abstract listVersions(
    model: string,
    options: CallOptions,
  ): Promise<Result<readonly WeightVersionInfo[]>>;

  /** Aborts calls in flight and closes all connections. */
  abstract close(): Promise<void>;
}
