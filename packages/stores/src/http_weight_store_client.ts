/** HTTP client of the weight store; docs/PROTOCOLS.md describes the protocol. */

import {createError} from '@radishyoke/shared/error_kind';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {z} from 'zod';
import type {CallOptions} from './call_options.js';
import {JsonHttpClient} from './http_json.js';
import {WeightStoreClient, WeightVersionInfo} from './weight_store_client.js';

const versionsSchema = z.object({
  versions: z.array(
    z.object({
      version: z.number().int().min(0),
      bytes: z.number().int().min(0),
    }),
  ),
});

export class HttpWeightStoreClient extends WeightStoreClient {
  private readonly http: JsonHttpClient;

  /** `address` is `ip:port`. */
  constructor(address: string) {
    super();
    this.http = new JsonHttpClient(address);
  }

  async listVersions(
    model: string,
    options: CallOptions,
  ): Promise<Result<readonly WeightVersionInfo[]>> {
    const path = `/models/${encodeURIComponent(model)}/versions`;
    const answer = await this.http.call({method: 'GET', path}, options);
    if (answer.kind === 'failed')
      return fail(createError('store_unavailable', answer.detail));
    if (answer.status === 200) return decodeVersions(answer.body);
    const detail = `the weight store answered ${answer.status}`;
    const {retryAfterMs} = answer;
    return fail(createError('store_unavailable', detail, {retryAfterMs}));
  }

  close(): Promise<void> {
    return this.http.close();
  }
}

/** Decodes the store's list of versions; refuses one that is not ascending. */
export function decodeVersions(
  body: unknown,
): Result<readonly WeightVersionInfo[]> {
  const list = versionsSchema.safeParse(body);
  const isAscending =
    list.success &&
    list.data.versions.every(
      (v, i, all) => i === 0 || all[i - 1].version < v.version,
    );
  if (!list.success || !isAscending)
    return fail(
      createError(
        'store_unavailable',
        'the weight store sent an invalid response',
      ),
    );
  return succeed(list.data.versions);
}
