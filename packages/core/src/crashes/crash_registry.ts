/**
 * Tracks requests that were in flight on endpoints when these crashed, and
 * decides after how many crashes a request is quarantined and for how long.
 *
 * Some requests crash every endpoint that runs them, and callers repeat them
 * through any VM. Other requests only happened to be in flight on the crashed
 * endpoint: they complete on their next endpoint, which clears them, while a
 * crashing request never completes. Batch work is of that second kind: it pauses
 * for seconds at most.
 */

import {findBatchPauseMs, isBatchFingerprint} from './batch_work.js';

/** One crash of an endpoint on which the request was in flight. */
export interface CrashRecord {
  readonly endpointId: string;
  /** Unix ms. */
  readonly atMs: number;
  /** How strongly the crash implicates the request. */
  readonly weight: number;
}

/** Whether a request may run. */
export type QuarantineStatus =
  | {readonly kind: 'clear'}
  /**
   * Was in flight during a crash: it may run, but on one endpoint at a time.
   */
  | {readonly kind: 'suspect'}
  | {
      readonly kind: 'held';
      /** Unix ms from which one probe may run. */
      readonly untilMs: number;
    };

/**
 * Weights of a crash soon after the request started on the endpoint, and of a
 * later one.
 */
export const EARLY_WEIGHT = 2;
export const LATE_WEIGHT = 1;
/**
 * Weight from which a request is quarantined: three crashes soon after its
 * start.
 */
const QUARANTINE_WEIGHT = 3 * EARLY_WEIGHT;
/**
 * Length of the quarantine after the last crash, ms, growing with each further
 * crash. The first probe comes soon, which clears an innocent request; after
 * that there are at most three a day, so that a repaired endpoint gets the
 * request again.
 */
const QUARANTINE_PERIODS_MS: readonly number[] = [
  1000,
  10_000,
  5 * 60_000,
  6 * 3_600_000,
  24 * 3_600_000,
];
/**
 * Share of the quarantine by which VMs spread their probes, so that one VM
 * learns the outcome before the others probe.
 */
const QUARANTINE_JITTER = 0.3;
/**
 * No other probe starts while one may be running, ms; a crash is reported
 * sooner than this.
 */
const PROBE_MS = 2000;
/**
 * Reports of several VMs about one endpoint within this time, ms, refer to the
 * same crash.
 */
const SAME_CRASH_MS = 1000;
/**
 * How long after its last crash a request is dropped, ms: if it is not
 * quarantined, and if it is.
 */
const SUSPECT_RETENTION_MS = 30 * 60_000;
const QUARANTINE_RETENTION_MS = 48 * 3_600_000;
/**
 * Crashes stored per request, the newest; further ones would not change the
 * decision.
 */
const MAX_CRASHES = 8;
/**
 * Maximum number of tracked requests; the least recently reported are dropped
 * first.
 */
export const MAX_REQUESTS = 1000;

const CLEAR: QuarantineStatus = {kind: 'clear'};
const SUSPECT: QuarantineStatus = {kind: 'suspect'};

/** A crash as this VM knows it. */
interface KnownCrash extends CrashRecord {
  /**
   * Unix ms from which the quarantine counts: `atMs`, or the time of its first
   * report if that was ahead of this VM's clock.
   */
  readonly sinceMs: number;
}

interface Entry {
  /** Whether it is batch work, which is never the cause of a crash. */
  readonly isBatchWork: boolean;
  /** Ordered by time. */
  crashes: readonly KnownCrash[];
  /** Unix ms until which a probe may be running. */
  probeUntilMs: number;
}

export class CrashRegistry {
  /** By fingerprint, the least recently reported first. */
  private readonly entries = new Map<string, Entry>();

  /** @param jitter In [0, 1), different on each VM. */
  constructor(private readonly jitter: number) {}

  /**
   * Number of tracked requests. While it is 0, no fingerprint needs to be
   * computed.
   */
  get size(): number {
    return this.entries.size;
  }

  has(fingerprint: string): boolean {
    return this.entries.has(fingerprint);
  }

  getCrashes(fingerprint: string): readonly CrashRecord[] {
    const {crashes = []} = this.entries.get(fingerprint) ?? {};
    return crashes.map(({endpointId, atMs, weight}) => ({
      endpointId,
      atMs,
      weight,
    }));
  }

  getStatus(fingerprint: string, nowMs: number): QuarantineStatus {
    const entry = this.entries.get(fingerprint);
    if (!entry) return CLEAR;
    const untilMs = this.findQuarantineEnd(entry);
    if (untilMs === undefined) return SUSPECT;
    return nowMs < untilMs ? {kind: 'held', untilMs} : SUSPECT;
  }

  /**
   * Whether the request has been quarantined, so that any run of it is a probe.
   */
  runsAsProbe(fingerprint: string): boolean {
    const entry = this.entries.get(fingerprint);
    return entry !== undefined && this.findQuarantineEnd(entry) !== undefined;
  }

