/**
 * Measures the lag of each trainer: how far it submits its steps behind its own
 * cadence. A trainer that submits late also gets a later due time, so an order by
 * due time alone would keep serving it last.
 */

import {findLowerMedian} from '../fleet/lower_median.js';
import type {BatchHeader} from './batch_record.js';

/** What identifies a trainer. */
export type TrainerKey = Pick<BatchHeader, 'account' | 'model'>;

interface Submission {
  readonly step: number;
  /** Unix ms. */
  readonly submittedAtMs: number;
}

/** Number of the latest steps of a trainer that count. */
const WINDOW = 12;
/** Number of intervals needed to tell the cadence. */
const MIN_INTERVALS = 2;
/**
 * Maximum lag, ms, so that a trainer that can not catch up does not displace
 * all others.
 */
const MAX_LAG_MS = 2000;

/** Lags of all trainers, from the times of their latest submissions. */
export class CadenceTracker {
  private readonly submissions = new Map<string, Submission[]>();
  private readonly lags = new Map<string, number>();

  /** Records a batch, which may be known already. */
  record(header: BatchHeader): void {
    const {step, submittedAtMs} = header;
    const key = createKey(header);
    const before = this.submissions.get(key) ?? [];
    const known = isRestart(before, header) ? [] : before;
    if (known.some(each => each.step === step)) return;
    const all = [...known, {step, submittedAtMs}];
    all.sort((a, b) => a.step - b.step);
    const latest = all.slice(-WINDOW);
    this.submissions.set(key, latest);
    this.lags.set(key, computeLagMs(latest));
  }

  /** Drops trainers whose last step was submitted before `beforeMs`, Unix ms. */
  forget(beforeMs: number): void {
    for (const [key, submissions] of this.submissions) {
      const isRecent = submissions.some(
        ({submittedAtMs}) => submittedAtMs >= beforeMs,
      );
      if (isRecent) continue;
      this.submissions.delete(key);
      this.lags.delete(key);
    }
  }

  /** Greatest lag of all trainers, ms. */
  get longestLagMs(): number {
    return Math.max(0, ...this.lags.values());
  }

  /** How far the last step of a trainer was submitted behind cadence, ms. */
  findLagMs(trainer: TrainerKey): number {
    return this.lags.get(createKey(trainer)) ?? 0;
  }
}

function createKey({account = '', model}: TrainerKey): string {
  return `${account} ${model}`;
}

/** Whether the trainer has started over: a lower step was submitted later. */
function isRestart(
  known: readonly Submission[],
  {step, submittedAtMs}: BatchHeader,
): boolean {
  const last = known.at(-1);
  if (!last) return false;
  return step < last.step && submittedAtMs > last.submittedAtMs;
}

/** Compares the last submission with the earlier ones, continued at cadence. */
function computeLagMs(submissions: readonly Submission[]): number {
  const cadenceMs = findCadenceMs(submissions);
  const last = submissions.at(-1);
  if (cadenceMs === undefined || !last) return 0;
  const lags = submissions.map(
    ({step, submittedAtMs}) =>
      last.submittedAtMs - submittedAtMs - (last.step - step) * cadenceMs,
  );
  return Math.min(Math.max(...lags), MAX_LAG_MS);
}

/** Returns the usual time between two steps, ms. */
function findCadenceMs(submissions: readonly Submission[]): number | undefined {
  const intervals = submissions.slice(1).map((each, i) => {
    const before = submissions[i];
    const steps = each.step - before.step;
    return (each.submittedAtMs - before.submittedAtMs) / steps;
  });
  if (intervals.length < MIN_INTERVALS) return undefined;
  return findLowerMedian(intervals);
}
