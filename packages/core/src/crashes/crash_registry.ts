/**
 * What is known of requests beside which endpoints crashed: from how many
 * crashes on a request is held back, and for how long.
 *
 * The load this answers: a request that crashes whichever endpoint runs it and
 * that its caller sends again, at any VM, beside requests that only ran where
 * another one crashed the endpoint. Those end well at their next endpoint, which
 * clears them; it never does.
 */

/** One crash of an endpoint that had the request. */
export interface CrashRecord {
  readonly endpointId: string;
  /** Unix ms. */
  readonly atMs: number;
  /** How much it speaks against the request. */
  readonly weight: number;
}

/** Whether a request may run. */
export type QuarantineStatus =
  | {readonly kind: 'clear'}
  /** Was beside a crash: it may run, but at one endpoint at a time. */
  | {readonly kind: 'suspect'}
  | {
      readonly kind: 'held';
      /** Unix ms at which it may be tried once more. */
      readonly untilMs: number;
    };

/** Weight of a crash soon after the request began there, and of a later one. */
export const EARLY_WEIGHT = 2;
export const LATE_WEIGHT = 1;
/** Weight from which a request is held back: three crashes soon after its start. */
const QUARANTINE_WEIGHT = 3 * EARLY_WEIGHT;
/**
 * How long it is held back after its last crash, ms, longer for each one more: a
 * try soon, which clears a bystander, and at most three more in a day, so that an
 * endpoint that was mended gets the request again.
 */
const QUARANTINE_PERIODS_MS: readonly number[] = [
  1000,
  10_000,
  5 * 60_000,
  6 * 3_600_000,
  24 * 3_600_000,
];
/** VMs try a held request again at times that differ by up to this share of its hold, so that one of them learns first. */
const QUARANTINE_JITTER = 0.3;
/** While one try is under way no other one begins, ms; a crash is known sooner. */
const PROBE_MS = 2000;
/** Two VMs that tell of one endpoint within this time tell of one crash, ms. */
const SAME_CRASH_MS = 1000;
/** A request that is not held back is forgotten after this long without a crash, ms, one that is after the next figure. */
const SUSPECT_RETENTION_MS = 30 * 60_000;
const QUARANTINE_RETENTION_MS = 48 * 3_600_000;
/** Marks that one request keeps, the newest: more change nothing. */
const MAX_CRASHES = 8;
/** Requests that are kept; those that were told of longest ago go first. */
export const MAX_REQUESTS = 1000;

const CLEAR: QuarantineStatus = {kind: 'clear'};
const SUSPECT: QuarantineStatus = {kind: 'suspect'};

interface Entry {
  /** By time. */
  crashes: readonly CrashRecord[];
  /** Unix ms until which a try is under way. */
  probeUntilMs: number;
}

export class CrashRegistry {
  /** By fingerprint, the one that was told of longest ago first. */
  private readonly entries = new Map<string, Entry>();

  /** @param jitter In [0, 1): differs between VMs. */
  constructor(private readonly jitter: number) {}

  /** Requests that are kept; with none of them no request needs its fingerprint. */
  get size(): number {
    return this.entries.size;
  }

  has(fingerprint: string): boolean {
    return this.entries.has(fingerprint);
  }

  getCrashes(fingerprint: string): readonly CrashRecord[] {
    return this.entries.get(fingerprint)?.crashes ?? [];
  }

  getStatus(fingerprint: string, nowMs: number): QuarantineStatus {
    const entry = this.entries.get(fingerprint);
    if (!entry) return CLEAR;
    const untilMs = this.findQuarantineEnd(entry);
    if (untilMs === undefined) return SUSPECT;
    return nowMs < untilMs ? {kind: 'held', untilMs} : SUSPECT;
  }

  /** Whether the request was held back, so that it runs for a try only. */
  runsAsProbe(fingerprint: string): boolean {
    const entry = this.entries.get(fingerprint);
    return entry !== undefined && this.findQuarantineEnd(entry) !== undefined;
  }

  /** The request begins at an endpoint; where it was held back that is its one try. */
  recordStart(fingerprint: string, nowMs: number): void {
    const entry = this.entries.get(fingerprint);
    if (entry && reachesQuarantine(entry))
      entry.probeUntilMs = nowMs + PROBE_MS;
  }

  /** An endpoint crashed that had the request. */
  recordCrash(fingerprint: string, crash: CrashRecord): void {
    this.merge(fingerprint, [crash], crash.atMs);
  }

  /** Takes what another VM knows; a clock that is ahead there counts as this one. */
  merge(
    fingerprint: string,
    crashes: readonly CrashRecord[],
    nowMs: number,
  ): void {
    const existing = this.entries.get(fingerprint);
    const clamped = crashes.map(crash => ({
      ...crash,
      atMs: Math.min(crash.atMs, nowMs),
    }));
    const merged = mergeCrashes([...(existing?.crashes ?? []), ...clamped]);
    this.entries.delete(fingerprint);
    const probeUntilMs = existing?.probeUntilMs ?? -Infinity;
    this.entries.set(fingerprint, {
      crashes: merged,
      probeUntilMs: probeUntilMs,
    });
  }

  /** The request ran to its end, so it is not what crashes endpoints; says whether it was kept. */
  clear(fingerprint: string): boolean {
    return this.entries.delete(fingerprint);
  }

  /** Forgets what is old, or too much; returns the fingerprints of these. */
  prune(nowMs: number): readonly string[] {
    const removed: string[] = [];
    for (const [fingerprint, entry] of this.entries) {
      const retentionMs = reachesQuarantine(entry)
        ? QUARANTINE_RETENTION_MS
        : SUSPECT_RETENTION_MS;
      const isOld = nowMs - findLastMs(entry) > retentionMs;
      if (!isOld && this.entries.size <= MAX_REQUESTS) continue;
      this.entries.delete(fingerprint);
      removed.push(fingerprint);
    }
    return removed;
  }

  /** Unix ms until which the request is held back; undefined where it is not. */
  private findQuarantineEnd(entry: Entry): number | undefined {
    if (!reachesQuarantine(entry)) return undefined;
    const weight = this.computeUnexplainedWeight(entry);
    if (weight < QUARANTINE_WEIGHT) return undefined;
    const extraCrashes = Math.floor(
      (weight - QUARANTINE_WEIGHT) / EARLY_WEIGHT,
    );
    const quarantineMs =
      QUARANTINE_PERIODS_MS[
        Math.min(extraCrashes, QUARANTINE_PERIODS_MS.length - 1)
      ];
    const jitterMs = quarantineMs * QUARANTINE_JITTER * this.jitter;
    const endMs = findLastMs(entry) + quarantineMs + jitterMs;
    return Math.max(endMs, entry.probeUntilMs);
  }

  /** A crash has one cause: where a request that weighs more was there too, it is taken for that. */
  private computeUnexplainedWeight(entry: Entry): number {
    const weight = sumWeights(entry);
    const heavier = [...this.entries.values()].filter(
      other => sumWeights(other) > weight,
    );
    const isExplained = (crash: CrashRecord) =>
      heavier.some(({crashes}) =>
        crashes.some(known => isSameCrash(known, crash)),
      );
    return sumWeights({
      crashes: entry.crashes.filter(crash => !isExplained(crash)),
    });
  }
}

/** In order of time, one mark for each crash. */
function mergeCrashes(crashes: readonly CrashRecord[]): readonly CrashRecord[] {
  const merged: CrashRecord[] = [];
  for (const crash of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
    const index = merged.findIndex(known => isSameCrash(known, crash));
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
  return crashes.at(-1)?.atMs ?? -Infinity;
}
