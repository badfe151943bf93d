/** Defines the metrics. Their names are part of the interface to collectors. */

export interface HistogramSpec {
  readonly help: string;
  readonly unit: 'ms' | 'versions';
  /** Upper bounds of the buckets in the text exposition, in `unit`. */
  readonly bounds: readonly number[];
}

const MS_BOUNDS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000, 60_000,
  300_000, 1_200_000,
];
const VERSION_BOUNDS = [0, 1, 2, 3, 4, 6, 8, 12, 16, 32];

export const HISTOGRAMS = {
  queue_wait: {
    help: 'Time from acceptance to the start of the first attempt.',
    unit: 'ms',
    bounds: MS_BOUNDS,
  },
  time_to_first_token: {
    help: 'Time from acceptance to the first byte or token of the answer.',
    unit: 'ms',
    bounds: MS_BOUNDS,
  },
  duration: {
    help: 'Time from acceptance to the end of the answer.',
    unit: 'ms',
    bounds: MS_BOUNDS,
  },
  step_duration: {
    help: 'Time from the opening of a step to its end.',
    unit: 'ms',
    bounds: MS_BOUNDS,
  },
  staleness: {
    help: 'Weight versions by which a rollout lay behind its trainer when it was settled.',
    unit: 'versions',
    bounds: VERSION_BOUNDS,
  },
  trainer_idle: {
    help: 'Time of a step in which its trainer had taken all that was handed over, sampled.',
    unit: 'ms',
    bounds: MS_BOUNDS,
  },
} as const satisfies Readonly<Record<string, HistogramSpec>>;

export type HistogramName = keyof typeof HISTOGRAMS;

export interface CounterSpec {
  readonly help: string;
  /** Name of the label that separates the counts; empty if there is none. */
  readonly label: string;
}

export const COUNTERS = {
  decisions: {
    help: 'Requests and steps by the rule that decided.',
    label: 'rule',
  },
  retries: {help: 'Attempts beyond the first.', label: 'reason'},
  refusals: {help: 'Requests refused or failed, by error kind.', label: 'kind'},
  wasted_tokens: {
    help: 'Tokens generated whose output was of no use.',
    label: 'reason',
  },
} as const satisfies Readonly<Record<string, CounterSpec>>;

export type CounterName = keyof typeof COUNTERS;
