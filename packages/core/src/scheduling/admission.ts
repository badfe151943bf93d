/** Which works are refused at once, with when to come back. */

import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointGroup} from './endpoint_directory.js';
import type {WorkClass} from './scheduler.js';
import type {WorkState} from './work_state.js';

/** Works of one tenant that may wait in one group where the rule sets no bound. */
const MAX_QUEUED: Readonly<Record<WorkClass, number>> = {
  interactive: 2_000,
  rollout: 20_000,
};
/** Part of the expected wait that has to fit before the deadline. */
const REQUIRED_WAIT_SHARE: Readonly<Record<WorkClass, number>> = {
  interactive: 1,
  rollout: 0.5,
};
/** When to come back where nothing was measured. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/**
 * Why the work is refused without being run, if it is. `isStepOpen` tells that
 * samples of the work's step were taken before.
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
  // A step that is larger than the bound would lose the samples past it while
  // the others are run for nothing; it is taken whole or not at all.
  if (isFull && !isStepOpen) {
    // Room for one more comes with the next one that leaves.
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
