/** Small judgements on jobs and runs that the batch scheduler is made of. */

import type {Job, OpenBatch, Run} from './batch_job.js';
import type {Placement} from './placement.js';
import type {ListReason, StopReason} from './schedule_action.js';
import {Transcript} from './transcript.js';

/** All runs of an engine without an event for this long: it is silent, ms. Well over the gaps of a slow engine (4 times 40 ms) and the start of a full batch. */
const SILENCE_MS = 800;
/** Runs that must be silent together; one alone may be read in behind a long prompt. */
const MIN_SILENT_RUNS = 2;

/** Drops the text of `job`; it begins anew. */
export function clearText(job: Job): void {
  job.transcript.clear();
  job.recordedEvents = 0;
}

/** The longer of what the log keeps and what an earlier batch made. */
export function chooseText(
  stored: Transcript,
  earlier: Job | undefined,
): Transcript {
  if (!earlier) return stored;
  const {transcript} = earlier;
  return transcript.events.length > stored.events.length ? transcript : stored;
}

/** A copy of `source` that grows by itself. */
export function copyText(source: Transcript): Transcript {
  const copy = new Transcript();
  for (const event of source.events) copy.append(event);
  if (source.isComplete) copy.finish();
  return copy;
}

/** Why `run` should not stay where it is, if it should not. */
export function findMoveReason(
  run: Run,
  placement: Placement,
): StopReason | undefined {
  if (placement.slow.has(run.engineId)) return 'engine_slow';
  const engine = placement.getEngine(run.engineId);
  if (!engine) return 'engine_draining';
  const {model} = run.job.batch.batch;
  // A load would stop the run for about a second; to go on elsewhere costs it
  // the reading of its text, some 25 ms for the longest.
  return engine.loading.has(model) ? 'engine_loading' : undefined;
}

/** Why the items of `open` without a result are given up, if they are. */
export function findGiveUpReason(
  open: OpenBatch,
  nowMs: number,
): ListReason | undefined {
  if (!open.terms) return 'route_removed';
  return nowMs > open.terms.giveUpAtMs ? 'retention_over' : undefined;
}

/** Whether an engine that runs `runs` has fallen silent. */
export function isAllSilent(runs: readonly Run[], nowMs: number): boolean {
  if (runs.length < MIN_SILENT_RUNS) return false;
  return runs.every(({lastEventMs}) => nowMs - lastEventMs > SILENCE_MS);
}

/** Orders by the first figure that differs, lower first. */
export function compareRanks(
  a: readonly number[],
  b: readonly number[],
): number {
  for (let i = 0; i < a.length; i++) {
    if (a[i] !== b[i]) return a[i] - b[i];
  }
  return 0;
}
