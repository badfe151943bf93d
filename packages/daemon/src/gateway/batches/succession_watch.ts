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
const SUSPECT_MS = 1300;
/** Engines asked in one round; the runs of a successor are spread over many. */
const MAX_ASKED = 8;
/** Runs of others are a successor's if they are this many at least, and this part of one's own: it takes over all open items, and reports lag by what ended in some hundred ms. */
const MIN_FOREIGN = 6;
const FOREIGN_SHARE = 0.5;
/** Rounds in a row that must find them: a run that moves is reported twice for a moment. */
const MIN_ROUNDS = 2;

export interface SuccessionParts {
  readonly fetchReport: (
    entry: EndpointEntry,
  ) => Promise<EngineReport | undefined>;
  /** Own runs on an engine. */
  readonly countOwn: (engineId: string) => number;
  /** Steady ms. */
  readonly now: () => number;
  /** Steady ms of the last contact with the log. */
  readonly findContactMs: () => number;
  readonly listEngines: () => readonly EndpointEntry[];
  readonly onSuperseded: (foreignRuns: number) => void;
}

/** Runs on the engines that were asked. */
interface RunCounts {
  readonly own: number;
  readonly foreign: number;
}

export class SuccessionWatch {
  private isAsking = false;
  private rounds = 0;

  constructor(private readonly parts: SuccessionParts) {}

  /** Looks whether there is a reason to ask the engines, and asks; to be called often. */
  async check(): Promise<void> {
    const silentMs = this.parts.now() - this.parts.findContactMs();
    if (silentMs <= SUSPECT_MS) this.rounds = 0;
    if (silentMs <= SUSPECT_MS || this.isAsking) return;
    this.isAsking = true;
    await this.ask();
    this.isAsking = false;
  }

  private async ask(): Promise<void> {
    const engines = this.parts.listEngines().slice(0, MAX_ASKED);
    const counts = await Promise.all(engines.map(entry => this.askOne(entry)));
    const own = counts.reduce((sum, count) => sum + count.own, 0);
    const foreign = counts.reduce((sum, count) => sum + count.foreign, 0);
    const isMany = foreign >= Math.max(MIN_FOREIGN, own * FOREIGN_SHARE);
    this.rounds = isMany ? this.rounds + 1 : 0;
    if (this.rounds >= MIN_ROUNDS) this.parts.onSuperseded(foreign);
  }

  private async askOne(entry: EndpointEntry): Promise<RunCounts> {
    const report = await this.parts.fetchReport(entry);
    const own = this.parts.countOwn(entry.id);
    if (!report) return {own, foreign: 0};
    return {own, foreign: Math.max(report.runs - own, 0)};
  }
}
