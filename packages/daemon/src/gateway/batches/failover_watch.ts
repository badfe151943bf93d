/**
 * Detects, on a coordinator that is cut off from the log, that another VM has
 * taken over its items.
 *
 * Otherwise both VMs would run the same items, and the runs of the one that is
 * cut off would waste engine capacity, since it can not write results. If the log
 * is down for all VMs, nobody takes over and the runs should continue, so a
 * silent log alone does not indicate a failover. The engines report how many requests
 * they run, which shows the runs of another coordinator.
 */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EngineReport} from '../endpoints/endpoint_protocol.js';

/** Engines are queried once the log has been silent for this long, ms. Another VM claims the lease after 1.1 s and needs a moment to start runs. */
const QUERY_SILENCE_MS = 1300;
/** Engines queried per round. The runs of another coordinator are spread over many engines, so a few are enough. */
const MAX_QUERIED = 8;
/**
 * Foreign runs indicate a failover if there are at least this many, and they are
 * at least `FOREIGN_SHARE` of the own runs: a new coordinator runs all open items.
 * Fewer may be own runs that have ended, since reports lag by a few hundred ms.
 */
const MIN_FOREIGN_RUNS = 6;
const FOREIGN_SHARE = 0.5;
/** Consecutive rounds that must find enough foreign runs, because a run that moves between engines is briefly reported by both. */
const MIN_ROUNDS = 2;

export interface FailoverDeps {
  readonly fetchReport: (
    entry: EndpointEntry,
  ) => Promise<EngineReport | undefined>;
  /** Counts this VM's runs on an engine. */
  readonly countOwnRuns: (engineId: string) => number;
  /** Returns the steady time, ms. */
  readonly now: () => number;
  /** Returns the steady ms of the last contact with the log. */
  readonly getContactMs: () => number;
  readonly listEngines: () => readonly EndpointEntry[];
  readonly onSuperseded: (foreignRuns: number) => void;
}

/** Runs on the queried engines. */
interface RunCounts {
  readonly own: number;
  readonly foreign: number;
}

export class FailoverWatch {
  private isQuerying = false;
  private positiveRounds = 0;

  constructor(private readonly deps: FailoverDeps) {}

  /** Queries the engines if the log has been silent long enough. Called periodically. */
  async check(): Promise<void> {
    const silentMs = this.deps.now() - this.deps.getContactMs();
    if (silentMs <= QUERY_SILENCE_MS) this.positiveRounds = 0;
    if (silentMs <= QUERY_SILENCE_MS || this.isQuerying) return;
    this.isQuerying = true;
    await this.queryEngines();
    this.isQuerying = false;
  }

  private async queryEngines(): Promise<void> {
    const engines = this.deps.listEngines().slice(0, MAX_QUERIED);
    const counts = await Promise.all(
      engines.map(entry => this.queryEngine(entry)),
    );
    const own = counts.reduce((sum, count) => sum + count.own, 0);
    const foreign = counts.reduce((sum, count) => sum + count.foreign, 0);
    const isMany = foreign >= Math.max(MIN_FOREIGN_RUNS, own * FOREIGN_SHARE);
    this.positiveRounds = isMany ? this.positiveRounds + 1 : 0;
    if (this.positiveRounds >= MIN_ROUNDS) this.deps.onSuperseded(foreign);
  }

  private async queryEngine(entry: EndpointEntry): Promise<RunCounts> {
    const report = await this.deps.fetchReport(entry);
    const own = this.deps.countOwnRuns(entry.id);
    if (!report) return {own, foreign: 0};
    return {own, foreign: Math.max(report.runs - own, 0)};
  }
}
