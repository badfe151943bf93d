/** Fingerprints of everything sent to endpoints: forwarded requests, batch items and reward calls. */

import type {Caller} from '@radishyoke/core/accounts/client_account';
import type {Job} from '@radishyoke/core/batches/batch_job';
import type {
  BatchHeader,
  RewardRequest,
} from '@radishyoke/core/batches/batch_record';
import {toBatchFingerprint} from '@radishyoke/core/crashes/batch_work';
import {
  fingerprintRequest,
  type RequestContent,
} from '@radishyoke/core/crashes/request_fingerprint';
import type {ForwardRequest} from './forward_request.js';

/** HTTP method of batch items and reward calls. */
const BATCH_METHOD = 'POST';

export function fingerprintForwardRequest(req: ForwardRequest): string {
  const {method, path, headers, body, caller} = req;
  const host = headers.host ?? '';
  return fingerprintRequest({method, host, path, body, ...toOwner(caller)});
}

export function fingerprintItem({item, batch}: Job): string {
  const {host} = batch.batch;
  return fingerprintBatchCall(batch.batch, {
    host,
    path: item.path,
    body: item.body,
  });
}

export function fingerprintReward({batch}: Job, reward: RewardRequest): string {
  return fingerprintBatchCall(batch.batch, reward);
}

/** Fingerprints a call that is sent on behalf of the batch's client account. */
function fingerprintBatchCall(
  {account}: BatchHeader,
  {host, path, body}: Pick<RequestContent, 'host' | 'path' | 'body'>,
): string {
  const owner = account === undefined ? {} : {account};
  const content = {method: BATCH_METHOD, host, path, body, ...owner};
  return toBatchFingerprint(fingerprintRequest(content));
}

function toOwner(caller: Caller): {readonly account?: string} {
  return caller.kind === 'account' ? {account: caller.name} : {};
}
