/** How the rollouts of each step came in over a run, as lines of one plot. */

import {z} from 'zod';

/** One step as its trainer saw it. Times are ms from the start of the run. */
export const stepTimelineSchema = z.object({
  tenant: z.string(),
  step: z.string(),
  openedMs: z.number(),
  /** When each rollout came, in order. */
  arrivalsMs: z.array(z.number()),
});

export type StepTimeline = z.infer<typeof stepTimelineSchema>;

/** Seconds of the run, then a line for each step. */
export interface TimelinePlot {
  readonly names: readonly string[];
  readonly data: ReadonlyArray<ReadonlyArray<number | null>>;
}

/** Points along the time axis. */
const intervalCount = 200;
const msPerSecond = 1000;

/** Counts what each step had received at each point; nothing outside the step. */
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
