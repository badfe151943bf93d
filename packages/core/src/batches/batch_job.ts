/** Defines jobs, the items of open batches, and their runs on engines. */

import {type AttemptIds, NO_ATTEMPTS} from './attempt_ids.js';
import type {Batch, BatchItem, ItemResult} from './batch_record.js';
import type {EarlierFailures} from './earlier_batches.js';
import {findUnsendableField} from './sendable_item.js';
import {Transcript, type VersionRequirement} from './transcript.js';

/** Assumed gap between events while no engine has a reading, ms. */
export const ASSUMED_GAP_MS = 40;

export type JobState =
  | 'waiting'
  | 'running'
  /** Its output is complete and its score is pending. */
  | 'unscored'
  /** It has a result, which is in the log or being appended. */
  | 'finished';

/** One item of one batch. */
export interface Job {
  readonly batch: OpenBatch;
  readonly item: BatchItem;
  /**
   * The field of `item` that no HTTP request can carry, if there is one. Such an
   * item never runs; it is given up when its retention is over.
   */
  readonly unsendableField: string | undefined;
  /**
   * Output so far; later batches that request the item again continue from it.
   */
  readonly transcript: Transcript;
  state: JobState;
  /**
   * Number of `transcript` events that are stored in the log for this batch.
   */
  recordedEvents: number;
  /**
   * Number of output events that the item is known to have at least, from output
   * that the batch can not use.
   */
  earlierEvents: number;
  /** Set once the item has a result whose output this VM has. */
  result: ItemResult | undefined;
  /** Runs that an endpoint answered as failed. */
  failedRuns: AttemptIds;
  /** Failures of the item in earlier batches. */
  readonly earlierFailures: EarlierFailures;
  /** Reward calls that an endpoint answered as failed. */
  failedRewardCalls: AttemptIds;
  /** Consecutive connections that broke before the first event of a run. */
  earlyBreaks: number;
  /** Steady ms before which no further run starts. */
  notBeforeMs: number;
}

/** Requirements of the batch's route; times are steady ms. */
export interface OpenBatchTerms extends VersionRequirement {
  readonly service: string;
  readonly attempts: number;
  readonly dueAtMs: number;
  readonly giveUpAtMs: number;
  /** Priority of the account, or of the route; 0 is the most urgent. */
  readonly priority?: number;
}

/** A batch whose items are still being run. */
export interface OpenBatch {
  readonly batch: Batch;
  /**
   * Undefined if no route allows the batch any more, or if its retention ended
   * before the configuration that accepted it was read.
   */
  terms: OpenBatchTerms | undefined;
  /**
   * Steady ms until which the route that accepted the batch promised to keep its
   * items; Infinity if that is unknown.
   */
  readonly promisedUntilMs: number;
  readonly jobs: ReadonlyMap<string, Job>;
  /**
   * Groups that an earlier batch left incomplete; the trainer needs all of
   * them.
   */
  readonly carriedGroups: ReadonlySet<string>;
  /** Groups chosen by the last decision to be finished first. */
  chosenGroups: ReadonlySet<string>;
}

/** One run of an item on an engine. */
export interface Run {
  /** Unique across all VMs. */
  readonly id: string;
  readonly job: Job;
  readonly engineId: string;
  readonly startedMs: number;
  lastEventMs: number;
  events: number;
  /**
   * Set when the scheduler stops the run; its end then does not count for or against
   * the engine.
   */
  isStopping: boolean;
}

const NO_FAILURES: EarlierFailures = {failures: 0, rejections: 0};

/** Creates a job for `item` that continues from `transcript`. */
export function createJob(
  batch: OpenBatch,
  item: BatchItem,
  transcript = new Transcript(),
  earlierFailures: EarlierFailures = NO_FAILURES,
): Job {
  return {
    batch,
    item,
    unsendableField: findUnsendableField(item),
    transcript,
    state: 'waiting',
    recordedEvents: 0,
    earlierEvents: 0,
    result: undefined,
    failedRuns: NO_ATTEMPTS,
    earlierFailures,
    failedRewardCalls: NO_ATTEMPTS,
    earlyBreaks: 0,
    notBeforeMs: -Infinity,
  };
}

/** Estimates how many more output tokens `job` will generate. */
export function estimateRemaining(job: Job, tokensPerEvent: number): number {
  const {expectedOutputTokens, maxOutputTokens} = job.item;
  const generated = job.transcript.events.length * tokensPerEvent;
  // Output longer than expected belongs to the tail of the length distribution,
  // where on average as much again is still to come; the maximum bounds it.
  const expected =
    generated > expectedOutputTokens ? generated * 2 : expectedOutputTokens;
  const total = Math.max(expected, job.earlierEvents * tokensPerEvent);
  return Math.max(Math.min(total, maxOutputTokens) - generated, tokensPerEvent);
}

/** Estimates the memory that `job` will occupy when it ends, tokens. */
export function estimateFootprint(job: Job, tokensPerEvent: number): number {
  const generated = job.transcript.events.length * tokensPerEvent;
  return (
    job.item.promptTokens + generated + estimateRemaining(job, tokensPerEvent)
  );
}
