/**
 * Watches loads of weights while capacity is contended, so that an engine gets
 * items as soon as it takes them and the next load may start. The end of a load
 * is known from an item that the engine takes or from its report, whichever is
 * first.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {
  EngineReadiness,
  ReadinessProof,
} from '@radishyoke/core/fleet/engine_readiness';
import type {EndedLoad} from '@radishyoke/core/fleet/load_limiter';
import {LoadTimeTracker} from '@radishyoke/core/fleet/load_time_tracker';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {EngineFleet} from './engine_fleet.js';
import {type EngineReports, findVersion, hasVersion} from './engine_reports.js';
import type {LoadStep, LoadTarget} from './load_target.js';
import {MAX_POLLS, POLL_PAUSE_MS, SETTLED_POLLS} from './load_target.js';

/** Dependencies of `LoadWatch`. */
export interface LoadWatchDeps {
  readonly fleet: EngineFleet;
  readonly reports: EngineReports;
  readonly readiness: EngineReadiness;
  readonly metrics: GatewayMetrics;
  /** Whether the engine was replaced or no loads are watched any more. */
  readonly isOutOfDate: (target: LoadTarget) => boolean;
  /** Called when an engine may get items, or more of them than before. */
  readonly onReady: () => void;
}

/** Times of a watched load, steady ms. */
interface WatchTimes {
  readonly startedMs: number;
  readonly expectedMs: number;
}

/** Times of a load that is over, steady ms. */
interface SeenLoad extends WatchTimes {
  /** Latest time at which a report showed it running, if one did. */
  readonly runningMs: number | undefined;
  /** Earliest time at which it was known to be over. */
  readonly knownOverMs: number;
}

/** How a watch ended; the load is absent if its time is not known. */
export interface WatchEnd {
  readonly step: LoadStep;
  readonly load?: EndedLoad;
}

/** Maximum age of the state that a report shows, ms. */
const REPORT_LAG_MS = 300;
/** Interval at which it is checked whether the engine took an item, ms. */
const CHECK_PAUSE_MS = 25;

/** Watches the loads of all engines of one coordinator. */
export class LoadWatch {
  private readonly times = new LoadTimeTracker();

  constructor(private readonly deps: LoadWatchDeps) {}

  /** Predicted duration of the next load, ms. */
  get expectedMs(): number {
    return this.times.expectedMs;
  }

  /** Waits for the end of a load whose order was accepted. */
  async watch(target: LoadTarget): Promise<WatchEnd> {
    const {fleet, readiness, metrics} = this.deps;
    const {entry, model, version} = target;
    const startedMs = performance.now();
    await sleep(this.times.expectedMs);
    if (this.deps.isOutOfDate(target)) return {step: 'over'};
    const times = {startedMs, expectedMs: performance.now()};
    fleet.assumeLoaded(entry, model, version);
    readiness.startProbe(entry.id, model, version);
    this.deps.onReady();
    try {
      return await this.waitForEnd(target, times);
    } finally {
      const refusals = readiness.countRefusals(entry.id, model);
      if (refusals > 0) metrics.count('refused_after_load', refusals);
      readiness.endProbe(entry.id, model);
      this.deps.onReady();
    }
  }

  private async waitForEnd(
    target: LoadTarget,
    times: WatchTimes,
  ): Promise<WatchEnd> {
    const {fleet, reports, metrics} = this.deps;
    const {entry, model, version} = target;
    let runningMs: number | undefined;
    for (let polls = 0; polls < MAX_POLLS; polls++) {
      const proof = await this.waitForProof(target);
      if (this.deps.isOutOfDate(target)) return {step: 'over'};
      if (proof) {
        metrics.count('load_ended_by_item');
        return this.end(target, {
          ...times,
          runningMs,
          knownOverMs: proof.sentMs,
        });
      }
      const report = await reports.fetch(entry);
      if (!report) continue;
      const nowMs = performance.now();
      if (hasVersion(report, model, version)) {
        metrics.count('load_ended_by_report');
        return this.end(target, {...times, runningMs, knownOverMs: nowMs});
      }
      if (report.isBusy) runningMs = nowMs - REPORT_LAG_MS;
      if (!report.isBusy && polls >= SETTLED_POLLS) {
        fleet.recordVersion(entry.id, model, findVersion(report, model));
        return {step: 'again'};
      }
    }
    return {step: 'again'};
  }

  /** Waits until an item has shown the end of the load, or until a poll is due. */
  private async waitForProof(
    target: LoadTarget,
  ): Promise<ReadinessProof | undefined> {
    const {entry, model, isUnanswered} = target;
    for (let waitedMs = 0; waitedMs < POLL_PAUSE_MS;) {
      await sleep(CHECK_PAUSE_MS);
      waitedMs += CHECK_PAUSE_MS;
      const nowMs = performance.now();
      const proof = this.deps.readiness.findProof(entry.id, model, nowMs);
      // An order without an answer may be carried out later; until then the
      // engine takes items with its old version.
      if (proof && (proof.hasEvent || !isUnanswered)) return proof;
    }
    return undefined;
  }

  /**
   * Ends a watch. Reports lag, so that the end is only known if the load was
   * seen running after its expected end, or if an item was taken then.
   */
  private end(
    {entry, model, isUnanswered}: LoadTarget,
    seen: SeenLoad,
  ): WatchEnd {
    const {readiness} = this.deps;
    const refusalMs = readiness.findRefusalMs(entry.id, model);
    const lastRunningMs = findLastRunningMs(seen, refusalMs);
    const isTaken =
      readiness.findProof(entry.id, model, performance.now()) !== undefined;
    // It is not known when a load began if its order got no answer.
    const isKnown = !isUnanswered && (isTaken || lastRunningMs !== undefined);
    if (!isKnown) return {step: 'over'};
    const endedMs = this.times.record({...seen, lastRunningMs});
    return {step: 'over', load: {startedMs: seen.startedMs, endedMs}};
  }
}

/** Returns when the load was last seen running after its expected end. */
function findLastRunningMs(
  {expectedMs, knownOverMs, runningMs = -Infinity}: SeenLoad,
  refusalMs = -Infinity,
): number | undefined {
  const lastMs = Math.min(Math.max(runningMs, refusalMs), knownOverMs);
  return lastMs >= expectedMs ? lastMs : undefined;
}
