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
export interface CrashMark {
  readonly endpointId: string;
  /** Unix ms. */
  readonly atMs: number;
  /** How much it speaks against the request. */
  readonly weight: number;
}

/** Whether a request may run. */
export type Standing =
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
const HELD_WEIGHT = 3 * EARLY_WEIGHT;
/**
 * How long it is held back after its last crash, ms, longer for each one more: a
 * try soon, which clears a bystander, and at most three more in a day, so that an
 * endpoint that was mended gets the request again.
 */
const HOLDS_MS: readonly number[] = [
  1000,
  10_000,
  5 * 60_000,
  6 * 3_600_000,
  24 * 3_600_000,
];
/** VMs try a held request again at times that differ by up to this share of its hold, so that one of them learns first. */
const HOLD_SPREAD = 0.3;
/** While one try is under way no other one begins, ms; a crash is known sooner. */
const TRY_MS = 2000;
/** Two VMs that tell of one endpoint within this time tell of one crash, ms. */
const SAME_CRASH_MS = 1000;
/** A request that is not held back is forgotten after this long without a crash, ms, one that is after the next figure. */
const KEEP_SUSPECT_MS = 30 * 60_000;
const KEEP_HELD_MS = 48 * 3_600_000;
/** Marks that one request keeps, the newest: more change nothing. */
const MAX_MARKS = 8;
/** Requests that are kept; those that were told of longest ago go first. */
export const MAX_REQUESTS = 1000;

const CLEAR: Standing = {kind: 'clear'};
const SUSPECT: Standing = {kind: 'suspect'};

interface Entry {
  /** By time. */
  marks: readonly CrashMark[];
  /** Unix ms until which a try is under way. */
  tryUntilMs: number;
}

export class CrashBook {
  /** By fingerprint, the one that was told of longest ago first. */
  private readonly entries = new Map<string, Entry>();

  /** @param draw In [0, 1): differs between VMs. */
  constructor(private readonly draw: number) {}

  /** Requests that are kept; with none of them no request needs its fingerprint. */
  get size(): number {
    return this.entries.size;
  }

  has(fingerprint: string): boolean {
    return this.entries.has(fingerprint);
  }

  getMarks(fingerprint: string): readonly CrashMark[] {
    return this.entries.get(fingerprint)?.marks ?? [];
  }

  judge(fingerprint: string, nowMs: number): Standing {
    const entry = this.entries.get(fingerprint);
    if (!entry) return CLEAR;
    const untilMs = this.findHeldUntil(entry);
    if (untilMs === undefined) return SUSPECT;
    return nowMs < untilMs ? {kind: 'held', untilMs} : SUSPECT;
  }

  /** Whether the request was held back, so that it runs for a try only. */
  isOnTrial(fingerprint: string): boolean {
    const entry = this.entries.get(fingerprint);
    return entry !== undefined && this.findHeldUntil(entry) !== undefined;
  }

  /** The request begins at an endpoint; where it was held back that is its one try. */
  noteStart(fingerprint: string, nowMs: number): void {
    const entry = this.entries.get(fingerprint);
    if (entry && isHeavy(entry)) entry.tryUntilMs = nowMs + TRY_MS;
  }

  /** An endpoint crashed that had the request. */
  noteCrash(fingerprint: string, mark: CrashMark): void {
    this.merge(fingerprint, [mark], mark.atMs);
  }

  /** Takes what another VM knows; a clock that is ahead there counts as this one. */
  merge(fingerprint: string, marks: readonly CrashMark[], nowMs: number): void {
    const known = this.entries.get(fingerprint);
    const timely = marks.map(mark => ({
      ...mark,
      atMs: Math.min(mark.atMs, nowMs),
    }));
    const joined = joinMarks([...(known?.marks ?? []), ...timely]);
    this.entries.delete(fingerprint);
    const tryUntilMs = known?.tryUntilMs ?? -Infinity;
    this.entries.set(fingerprint, {marks: joined, tryUntilMs});
  }

  /** The request ran to its end, so it is not what crashes endpoints; says whether it was kept. */
  clear(fingerprint: string): boolean {
    return this.entries.delete(fingerprint);
  }

  /** Forgets what is old, or too much; returns the fingerprints of these. */
  prune(nowMs: number): readonly string[] {
    const forgotten: string[] = [];
    for (const [fingerprint, entry] of this.entries) {
      const keepMs = isHeavy(entry) ? KEEP_HELD_MS : KEEP_SUSPECT_MS;
      const isOld = nowMs - findLastMs(entry) > keepMs;
      if (!isOld && this.entries.size <= MAX_REQUESTS) continue;
      this.entries.delete(fingerprint);
      forgotten.push(fingerprint);
    }
    return forgotten;
  }

  /** Unix ms until which the request is held back; undefined where it is not. */
  private findHeldUntil(entry: Entry): number | undefined {
    if (!isHeavy(entry)) return undefined;
    const weight = this.weighUnexplained(entry);
    if (weight < HELD_WEIGHT) return undefined;
    const more = Math.floor((weight - HELD_WEIGHT) / EARLY_WEIGHT);
    const holdMs = HOLDS_MS[Math.min(more, HOLDS_MS.length - 1)];
    const spreadMs = holdMs * HOLD_SPREAD * this.draw;
    const endMs = findLastMs(entry) + holdMs + spreadMs;
    return Math.max(endMs, entry.tryUntilMs);
  }

  /** A crash has one cause: where a request that weighs more was there too, it is taken for that. */
  private weighUnexplained(entry: Entry): number {
    const weight = sumWeights(entry);
    const heavier = [...this.entries.values()].filter(
      other => sumWeights(other) > weight,
    );
    const isExplained = (mark: CrashMark) =>
      heavier.some(({marks}) => marks.some(known => isSameCrash(known, mark)));
    return sumWeights({marks: entry.marks.filter(mark => !isExplained(mark))});
  }
}

/** In order of time, one mark for each crash. */
function joinMarks(marks: readonly CrashMark[]): readonly CrashMark[] {
  const joined: CrashMark[] = [];
  for (const mark of [...marks].sort((a, b) => a.atMs - b.atMs)) {
    const at = joined.findIndex(known => isSameCrash(known, mark));
    if (at < 0) joined.push(mark);
    else if (joined[at].weight < mark.weight) {
      joined[at] = {...joined[at], weight: mark.weight};
    }
  }
  return joined.slice(-MAX_MARKS);
}

function isSameCrash(a: CrashMark, b: CrashMark): boolean {
  const isNear = Math.abs(a.atMs - b.atMs) < SAME_CRASH_MS;
  return isNear && a.endpointId === b.endpointId;
}

function isHeavy(entry: Entry): boolean {
  return sumWeights(entry) >= HELD_WEIGHT;
}

function sumWeights({marks}: Pick<Entry, 'marks'>): number {
  return marks.reduce((sum, {weight}) => sum + weight, 0);
}

function findLastMs({marks}: Entry): number {
  return marks.at(-1)?.atMs ?? -Infinity;
}
