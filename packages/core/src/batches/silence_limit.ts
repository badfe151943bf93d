/**
 * Defines how long a run may be silent, by its own expected event gap. The limit
 * is shorter than the engine-wide ones, which allow for the slowest engine and a
 * load of weights.
 */

import type {Run} from './batch_job.js';

/**
 * A run is silent after this many of its expected gaps; fewer occur by chance
 * when the engine reads long prompts or has just become slow.
 */
const SILENT_GAPS = 6;
/** Minimum silence, ms: delays of the network and of this VM's event loop. */
const MIN_SILENCE_MS = 300;
/**
 * Silence allowed before the first event of a run, ms: the engine is connected
 * to, reads the prompt and the output so far, and finishes its current batch.
 */
const FIRST_EVENT_MS = 700;
/** A gap that differs from the expected one by more is a pause or a burst. */
const USUAL_FACTOR = 4;

/** Silence after which `run` with an expected `gapMs` counts as silent, ms. */
export function getSilenceLimitMs(run: Run, gapMs: number): number {
  const minMs = run.events === 0 ? FIRST_EVENT_MS : MIN_SILENCE_MS;
  return Math.max(gapMs * SILENT_GAPS, minMs);
}

/** Whether a healthy or a slow engine generates with `gapMs` between events. */
export function isUsualGap(gapMs: number, expectedMs: number): boolean {
  return gapMs > expectedMs / USUAL_FACTOR && gapMs < expectedMs * USUAL_FACTOR;
}
