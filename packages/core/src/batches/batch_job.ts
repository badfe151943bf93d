/** Items of open batches as work: what is to be run, and what is running. */

import type {Batch, BatchItem, ItemResult} from './batch_record.js';
import type {EarlierFailures} from './earlier_batches.js';
import {Transcript, type VersionRequirement} from './transcript.js';

export type JobState =
  | 'waiting'
  | 'running'
  /** Its text is whole and waits for its score. */
  | 'unscored'
  /** It has a result that is on its way to the log, or stands there. */
  | 'finished';

/** One item of one batch. */
export interface Job {
  readonly batch: OpenBatch;
  readonly item: BatchItem;
  /** Output so far; shared with later batches that ask for the item again. */
  readonly transcript: Transcript;
  state: JobState;
  /** Events of `transcript` that the log keeps for this batch. */
  recordedEvents: number;
  /** Set once the item has a result, where its text is known here. */
  result: ItemResult | undefined;
  /** Attempts that an endpoint answered as failed. */
  failures: number;
  /** Those in batches before this one. */
  readonly earlierFailures: EarlierFailures;
  /** Reward calls that an endpoint answered as failed. */
  rewardFailures: number;
  /** Connections that broke before the first event of a run, one after another. */
  earlyBreaks: number;
  /** Steady ms before which it is not started again. */
  notBeforeMs: number;
}

/** What the route of a batch asks for, with times of the steady clock. */
export interface OpenBatchTerms extends VersionRequirement {
  readonly service: string;
  readonly attempts: number;
  readonly dueAtMs: number;
  readonly giveUpAtMs: number;
}

/** A batch whose items are still run. */
export interface OpenBatch {
  readonly batch: Batch;
  /** Undefined where no rule allows the batch any more. */
  terms: OpenBatchTerms | undefined;
  readonly jobs: ReadonlyMap<string, Job>;
  /** Groups that an earlier batch left incomplete; its trainer needs them all. */
  readonly carriedGroups: ReadonlySet<string>;
  /** Groups that were last chosen to be finished first. */
  chosenGroups: ReadonlySet<string>;
}

/** One item on one endpoint. */
export interface Run {
  /** Unique over all VMs. */
  readonly id: string;
  readonly job: Job;
  readonly engineId: string;
  readonly startedMs: number;
  lastEventMs: number;
  events: number;
  /** Set when the scheduler wants it ended; its end is then no news of the endpoint. */
  isStopping: boolean;
}

const NO_FAILURES: EarlierFailures = {failures: 0, rejections: 0};

/** Builds a job for `item` that goes on from `transcript`. */
export function createJob(
  batch: OpenBatch,
  item: BatchItem,
  transcript = new Transcript(),
  earlierFailures: EarlierFailures = NO_FAILURES,
): Job {
  return {
    batch,
    item,
    transcript,
    state: 'waiting',
    recordedEvents: 0,
    result: undefined,
    failures: 0,
    earlierFailures: earlierFailures,
    rewardFailures: 0,
    earlyBreaks: 0,
    notBeforeMs: -Infinity,
  };
}

/** Output tokens that `job` is still expected to make. */
export function estimateRemaining(job: Job, tokensPerEvent: number): number {
  const {expectedOutputTokens, maxOutputTokens} = job.item;
  const generated = job.transcript.events.length * tokensPerEvent;
  // A text that has outgrown the guess is in the tail of lengths, where as much
  // again is to come as is there already; never more than the stated bound.
  const total =
    generated > expectedOutputTokens ? generated * 2 : expectedOutputTokens;
  return Math.max(Math.min(total, maxOutputTokens) - generated, tokensPerEvent);
}

/** Memory that `job` is expected to take at its end, tokens. */
export function estimateFootprint(job: Job, tokensPerEvent: number): number {
  const generated = job.transcript.events.length * tokensPerEvent;
  return (
    job.item.promptTokens + generated + estimateRemaining(job, tokensPerEvent)
  );
}
