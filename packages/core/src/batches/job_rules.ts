/** Decides on single jobs and runs for the batch scheduler. */

import type {Job, OpenBatch, OpenBatchTerms, Run} from './batch_job.js';
import type {Placement} from './placement.js';
import type {ListReason, StopReason} from './schedule_action.js';
import {Transcript} from './transcript.js';

/**
 * An engine is silent if none of its runs had an event for this long, ms. This
 * is well above the event gaps of a slow engine (4 times 40 ms) and the start
 * of a full batch.
 */
const SILENCE_MS = 800;
/**
 * Number of runs that must be silent together; a single one may be waiting
 * while a long prompt is read.
 */
const MIN_SILENT_RUNS = 2;

/**
 * Number of batches in which an item may use up its attempts; batches that
 * request it afterwards give it up at once.
 */
const MAX_FAILED_BATCHES = 3;

/** Drops the output of `job`, which starts over. */
export function clearTranscript(job: Job): void {
  job.transcript.clear();
  job.recordedEvents = 0;
}

/**
 * Drops output that the batch can not use, as its weight versions are too old, but
 * keeps its length. Counted as output so far, it would make a long item look
 * almost done, and the item would start last.
 */
export function dropUnusableOutput(job: Job): void {
  const {terms} = job.batch;
  if (!terms || job.transcript.satisfies(terms)) return;
  recordEarlierEvents(job, job.transcript.events.length);
  clearTranscript(job);
}

/** Records that the item is known to have at least `events` output events. */
export function recordEarlierEvents(job: Job, events: number): void {
  job.earlierEvents = Math.max(job.earlierEvents, events);
}

/**
 * Returns the longer of the output in the log and that of an earlier batch;
 * output that does not satisfy `terms` only if the other does not either.
 */
export function chooseTranscript(
  stored: Transcript,
  earlier: Job | undefined,
  terms: OpenBatchTerms | undefined,
): Transcript {
  if (!earlier) return stored;
  const {transcript} = earlier;
  const isLonger = transcript.events.length > stored.events.length;
  const isUsable = !terms || transcript.satisfies(terms);
  const isStoredUsable =
    stored.events.length > 0 && (!terms || stored.satisfies(terms));
  return isLonger && (isUsable || !isStoredUsable) ? transcript : stored;
}

/** Returns a copy of `source` that grows independently. */
export function copyTranscript(source: Transcript): Transcript {
  const copy = new Transcript();
  for (const event of source.events) copy.append(event);
  if (source.isComplete) copy.finish();
  return copy;
}

/** Returns why `run` should move to another engine, if it should. */
export function findMoveReason(
  run: Run,
  placement: Placement,
): StopReason | undefined {
  if (placement.slow.has(run.engineId)) return 'engine_slow';
  const engine = placement.getEngine(run.engineId);
  if (!engine) return 'engine_draining';
  const {model} = run.job.batch.batch;
  // A load would pause the run for about a second; resuming elsewhere costs
  // reading its output again, about 25 ms for the longest.
  return engine.loading.has(model) ? 'engine_loading' : undefined;
}

/** Returns why all unfinished items of `open` are to be given up, if they are. */
export function findBatchGiveUpReason(
  open: OpenBatch,
  nowMs: number,
): ListReason | undefined {
  const {terms, promisedUntilMs} = open;
  const giveUpAtMs = terms?.giveUpAtMs ?? promisedUntilMs;
  if (nowMs > giveUpAtMs) return 'retention_over';
  return terms ? undefined : 'route_removed';
}

/** Whether `job` has failed as often as its route allows. */
export function isUsedUp({batch, failedRuns}: Job): boolean {
  return batch.terms !== undefined && failedRuns.length >= batch.terms.attempts;
}

/** Whether `job` failed in so many batches that running it again is no use. */
export function isHopeless({batch, failedRuns, earlierFailures}: Job): boolean {
  if (!batch.terms) return false;
  const maxFailures = batch.terms.attempts * MAX_FAILED_BATCHES;
  return (
    earlierFailures.rejections >= MAX_FAILED_BATCHES ||
    earlierFailures.failures + failedRuns.length >= maxFailures
  );
}

/**
 * Whether an engine with these runs has become silent. One run suffices if
 * another one has just left the engine early.
 */
export function isAllSilent(
  runs: readonly Run[],
  nowMs: number,
  wasLeft = false,
): boolean {
  if (runs.length < MIN_SILENT_RUNS && !wasLeft) return false;
  return runs.every(({lastEventMs}) => nowMs - lastEventMs > SILENCE_MS);
}

/** Compares by the first element that differs, lower first. */
export function compareRanks(
  a: readonly number[],
  b: readonly number[],
): number {
  for (let i = 0; i < a.length; i++) {
    if (a[i] !== b[i]) return a[i] - b[i];
  }
  return 0;
}
