/**
 * Detects that this VM itself is late, so that silent runs say nothing about
 * their engines: its event loop was blocked, it was frozen, or its link was cut.
 *
 * Two signs: decisions, which follow a short timer, come late; or most engines
 * are quiet at the same time.
 */

/** Interval between decisions from which the event loop was blocked, ms; a timer asks for one every 60 ms. */
const LATE_DECISION_MS = 250;
/** Time after the last sign in which delayed events are still handled, ms. */
const SETTLE_MS = 400;
/** More than this share of the engines is quiet at once only if the VM is late. */
const MAX_QUIET_SHARE = 0.5;

/** Silence of a run with events. */
export interface RunSilence {
  readonly engineId: string;
  readonly silentMs: number;
  /** Silence after which the run counts as silent, ms. */
  readonly limitMs: number;
}

/** Lateness of this VM, as of the latest decisions; all times are steady ms. */
export class LatenessGuard {
  private lastDecisionMs: number | undefined;
  private holdUntilMs = -Infinity;

  /**
   * Whether what arrives now was delayed by this VM, so that the time since the
   * event before says nothing about an engine.
   */
  isLate(nowMs: number): boolean {
    return nowMs < this.holdUntilMs || this.isDecisionLate(nowMs);
  }

  /**
   * Handles the state of the runs at a decision. Returns whether their silence
   * may be put down to engines.
   */
  observe(silences: readonly RunSilence[], nowMs: number): boolean {
    const isSuspect = this.isDecisionLate(nowMs) || areMostQuiet(silences);
    this.lastDecisionMs = nowMs;
    if (isSuspect) this.holdUntilMs = nowMs + SETTLE_MS;
    return nowMs >= this.holdUntilMs;
  }

  private isDecisionLate(nowMs: number): boolean {
    const lastMs = this.lastDecisionMs ?? nowMs;
    return nowMs - lastMs > LATE_DECISION_MS;
  }
}

/**
 * Whether all runs of most engines are quiet. Half of the limit suffices: events
 * of different engines are up to a gap apart, so that some would seem active
 * when the first one reaches its limit.
 */
function areMostQuiet(silences: readonly RunSilence[]): boolean {
  const quiet = new Map<string, boolean>();
  for (const {engineId, silentMs, limitMs} of silences) {
    const isQuiet = silentMs > limitMs / 2;
    quiet.set(engineId, isQuiet && (quiet.get(engineId) ?? true));
  }
  const quietCount = [...quiet.values()].filter(isQuiet => isQuiet).length;
  return quietCount > quiet.size * MAX_QUIET_SHARE;
}
