/**
 * Notices on a coordinator that is cut off from the log that another VM has
 * taken over its items.
 *
 * Both would run them otherwise, which fills the engines with work that counts
 * for nothing: the one that is cut off can not write results down. While the log
 * is away for all VMs nobody takes over, and what runs should go on; so the log's
 * silence alone does not tell. The engines do: they report how much they run.
 */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EngineReport} from '../endpoints/endpoint_protocol.js';

/** Engines are asked once the log has been silent this long, ms: a successor claims after 1.1 s and needs a moment to start runs. */
const QUERY_SILENCE_MS = 1300;
/** Engines asked in one round; the runs of a successor are spread over many. */
const MAX_QUERIED = 8;
/** Runs of others are a successor's if they are this many at least, and this part of one's own: it takes over all open items, and reports lag by what ended in some hundred ms. */
const MIN_FOREIGN_RUNS = 6;
const FOREIGN_SHARE = 0.5;
/** Rounds in a row that must find them: a run that moves is reported twice for a moment. */
const MIN_ROUNDS = 2;

export interface FailoverDeps {
  readonly fetchReport: (
    entry: EndpointEntry,
  ) => Promise<EngineReport | undefined>;
  /** Own runs on an engine. */
  readonly countOwnRuns: (engineId: string) => number;
  /** Steady ms. */
  readonly now: () => number;
  /** Steady ms of the last contact with the log. */
  readonly getContactMs: () => number;
  readonly listEngines: () => readonly EndpointEntry[];
  readonly onSuperseded: (foreignRuns: number) => void;
}

/** Runs on the engines that were asked. */
interface RunCounts {
  readonly own: number;
  readonly foreign: number;
}

export class FailoverWatch {
  private isQuerying = false;
  private positiveRounds = 0;

  constructor(private readonly deps: FailoverDeps) {}

  /** Looks whether there is a reason to ask the engines, and asks; to be called often. */
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
