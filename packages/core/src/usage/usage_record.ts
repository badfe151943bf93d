/**
 * Defines the usage records in the log: the counts that each VM writes, and the
 * reports that are decided from them. A window is a span of real time, numbered from
 * the start of 1970.
 */

/** Requests of one account that endpoints started in one window. */
export interface UsageCount {
  readonly window: number;
  readonly account: string;
  readonly requests: number;
}

/** Counts of one VM since its previous entry. */
export interface UsageEntry {
  /** Incarnation of the process that counted. */
  readonly writer: string;
  /**
   * Increases with each entry of a writer, so that a duplicate entry is counted
   * once.
   */
  readonly number: number;
  readonly counts: readonly UsageCount[];
}

/** Requests by account. */
export type AccountCounts = Readonly<Record<string, number>>;

/** One window as reported to the platform. */
export interface UsageReport {
  readonly window: number;
  readonly counts: AccountCounts;
}

export type ReportRecord =
  /** Reports start with this window. */
  | {readonly kind: 'begun'; readonly window: number}
  /**
   * The first decision for a window counts: every report of the window has
   * these counts.
   */
  | ({readonly kind: 'decided'} & UsageReport)
  /** The platform has received the report of the window. */
  | {readonly kind: 'delivered'; readonly window: number};

/** Returns the window that contains the given time. */
export function findWindow(unixMs: number, windowMs: number): number {
  return Math.floor(unixMs / windowMs);
}
