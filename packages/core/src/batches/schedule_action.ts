/**
 * Defines the ends of runs that the batch scheduler handles and the actions that
 * it requests from its owner.
 */

import type {AttemptIds} from './attempt_ids.js';
import type {ItemResult} from './batch_record.js';
import type {Run} from './batch_job.js';

/** How a run ended. */
export type RunEnd =
  /** The complete output was received. */
  | 'finished'
  /** The engine answered that the attempt failed. */
  | 'failed'
  /** The engine answered that the item can never be done. */
  | 'impossible'
  /** The engine did not run it because it was full or loading. */
  | 'refused'
  /**
   * The address belongs to another engine, or the engine has another version.
   */
  | 'misdirected'
  /** No connection could be made. */
  | 'unreachable'
  /** The connection broke, or the response was not valid output. */
  | 'broken'
  /** The engine sent bytes without end that are no output. */
  | 'flooded'
  /** Stopped by the scheduler. */
  | 'stopped';

/** An action for the owner of the scheduler. */
export type ScheduleAction =
  | {readonly kind: 'start'; readonly run: Run; readonly reason: StartReason}
  | {readonly kind: 'stop'; readonly run: Run; readonly reason: StopReason}
  | {
      readonly kind: 'list';
      readonly batchId: string;
      readonly result: ItemResult;
      readonly reason: ListReason;
      /** Runs and reward calls of the item in this batch that failed. */
      readonly failedAttempts: AttemptIds;
    }
  /** Items are to be given up as soon as the newest configuration is known. */
  | {readonly kind: 'confirm_config'};

export type StartReason = 'first' | 'resume';
export type StopReason =
  | 'ended'
  | 'stalled'
  | 'engine_silent'
  | 'engine_slow'
  | 'engine_outrun'
  | 'engine_draining'
  | 'engine_loading'
  | 'made_room'
  /** A run that decides when a step ends is silent; its engine may be healthy. */
  | 'run_stalled_early'
  /** It gave way to an item that would be late, as it could wait. */
  | 'had_slack'
  | 'stale_text'
  /** The configuration has no route for its batch any more. */
  | 'route_removed';
export type ListReason =
  | 'finished'
  | 'scored'
  | 'known_from_earlier_batch'
  | 'impossible'
  | 'attempts_used_up'
  | 'failed_in_earlier_batches'
  | 'reward_attempts_used_up'
  | 'retention_over'
  | 'route_removed';
