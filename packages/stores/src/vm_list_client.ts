/** The platform's list of VMs and endpoints as the service uses it. */

import type {VmList} from '@radishyoke/shared/endpoint';
import type {Result} from '@radishyoke/shared/result';
import type {CallOptions} from './call_options.js';

export abstract class VmListClient {
  /** The list as the platform now shows it; it lags the truth. */
  abstract fetch(options: CallOptions): Promise<Result<VmList>>;

  /** Breaks calls in flight and closes all connections. */
  abstract close(): Promise<void>;
}
