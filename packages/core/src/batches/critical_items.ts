/**
 * Finds the critical items of the open batches: those that are predicted to end
 * last among the groups that their trainers need, so that a delay of one of them
 * delays the step.
 */

import {
  ASSUMED_GAP_MS,
  estimateRemaining,
  type Job,
  type OpenBatch,
  type Run,
} from './batch_job.js';
import type {SpeedModel} from '../fleet/speed_model.js';
import type {Placement} from './placement.js';

/** Maximum number of critical items per open batch. */
const MAX_CRITICAL_PER_BATCH = 8;
/**
 * An item is critical only if it is predicted to last at least this share of the
 * longest one of its batch; shorter ones end earlier even after a delay.
 */
const MIN_SHARE_OF_LONGEST = 0.5;

/** What the prediction of an item's end is based on. */
export interface PredictionInputs {
  readonly openBatches: Iterable<OpenBatch>;
  readonly runs: Iterable<Run>;
  readonly placement: Placement;
  readonly speeds: SpeedModel;
  readonly tokensPerEvent: number;
  readonly nowMs: number;
  /** Number of runs on an engine. */
  countRuns(engineId: string): number;
}

/** Critical items of one decision, computed when first asked for. */
export class CriticalItems {
  private readonly gapsMs = new Map<string, number>();
  private engineByJob: ReadonlyMap<Job, string> | undefined;
  private critical: ReadonlySet<Job> | undefined;

  constructor(private readonly inputs: PredictionInputs) {}

  /** The items on which the ends of the open steps depend. */
  get jobs(): ReadonlySet<Job> {
    this.critical ??= this.findCritical();
    return this.critical;
  }

  /** Whether the end of the job's step depends on `job`. */
  isCritical(job: Job): boolean {
    return this.jobs.has(job);
  }

  /**
   * Predicted time until `job` ends, on its current engine or on a typical one,
   * ms.
   */
  predictMs(job: Job): number {
    const {tokensPerEvent} = this.inputs;
    const events = estimateRemaining(job, tokensPerEvent) / tokensPerEvent;
    return events * this.predictJobGapMs(job);
  }

  private predictJobGapMs(job: Job): number {
    const engineId = this.findEngineId(job);
    if (engineId !== undefined) return this.predictGapMs(engineId);
    const {speeds, nowMs} = this.inputs;
    return speeds.findTypicalPaceMs(nowMs) ?? ASSUMED_GAP_MS;
  }

  private findEngineId(job: Job): string | undefined {
    this.engineByJob ??= this.indexRuns();
    return this.engineByJob.get(job);
  }

  private indexRuns(): ReadonlyMap<Job, string> {
    const engineByJob = new Map<Job, string>();
    for (const {job, engineId, isStopping} of this.inputs.runs) {
      if (!isStopping) engineByJob.set(job, engineId);
    }
    return engineByJob;
  }

  /** Predicted gap between the events of each run on an engine, ms. */
  predictGapMs(engineId: string): number {
    const {speeds, nowMs} = this.inputs;
    let gapMs = this.gapsMs.get(engineId);
    if (gapMs === undefined) {
      const runs = this.inputs.countRuns(engineId);
      gapMs = speeds.predictGapMs(engineId, runs, nowMs);
      this.gapsMs.set(engineId, gapMs);
    }
    return gapMs;
  }

  private findCritical(): ReadonlySet<Job> {
    const critical = new Set<Job>();
    for (const open of this.inputs.openBatches) {
      for (const job of this.findLongest(open)) critical.add(job);
    }
    return critical;
  }

  /** The needed items of `open` that are predicted to end last. */
  private findLongest(open: OpenBatch): readonly Job[] {
    const {placement} = this.inputs;
    if (!open.terms) return [];
    const {needed, isSatisfied} = placement.getChoice(open);
    if (isSatisfied) return [];
    const ends: Array<{readonly job: Job; readonly endMs: number}> = [];
    for (const job of open.jobs.values()) {
      if (!isPending(job) || !needed.has(job.item.group)) continue;
      ends.push({job, endMs: this.predictMs(job)});
    }
    ends.sort((a, b) => b.endMs - a.endMs);
    const minMs = (ends.at(0)?.endMs ?? 0) * MIN_SHARE_OF_LONGEST;
    return ends
      .slice(0, MAX_CRITICAL_PER_BATCH)
      .filter(({endMs}) => endMs >= minMs)
      .map(({job}) => job);
  }
}

function isPending({state}: Job): boolean {
  return state === 'waiting' || state === 'running';
}
