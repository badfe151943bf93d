/** Fingerprints of what goes to endpoints: callers' requests, items of batches and reward calls. */

import type {Caller} from '@radishyoke/core/accounts/client_account';
import type {Job} from '@radishyoke/core/batches/batch_job';
import type {RewardRequest} from '@radishyoke/core/batches/batch_record';
import {fingerprintRequest} from '@radishyoke/core/crashes/request_fingerprint';
import type {ForwardRequest} from './forward_request.js';

/** Items and reward calls are sent with this method. */
const BATCH_METHOD = 'POST';

export function fingerprintForward(req: ForwardRequest): string {
  const {method, path, headers, body, caller} = req;
  const host = headers.host ?? '';
  return fingerprintRequest({method, host, path, body, ...nameOwner(caller)});
}

export function fingerprintItem({item, batch}: Job): string {
  const {host, account} = batch.batch;
  return fingerprintRequest({
    method: BATCH_METHOD,
    host,
    path: item.path,
    body: item.body,
    ...(account === undefined ? {} : {account}),
  });
}

export function fingerprintReward({batch}: Job, reward: RewardRequest): string {
  const {account} = batch.batch;
  return fingerprintRequest({
    method: BATCH_METHOD,
    host: reward.host,
    path: reward.path,
    body: reward.body,
    ...(account === undefined ? {} : {account}),
  });
}

function nameOwner(caller: Caller): {readonly account?: string} {
  return caller.kind === 'account' ? {account: caller.name} : {};
}