  /**
   * Records that the request starts on an endpoint; for a quarantined request
   * this is its single probe.
   */
  recordStart(fingerprint: string, nowMs: number): void {
    const entry = this.entries.get(fingerprint);
    if (entry && reachesQuarantine(entry))
      entry.probeUntilMs = nowMs + PROBE_MS;
  }

  /** Records that an endpoint crashed while the request was in flight on it. */
  recordCrash(fingerprint: string, crash: CrashRecord): void {
    this.merge(fingerprint, [crash], crash.atMs);
  }

  /**
   * Merges crashes reported by another VM, which may report them again. Times
   * ahead of this VM's clock count as now.
   */
  merge(
    fingerprint: string,
    crashes: readonly CrashRecord[],
    nowMs: number,
  ): void {
    const existing = this.entries.get(fingerprint);
    const reported = crashes.map(crash => ({
      ...crash,
      sinceMs: Math.min(crash.atMs, nowMs),
    }));
    const merged = mergeCrashes([...(existing?.crashes ?? []), ...reported]);
    this.entries.delete(fingerprint);
    const probeUntilMs = existing?.probeUntilMs ?? -Infinity;
    const isBatchWork = isBatchFingerprint(fingerprint);
    this.entries.set(fingerprint, {isBatchWork, crashes: merged, probeUntilMs});
  }

  /**
   * Clears a request that completed, since it cannot be what crashes
   * endpoints. Returns whether it was tracked.
   */
  clear(fingerprint: string): boolean {
    return this.entries.delete(fingerprint);
  }

  /**
   * Removes entries that are too old or exceed the maximum, and returns their
   * fingerprints.
   */
  prune(nowMs: number): readonly string[] {
    const removed: string[] = [];
    for (const [fingerprint, entry] of this.entries) {
      const retentionMs =
        reachesQuarantine(entry) && !entry.isBatchWork
          ? QUARANTINE_RETENTION_MS
          : SUSPECT_RETENTION_MS;
      const isOld = nowMs - findLastMs(entry) > retentionMs;
      if (!isOld && this.entries.size <= MAX_REQUESTS) continue;
      this.entries.delete(fingerprint);
      removed.push(fingerprint);
    }
    return removed;
  }

  /** Unix ms until which the request is quarantined; undefined if it is not. */
  private findQuarantineEnd(entry: Entry): number | undefined {
    if (!reachesQuarantine(entry)) return undefined;
    const weight = this.computeUnexplainedWeight(entry);
    if (weight < QUARANTINE_WEIGHT) return undefined;
    const extraCrashes = Math.floor(
      (weight - QUARANTINE_WEIGHT) / EARLY_WEIGHT,
    );
    const endMs = findLastMs(entry) + this.findPeriodMs(entry, extraCrashes);
    return Math.max(endMs, entry.probeUntilMs);
  }

  private findPeriodMs({isBatchWork}: Entry, extraCrashes: number): number {
    // Only the coordinator sends batch work, so there is nothing to spread.
    if (isBatchWork) return findBatchPauseMs(extraCrashes);
    const last = QUARANTINE_PERIODS_MS.length - 1;
    const periodMs = QUARANTINE_PERIODS_MS[Math.min(extraCrashes, last)];
    return periodMs * (1 + QUARANTINE_JITTER * this.jitter);
  }

  /**
   * Weight of the crashes that no heavier request explains. A crash has one
   * cause: it is attributed to the heaviest call or stream that was in flight.
   */
  private computeUnexplainedWeight(entry: Entry): number {
    const weight = sumWeights(entry);
    const heavier = [...this.entries.values()].filter(
      other => !other.isBatchWork && sumWeights(other) > weight,
    );
    const isExplained = (crash: CrashRecord) =>
      heavier.some(({crashes}) =>
        crashes.some(otherCrash => isSameCrash(otherCrash, crash)),
      );
    return sumWeights({
      crashes: entry.crashes.filter(crash => !isExplained(crash)),
    });
  }
}

/** Orders records by time and merges those of the same crash. */
function mergeCrashes(crashes: readonly KnownCrash[]): readonly KnownCrash[] {
  const merged: KnownCrash[] = [];
  for (const crash of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
    const index = merged.findIndex(earlier => isSameCrash(earlier, crash));
    if (index < 0) merged.push(crash);
    else if (merged[index].weight < crash.weight) {
      merged[index] = {...merged[index], weight: crash.weight};
    }
  }
  return merged.slice(-MAX_CRASHES);
}

function isSameCrash(a: CrashRecord, b: CrashRecord): boolean {
  const isNear = Math.abs(a.atMs - b.atMs) < SAME_CRASH_MS;
  return isNear && a.endpointId === b.endpointId;
}

function reachesQuarantine(entry: Entry): boolean {
  return sumWeights(entry) >= QUARANTINE_WEIGHT;
}

function sumWeights({crashes}: Pick<Entry, 'crashes'>): number {
  return crashes.reduce((sum, {weight}) => sum + weight, 0);
}

function findLastMs({crashes}: Entry): number {
  return Math.max(-Infinity, ...crashes.map(({sinceMs}) => sinceMs));
}
