/**
 * Chooses the run that is preempted for an item with little slack that finds no
 * free slot while capacity is contended.
 *
 * A preempted run keeps its output and resumes later. Its slack must be much
 * larger than that of the item, and no item is preempted again soon.
 */

import type {Job, Run} from './batch_job.js';
import {measureSlackMs, type OrderContext} from './job_order.js';

/** An item with less slack than this may take the slot of a run, ms. */
const TIGHT_SLACK_MS = 500;
/** Slack that the run must have beyond that of the item, ms. */
const MIN_DIFFERENCE_MS = 1000;
/** Slack that the run must have itself, so that it does not become late, ms. */
const MIN_RUN_SLACK_MS = 1000;
/** Pause before an item that gave way does so again, ms. */
const STOPPED_PAUSE_MS = 4000;
/** Pause before an item takes another slot, as its first is not free yet, ms. */
const TAKEN_PAUSE_MS = 250;

/** A run that may give way, with the slack of its item, ms. */
export interface DisplaceableRun {
  readonly run: Run;
  readonly slackMs: number;
}

/** Preemption of runs by one coordinator. */
export class SlotDisplacement {
  /** Steady ms at which items gave way. */
  private readonly stoppedMs = new WeakMap<Job, number>();
  /** Steady ms at which items were given the slot of a run. */
  private readonly takenMs = new WeakMap<Job, number>();

  /** Lists the runs that may give way, those with most slack first. */
  listCandidates(
    runs: readonly Run[],
    context: OrderContext,
  ): readonly DisplaceableRun[] {
    return runs
      .filter(
        ({job}) => !isWithin(this.stoppedMs, job, STOPPED_PAUSE_MS, context),
      )
      .map(run => ({run, slackMs: measureSlackMs(run.job, context)}))
      .filter(({slackMs}) => slackMs >= MIN_RUN_SLACK_MS)
      .sort((a, b) => b.slackMs - a.slackMs);
  }

  /** Returns the run of `candidates` that gives way to `job`, if any does. */
  pick(
    job: Job,
    candidates: readonly DisplaceableRun[],
    context: OrderContext,
    isUsable: (run: Run) => boolean,
  ): Run | undefined {
    const slackMs = measureSlackMs(job, context);
    if (slackMs >= TIGHT_SLACK_MS) return undefined;
    if (isWithin(this.takenMs, job, TAKEN_PAUSE_MS, context)) return undefined;
    const found = candidates.find(
      ({run, slackMs: runSlackMs}) =>
        !run.isStopping &&
        runSlackMs - slackMs >= MIN_DIFFERENCE_MS &&
        isUsable(run),
    );
    if (!found) return undefined;
    this.takenMs.set(job, context.nowMs);
    this.stoppedMs.set(found.run.job, context.nowMs);
    return found.run;
  }
}

function isWithin(
  times: WeakMap<Job, number>,
  job: Job,
  pauseMs: number,
  {nowMs}: OrderContext,
): boolean {
  return nowMs - (times.get(job) ?? -Infinity) < pauseMs;
}
