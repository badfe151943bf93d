/** HTTP client of the platform's VM list; docs/PROTOCOLS.md describes the protocol. */

import {VmList, vmListSchema} from '@radishyoke/shared/endpoint';
import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import type {CallOptions} from './call_options.js';
import {JsonHttpClient} from './http_json.js';
import {VmListClient} from './vm_list_client.js';

export class HttpVmListClient extends VmListClient {
  private readonly http: JsonHttpClient;

  /** `address` is `ip:port`. */
  constructor(address: string) {
    super();
    this.http = new JsonHttpClient(address);
  }

  async fetch(options: CallOptions): Promise<Result<VmList>> {
    const answer = await this.http.call({method: 'GET', path: '/vms'}, options);
    if (answer.kind === 'failed') return fail(createListError(answer.detail));
    if (answer.status !== 200)
      return fail(createListError(`the VM list answered ${answer.status}`));
    return decodeVmList(answer.body);
  }

  close(): Promise<void> {
    return this.http.close();
  }
}

/** Decodes the body of a VM list response. */
export function decodeVmList(body: unknown): Result<VmList> {
  const list = vmListSchema.safeParse(body);
  if (!list.success)
    return fail(createListError('the VM list sent an invalid response'));
  return succeed(list.data as unknown as VmList);
}

function createListError(detail: string): RadishyokeError {
  return createError('vm_list_unavailable', detail);
}
