/**
 * How long an engine takes for one token of one stream, by the number of
 * streams that it runs: a part for the pass over the weights and a part for each
 * stream. Learned for a group as a whole, with a factor for each endpoint.
 */

/** What is believed at first, in ms, and how many observations that is worth. */
const PRIOR_BASE_MS = 10;
const PRIOR_SLOPE_MS = 0.3;
const PRIOR_WEIGHT = 5;
/** Streams at which the prior is taken as observed, to hold the line. */
const PRIOR_STREAMS = [1, 32] as const;
/** Part of older observations that each new one leaves. */
const DECAY = 0.999;
const MIN_BASE_MS = 0.01;

/** One line fitted by least squares whose older points fade. */
export class SpeedModel {
  private weight = 0;
  private sumStreams = 0;
  private sumStreamsSquared = 0;
  private sumTokenMs = 0;
  private sumProducts = 0;

  constructor() {
    for (const streams of PRIOR_STREAMS) {
      const tokenMs = PRIOR_BASE_MS + PRIOR_SLOPE_MS * streams;
      this.add(streams, tokenMs, PRIOR_WEIGHT);
    }
  }

  record(streams: number, tokenMs: number): void {
    this.weight *= DECAY;
    this.sumStreams *= DECAY;
    this.sumStreamsSquared *= DECAY;
    this.sumTokenMs *= DECAY;
    this.sumProducts *= DECAY;
    this.add(streams, tokenMs, 1);
  }

  /** Expected ms for one token where `streams` run, on an ordinary endpoint. */
  predictMs(streams: number): number {
    const spread = this.weight * this.sumStreamsSquared - this.sumStreams ** 2;
    const covariance =
      this.weight * this.sumProducts - this.sumStreams * this.sumTokenMs;
    const slope = spread > 0 ? Math.max(0, covariance / spread) : 0;
    const base = (this.sumTokenMs - slope * this.sumStreams) / this.weight;
    return Math.max(MIN_BASE_MS, base + slope * streams);
  }

  private add(streams: number, tokenMs: number, weight: number): void {
    this.weight += weight;
    this.sumStreams += weight * streams;
    this.sumStreamsSquared += weight * streams ** 2;
    this.sumTokenMs += weight * tokenMs;
    this.sumProducts += weight * streams * tokenMs;
  }
}
