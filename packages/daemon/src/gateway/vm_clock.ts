/**
 * Tells when this VM was suspended. The steady clock stands still meanwhile and
 * the time of day does not, so a lease would seem to hold when it has long been
 * taken over. It shows as the two clocks drifting apart.
 */

/** Drift that counts as a suspension, ms; less than any lease is trusted for, more than a clock is adjusted by. */
const SUSPENSION_MS = 200;

export class VmClock {
  private offsetMs = Date.now() - performance.now();

  /** Milliseconds of the steady clock. */
  now(): number {
    return performance.now();
  }

  /** How far the time of day ran ahead of the steady clock since the last call, ms; 0 for none. */
  takeSuspensionMs(): number {
    const offsetMs = Date.now() - performance.now();
    const driftMs = Math.abs(offsetMs - this.offsetMs);
    this.offsetMs = offsetMs;
    return driftMs > SUSPENSION_MS ? driftMs : 0;
  }

  /** The steady time of `unixMs`. */
  toSteady(unixMs: number): number {
    return this.now() + (unixMs - Date.now());
  }
}
