/** The operations on the platform's list of VMs and endpoints that the service uses. */

import type {VmList} from '@radishyoke/shared/endpoint';
import type {Result} from '@radishyoke/shared/result';
import type {CallOptions} from './call_options.js';

export abstract class VmListClient {
  /** Fetches the current list, which may lag behind the actual state. */
  abstract fetch(options: CallOptions): Promise<Result<VmList>>;

  /** Aborts calls in flight and closes all connections. */
  abstract close(): Promise<void>;
}
