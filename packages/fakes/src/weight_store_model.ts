/**
 * The weight store without its HTTP interface: the versions of each model and a
 * limit on the fetches that may start per second.
 */

/** One published version. */
export interface StoredVersion {
  readonly version: number;
  readonly bytes: number;
}

export type FetchAnswer =
  | {readonly kind: 'weights'; readonly bytes: number}
  | {readonly kind: 'limited'; readonly retryAfterMs: number}
  | {readonly kind: 'unknown_version'};

const WINDOW_MS = 1000;

/** The versions of all models. All times are Unix ms. */
export class WeightStoreModel {
  private readonly models = new Map<string, Map<number, StoredVersion>>();
  private windowStartMs = 0;
  private fetchesInWindow = 0;
  private fetches = 0;

  constructor(private fetchesPerSecond: number) {}

  setFetchesPerSecond(fetchesPerSecond: number): void {
    this.fetchesPerSecond = fetchesPerSecond;
  }

  /** Adds a version; publishing it again changes nothing. */
  publish(model: string, version: number, bytes: number): void {
    const versions = this.models.get(model) ?? new Map();
    this.models.set(model, versions);
    if (!versions.has(version)) versions.set(version, {version, bytes});
  }

  /** All versions of a model, ascending. */
  listVersions(model: string): readonly StoredVersion[] {
    const versions = [...(this.models.get(model)?.values() ?? [])];
    return versions.sort((a, b) => a.version - b.version);
  }

  /** Fetches a version, unless the limit of this second is reached. */
  fetch(model: string, version: number, nowMs: number): FetchAnswer {
    const stored = this.models.get(model)?.get(version);
    if (!stored) return {kind: 'unknown_version'};
    if (nowMs - this.windowStartMs >= WINDOW_MS) {
      this.windowStartMs = nowMs;
      this.fetchesInWindow = 0;
    }
    if (this.fetchesInWindow >= this.fetchesPerSecond) {
      const retryAfterMs = this.windowStartMs + WINDOW_MS - nowMs;
      return {kind: 'limited', retryAfterMs};
    }
    this.fetchesInWindow++;
    this.fetches++;
    return {kind: 'weights', bytes: stored.bytes};
  }

  /** Counts the fetches that were allowed. */
  countFetches(): number {
    return this.fetches;
  }
}
