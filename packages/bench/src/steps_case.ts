/** The deployments and the cases that the experiment on steps goes through. */

/** Sizes of one deployment. */
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

/** What goes wrong in one case; absent parts don't. */
export interface FaultCase {
  readonly name: string;
  /** Engine 0 takes this many times as long. */
  readonly slowFactor?: number;
  /** An engine crashes this often. */
  readonly crashEveryMs?: number;
  /** Engine 1 never takes new weights. */
  readonly isSwapFailing?: boolean;
  /** One sample of each trainer's second step crashes engines. */
  readonly hasPoisonSample?: boolean;
  /** Part of the attempts whose connection goes silent. */
  readonly silentFraction?: number;
  readonly loadLagMs?: number;
  /** Another tenant sends this many samples every minute. */
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

/** What trainers ask for. Long tails come from the engines' length draw. */
export const WORKLOAD = {
  trainers: 3,
  stepsPerTrainer: 4,
  groupsPerStep: 12,
  samplesPerGroup: 8,
  /** Taken in turn by the groups of a step. */
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
