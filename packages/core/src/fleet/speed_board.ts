/**
 * How fast endpoints generate, from the gaps between events of the runs that
 * this VM follows. Liveness checks pass on an endpoint that has become slow, so
 * only its output tells.
 */

interface Speed {
  /** Smoothed ms between two events of one run. */
  gapMs: number;
  samples: number;
  lastMs: number;
}

/** Weight of a new sample; about the last eight count. Follows a change within half a second at usual rates. */
const SMOOTHING = 0.12;
/** Fewer samples say nothing yet. */
const MIN_SAMPLES = 6;
/** A reading is trusted this long, ms; then the endpoint is given work again to tell. */
const TRUST_MS = 4000;
/** Slower than this multiple of the typical endpoint counts as slow. Full against empty batches differ by 1.4, slow engines by 3 and more. */
const SLOW_FACTOR = 1.9;
/** A slow endpoint counts as slow until it is back below this multiple; a bound for both directions would move work back and forth. */
const RECOVERED_FACTOR = 1.4;
/** A longer gap is a pause, such as a load of weights, and tells nothing of the speed, ms. The slowest engines seen make an event in 250. */
const MAX_GAP_MS = 500;

export class SpeedBoard {
  private readonly speeds = new Map<string, Speed>();
  private slow: ReadonlySet<string> = new Set();

  /** Two events of one run came `gapMs` apart. */
  note(endpointId: string, gapMs: number, nowMs: number): void {
    if (gapMs > MAX_GAP_MS) return;
    const speed = this.speeds.get(endpointId);
    if (!speed || nowMs - speed.lastMs > TRUST_MS) {
      this.speeds.set(endpointId, {gapMs, samples: 1, lastMs: nowMs});
      return;
    }
    speed.gapMs += (gapMs - speed.gapMs) * SMOOTHING;
    speed.samples += 1;
    speed.lastMs = nowMs;
  }

  forget(endpointId: string): void {
    this.speeds.delete(endpointId);
  }

  /** Smoothed gap, or undefined where nothing recent is known, ms. */
  measureGapMs(endpointId: string, nowMs: number): number | undefined {
    const speed = this.speeds.get(endpointId);
    if (!speed || speed.samples < MIN_SAMPLES) return undefined;
    return nowMs - speed.lastMs > TRUST_MS ? undefined : speed.gapMs;
  }

  /** Endpoints that are much slower than the typical one. */
  listSlow(nowMs: number): ReadonlySet<string> {
    const gaps = new Map<string, number>();
    for (const id of this.speeds.keys()) {
      const gapMs = this.measureGapMs(id, nowMs);
      if (gapMs !== undefined) gaps.set(id, gapMs);
    }
    const sorted = [...gaps.values()].sort((a, b) => a - b);
    // The lower middle: with two endpoints the faster one is the measure.
    const typical = sorted[Math.floor((sorted.length - 1) / 2)];
    const slow = new Set<string>();
    for (const [id, gapMs] of gaps) {
      const factor = this.slow.has(id) ? RECOVERED_FACTOR : SLOW_FACTOR;
      if (gapMs > typical * factor) slow.add(id);
    }
    this.slow = slow;
    return slow;
  }
}
