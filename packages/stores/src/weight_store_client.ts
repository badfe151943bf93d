/** The weight store as the service uses it; engines fetch the weights. */

import type {Result} from '@radishyoke/shared/result';
import type {CallOptions} from './call_options.js';

/** One published version of a model's weights. */
export interface WeightVersionInfo {
  readonly version: number;
  readonly bytes: number;
}

export abstract class WeightStoreClient {
  /** All versions of a model, ascending; none for a model that is unknown. */
  abstract listVersions(
    model: string,
    options: CallOptions,
  ): Promise<Result<readonly WeightVersionInfo[]>>;

  /** Breaks calls in flight and closes all connections. */
  abstract close(): Promise<void>;
}
