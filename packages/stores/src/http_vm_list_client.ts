/** The VM list over HTTP, as docs/PROTOCOLS.md has it. */

import {VmList, vmListSchema} from '@radishyoke/shared/endpoint';
import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import type {CallOptions} from './call_options.js';
import {JsonCaller} from './http_json.js';
import {VmListClient} from './vm_list_client.js';

export class HttpVmListClient extends VmListClient {
  private readonly caller: JsonCaller;

  /** `address` is `ip:port`. */
  constructor(address: string) {
    super();
    this.caller = new JsonCaller(address);
  }

  async fetch(options: CallOptions): Promise<Result<VmList>> {
    const answer = await this.caller.call(
      {method: 'GET', path: '/vms'},
      options,
    );
    if (answer.kind === 'failed') return fail(describe(answer.detail));
    if (answer.status !== 200)
      return fail(describe(`the VM list answered ${answer.status}`));
    return decodeVmList(answer.body);
  }

  close(): Promise<void> {
    return this.caller.close();
  }
}

/** Decodes the VM list's body. */
export function decodeVmList(body: unknown): Result<VmList> {
  const list = vmListSchema.safeParse(body);
  if (!list.success) return fail(describe('the VM list answered nonsense'));
  return succeed(list.data as unknown as VmList);
}

function describe(detail: string): RadishyokeError {
  return createError('vm_list_unavailable', detail);
}
