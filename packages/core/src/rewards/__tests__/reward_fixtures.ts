/** Fixtures of items with reward requests, and of endpoints that score them. */

import type {Job} from '../../batches/batch_job.js';
import {
  createBatch,
  createEngine,
  createEvent,
  createItem,
  createSchedule,
  listStarts,
} from '../../batches/__tests__/batch_fixtures.js';
import type {EndpointCandidate} from '../../routing/endpoint_choice.js';
import type {RewardAction, RewardCall} from '../reward_scheduler.js';

/** Failed reward calls after which an item is given up. */
const REWARD_ATTEMPTS = 2;

export function createRewardItem(id: string) {
  const reward = {
    id: `r-${id}`,
    host: 'h',
    path: '/score/',
    body: new Uint8Array([1]),
  };
  return createItem(id, {reward});
}

/**
 * Creates a scheduler whose items are running: one batch, with groups named by
 * the first two letters.
 */
export function createRewardSchedule(
  itemIds: readonly string[],
  groupsWanted = new Set(itemIds.map(id => id.slice(0, 2))).size,
) {
  const engine = createEngine('e0', {slots: itemIds.length});
  const {scheduler, open, log} = createSchedule([engine], {
    findRewardAttempts: () => REWARD_ATTEMPTS,
  });
  const items = itemIds.map(createRewardItem);
  open(createBatch('b0', [], {items, groupsWanted}));
  const runs = listStarts(scheduler.decide(0));
  return {
    scheduler,
    log,
    /** Completes the output of an item. */
    finish(id: string): void {
      const run = runs.find(({job}) => job.item.id === id)!;
      scheduler.onEvent(run, createEvent(1, run.id), 10);
      scheduler.onRunEnd(run, 'finished', 20);
    },
  };
}

/** Returns jobs that wait for their scores. */
export function createUnscored(itemIds: readonly string[]): readonly Job[] {
  const {scheduler, finish} = createRewardSchedule(itemIds);
  for (const id of itemIds) finish(id);
  return scheduler.listUnscored();
}

export function createCandidate(
  id: string,
  extra: Partial<EndpointCandidate> = {},
): EndpointCandidate {
  return {
    id,
    slots: 6,
    dataCentre: 'dc',
    inFlight: 0,
    reportedLoad: 0,
    failures: 0,
    failedAtMs: -Infinity,
    ...extra,
  };
}

export function listCalls(
  actions: readonly RewardAction[],
): readonly RewardCall[] {
  return actions.flatMap(action =>
    action.kind === 'call' ? [action.call] : [],
  );
}

export function listCancelled(
  actions: readonly RewardAction[],
): readonly RewardCall[] {
  return actions.flatMap(action =>
    action.kind === 'cancel' ? [action.call] : [],
  );
}
