/**
 * Predicts the time per token of one stream from the number of streams that an
 * engine runs: a constant part for reading the weights plus a part per stream.
 * It is fitted per endpoint group; each endpoint adds its own slowness factor.
 */

/**
 * Initial base and slope in ms, and the weight of each initial point in
 * observations.
 */
const PRIOR_BASE_MS = 10;
const PRIOR_SLOPE_MS = 0.3;
const PRIOR_WEIGHT = 5;
/** Stream counts of the initial points; two points define the slope. */
const PRIOR_STREAMS = [1, 32] as const;
/** Factor by which each observation reduces the weight of earlier ones. */
const DECAY = 0.999;
const MIN_BASE_MS = 0.01;

/** A line fitted by least squares with exponentially decaying weights. */
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

  /**
   * Returns the expected ms per token on an ordinary endpoint that runs
   * `streams` streams.
   */
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
