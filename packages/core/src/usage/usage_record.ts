/**
 * What the log keeps of usage: the counts that each VM writes, and the reports
 * that are decided from them. A window is a span of true time, numbered from the
 * start of 1970.
 */

/** Requests of one account that endpoints began in one window. */
export interface UsageCount {
  readonly window: number;
  readonly account: string;
  readonly requests: number;
}

/** Counts of one VM since its record before. */
export interface UsageEntry {
  /** Names the life of the process that counted. */
  readonly writer: string;
  /** Rises with each entry of a writer: an entry that stands twice counts once. */
  readonly number: number;
  readonly counts: readonly UsageCount[];
}

/** Requests by account. */
export type AccountCounts = Readonly<Record<string, number>>;

/** One window as it is told to the platform. */
export interface UsageReport {
  readonly window: number;
  readonly counts: AccountCounts;
}

export type ReportRecord =
  /** Reports begin with this window. */
  | {readonly kind: 'begun'; readonly window: number}
  /** The first for a window stands: whoever tells it tells these counts. */
  | ({readonly kind: 'decided'} & UsageReport)
  /** The platform has the window's report. */
  | {readonly kind: 'delivered'; readonly window: number};

/** The window of a moment. */
export function findWindow(unixMs: number, windowMs: number): number {
  return Math.floor(unixMs / windowMs);
}
