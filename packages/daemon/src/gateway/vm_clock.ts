/**
 * Detects suspensions of this VM. The steady clock stops during a suspension
 * while the time of day continues, so a lease could seem valid after another VM
 * has taken it over. A suspension shows as drift between the two clocks.
 */

/** Drift above which a suspension is assumed, ms. It is less than the validity of any lease and more than a usual clock adjustment. */
const SUSPENSION_MS = 200;

export class VmClock {
  private offsetMs = Date.now() - performance.now();

  /** Returns the time of the steady clock, ms. */
  now(): number {
    return performance.now();
  }

  /** Returns the drift between the two clocks since the last call if it indicates a suspension, otherwise 0; ms. */
  takeSuspensionMs(): number {
    const offsetMs = Date.now() - performance.now();
    const driftMs = Math.abs(offsetMs - this.offsetMs);
    this.offsetMs = offsetMs;
    return driftMs > SUSPENSION_MS ? driftMs : 0;
  }

  /** Converts Unix ms to steady ms. */
  toSteady(unixMs: number): number {
    return this.now() + (unixMs - Date.now());
  }
}
