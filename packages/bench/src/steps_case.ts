/** Deployments, fault cases and workload of the `steps` experiment. */

/** Size and timing of one deployment. */
export interface Deployment {
  readonly name: string;
  readonly dataCentres: readonly string[];
  readonly oneWayMs: number;
  readonly engines: number;
  readonly appWorkers: number;
  readonly weightIntervalMs: number;
  readonly maxStaleness: number;
}

export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'kodkutu',
    dataCentres: ['gebze-a', 'gebze-b', 'kartal'],
    oneWayMs: 0.5,
    engines: 6,
    appWorkers: 3,
    weightIntervalMs: 120_000,
    maxStaleness: 2,
  },
  {
    name: 'castellanos',
    dataCentres: ['paysandu', 'salto', 'mercedes', 'fray-bentos'],
    oneWayMs: 1.5,
    engines: 6,
    appWorkers: 4,
    weightIntervalMs: 180_000,
    maxStaleness: 1,
  },
];

/** Faults of one case; a property that is absent means no such fault. */
export interface FaultCase {
  readonly name: string;
  /** Factor by which engine 0 is slower. */
  readonly slowFactor?: number;
  /** Interval at which a random engine crashes. */
  readonly crashEveryMs?: number;
  /** Whether engine 1 fails to load new weights. */
  readonly isSwapFailing?: boolean;
  /** Whether one sample of each trainer's second step crashes the engine it runs on. */
  readonly hasPoisonSample?: boolean;
  /** Fraction of attempts whose connection stops carrying data but stays open. */
  readonly silentFraction?: number;
  /** Age of the load figures that engines report. */
  readonly loadLagMs?: number;
  /** Samples that another client account sends every minute. */
  readonly floodSamples?: number;
}

export const FAULT_CASES: readonly FaultCase[] = [
  {name: 'calm'},
  {name: 'slow_engine', slowFactor: 4},
  {name: 'crash_a_minute', crashEveryMs: 60_000},
  {name: 'swap_fails', isSwapFailing: true},
  {name: 'poison', hasPoisonSample: true},
  {name: 'silent_connections', silentFraction: 0.02},
  {name: 'late_reports', loadLagMs: 5000},
  {name: 'flood', floodSamples: 400},
];

/**
 * Load from trainers and apps. Apps send plain requests and hints, which are short
 * generations. The random output lengths of samples have a long tail.
 */
export const WORKLOAD = {
  trainers: 3,
  stepsPerTrainer: 4,
  groupsPerStep: 12,
  samplesPerGroup: 8,
  /** The groups of a step cycle through these limits. */
  groupMaxTokens: [3000, 6000, 12_000],
  promptTokens: 600,
  trainMs: 30_000,
  staggerMs: 11_000,
  stepTimeoutMs: 900_000,
  maxAttempts: 6,
  length: {medianTokens: 1500, sigma: 0.8},
  appRequestsPerSecond: 5,
  appServiceMs: {median: 60, sigma: 0.5},
  appParallel: 8,
  hintsPerSecond: 0.5,
  hintTokens: 48,
} as const;
