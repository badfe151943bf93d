/** Decides which work items are refused on arrival, and when callers may retry. */

import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointGroup} from './endpoint_directory.js';
import type {WorkClass} from './scheduler.js';
import type {WorkState} from './work_state.js';

/** Maximum queued work items per tenant and group if the rule sets none. */
const MAX_QUEUED: Readonly<Record<WorkClass, number>> = {
  interactive: 2_000,
  rollout: 20_000,
};
/** Share of the expected wait that must fit before the deadline. */
const REQUIRED_WAIT_SHARE: Readonly<Record<WorkClass, number>> = {
  interactive: 1,
  rollout: 0.5,
};
/** Default retry delay suggested to the caller, ms. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/**
 * Returns the error if the work item must be refused without running it.
 * `isStepOpen` is whether samples of its step were admitted before.
 */
export function findRefusal(
  work: WorkState,
  group: EndpointGroup,
  isStepOpen: boolean,
  nowMs: number,
): RadishyokeError | undefined {
  if (group.pool.endpoints.size === 0) {
    return createError('no_endpoint', undefined, {
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    });
  }
  if (work.item.deadlineAtMs <= nowMs) {
    return createError('deadline_passed', undefined, {ran: 'no'});
  }
  return findQueueRefusal(work, group, isStepOpen, nowMs);
}

function findQueueRefusal(
  work: WorkState,
  group: EndpointGroup,
  isStepOpen: boolean,
  nowMs: number,
): RadishyokeError | undefined {
  const {workClass, tenant, deadlineAtMs} = work.item;
  const queue = group.queues[workClass];
  if (queue.size === 0) return undefined;
  const waitMs = group.drainRates[workClass].estimateMs(
    queue.measureCostAhead(tenant),
  );
  const queued = queue.countOf(tenant);
  const isFull = queued >= (work.item.maxQueue ?? MAX_QUEUED[workClass]);
  // The queue limit applies only to the first sample of a step. A step larger than
  // the limit would otherwise lose some samples and run the others for nothing.
  if (isFull && !isStepOpen) {
    // There is room again when the next queued item is started.
    const perItemMs = waitMs === undefined ? undefined : waitMs / queued;
    return createError('overloaded', undefined, {
      retryAfterMs: Math.ceil(perItemMs ?? DEFAULT_RETRY_AFTER_MS),
    });
  }
  if (waitMs === undefined) return undefined;
  const remainingMs = deadlineAtMs - nowMs;
  if (waitMs * REQUIRED_WAIT_SHARE[workClass] <= remainingMs) return undefined;
  return createError('deadline_unreachable', undefined, {
    retryAfterMs: Math.ceil(waitMs - remainingMs),
  });
}
