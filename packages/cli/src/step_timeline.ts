/** Plots how many rollouts of each step had arrived over the time of a run. */

import {z} from 'zod';

/** One step as its trainer observed it. Times are in ms since the start of the run. */
export const stepTimelineSchema = z.object({
  tenant: z.string(),
  step: z.string(),
  openedMs: z.number(),
  /** Arrival time of each rollout, ascending. */
  arrivalsMs: z.array(z.number()),
});

export type StepTimeline = z.infer<typeof stepTimelineSchema>;

/** Data of one plot: `data` holds the x values in seconds, then one line per step. */
export interface TimelinePlot {
  readonly names: readonly string[];
  readonly data: ReadonlyArray<ReadonlyArray<number | null>>;
}

/** Number of intervals on the time axis. */
const intervalCount = 200;
const msPerSecond = 1000;

/** Counts the rollouts that each step had received at each time; null outside the step. */
export function createTimelinePlot(
  timelines: readonly StepTimeline[],
): TimelinePlot {
  const endMs = Math.max(
    1,
    ...timelines.map(({openedMs, arrivalsMs}) => arrivalsMs.at(-1) ?? openedMs),
  );
  const timesMs = Array.from(
    {length: intervalCount + 1},
    (_, i) => (endMs * i) / intervalCount,
  );
  const intervalMs = endMs / intervalCount;
  const lines = timelines.map(({openedMs, arrivalsMs}) => {
    const lastMs = arrivalsMs.at(-1) ?? openedMs;
    return timesMs.map(atMs => {
      if (atMs < openedMs - intervalMs || atMs > lastMs + intervalMs)
        return null;
      return arrivalsMs.filter(arrivedMs => arrivedMs <= atMs).length;
    });
  });
  return {
    names: timelines.map(({tenant, step}) => `${tenant} ${step}`),
    data: [timesMs.map(atMs => atMs / msPerSecond), ...lines],
  };
}
