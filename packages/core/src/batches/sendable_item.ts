/**
 * Checks that a stored item can be sent. Submissions are checked before they are
 * stored, but the log may hold batches of builds that did not check them.
 */

import {
  isHeaderName,
  isHeaderValue,
  isHost,
  isRequestId,
  isRequestPath,
} from '@radishyoke/shared/http_syntax';
import type {BatchItem, RewardRequest} from './batch_record.js';

/** Returns the field of `item` that no HTTP request can carry, if there is one. */
export function findUnsendableField({
  id,
  path,
  headers,
  reward,
}: BatchItem): string | undefined {
  if (!isRequestId(id)) return 'id';
  if (!isRequestPath(path)) return 'path';
  for (const [name, value] of Object.entries(headers)) {
    if (!isHeaderName(name) || !isHeaderValue(value)) return 'headers';
  }
  return reward && findUnsendableRewardField(reward);
}

function findUnsendableRewardField({
  id,
  host,
  path,
}: RewardRequest): string | undefined {
  if (!isRequestId(id)) return 'reward.id';
  if (!isHost(host)) return 'reward.host';
  return isRequestPath(path) ? undefined : 'reward.path';
}
