/**
 * Probes whether an engine that has loaded weights takes items again.
 *
 * The reports of an engine lag, so its load is assumed to be over after the
 * expected time. One item is then sent as a probe; the others follow once it was
 * not refused.
 */

/** How it was shown that a load is over. */
export interface ReadinessProof {
  /** Steady ms of the last refusal since the load was assumed to be over. */
  readonly lastRefusalMs: number | undefined;
  /** Steady ms at which the item was sent that the engine took. */
  readonly sentMs: number;
  /** Refusals since the load was assumed to be over. */
  readonly refusals: number;
  /** Whether an event of the new version came, rather than no refusal only. */
  readonly hasEvent: boolean;
}

/** Probe of one engine for one model after a load. */
interface Probe {
  readonly version: number;
  /** Steady ms at which an item was sent that has not been refused. */
  sentMs: number | undefined;
  notBeforeMs: number;
  lastRefusalMs: number | undefined;
  refusals: number;
  hasEvent: boolean;
}

/**
 * An item that was not refused within this time was taken, ms. Refusals come
 * at once, but a busy VM may see them late.
 */
const REFUSAL_MS = 30;
/** Pause after the first refusal that follows a load, ms; it doubles. */
const FIRST_PAUSE_MS = 40;
/** Maximum pause, ms. */
const MAX_PAUSE_MS = 640;

/** Probes of all engines of one coordinator; times are steady ms. */
export class EngineReadiness {
  /** Probes by engine, then by model. */
  private readonly probes = new Map<string, Map<string, Probe>>();

  /** Starts a probe, as the engine's load of `version` should be over. */
  startProbe(engineId: string, model: string, version: number): void {
    const byModel = this.probes.get(engineId) ?? new Map<string, Probe>();
    this.probes.set(engineId, byModel);
    byModel.set(model, {
      version,
      sentMs: undefined,
      notBeforeMs: -Infinity,
      lastRefusalMs: undefined,
      refusals: 0,
      hasEvent: false,
    });
  }

  /** Ends the probe, as it is known whether the load is over. */
  endProbe(engineId: string, model: string): void {
    const byModel = this.probes.get(engineId);
    byModel?.delete(model);
    if (byModel?.size === 0) this.probes.delete(engineId);
  }

  forget(engineId: string): void {
    this.probes.delete(engineId);
  }

  /** Whether an item of `model` may be sent to the engine. */
  mayTake(engineId: string, model: string, nowMs: number): boolean {
    const probe = this.probes.get(engineId)?.get(model);
    if (!probe) return true;
    if (probe.sentMs === undefined) return nowMs >= probe.notBeforeMs;
    return isTaken(probe, nowMs);
  }

  recordSend(engineId: string, model: string, nowMs: number): void {
    const probe = this.probes.get(engineId)?.get(model);
    if (probe) probe.sentMs ??= nowMs;
  }

  /** Records an event that the engine generated with `version`. */
  recordEvent(engineId: string, model: string, version: number): void {
    const probe = this.probes.get(engineId)?.get(model);
    if (probe && version >= probe.version) probe.hasEvent = true;
  }

  /**
   * Records that the engine refused an item. Returns false unless its load was
   * only assumed to be over.
   */
  recordRefusal(engineId: string, model: string, nowMs: number): boolean {
    const probe = this.probes.get(engineId)?.get(model);
    if (!probe) return false;
    const pauseMs = FIRST_PAUSE_MS * 2 ** probe.refusals;
    probe.sentMs = undefined;
    probe.notBeforeMs = nowMs + Math.min(pauseMs, MAX_PAUSE_MS);
    probe.lastRefusalMs = nowMs;
    probe.refusals += 1;
    return true;
  }

  /** Records that the item sent ended without an answer of the engine. */
  recordLoss(engineId: string, model: string): void {
    const probe = this.probes.get(engineId)?.get(model);
    if (probe && !probe.hasEvent) probe.sentMs = undefined;
  }

  /** Returns what shows that the load is over, if anything does. */
  findProof(
    engineId: string,
    model: string,
    nowMs: number,
  ): ReadinessProof | undefined {
    const probe = this.probes.get(engineId)?.get(model);
    if (!probe || !isTaken(probe, nowMs)) return undefined;
    const {lastRefusalMs, refusals, hasEvent, sentMs = nowMs} = probe;
    return {lastRefusalMs, sentMs, refusals, hasEvent};
  }

  /** Returns when the engine last refused since its load was assumed over. */
  findRefusalMs(engineId: string, model: string): number | undefined {
    return this.probes.get(engineId)?.get(model)?.lastRefusalMs;
  }

  /** Returns how often the engine refused since its load was assumed over. */
  countRefusals(engineId: string, model: string): number {
    return this.probes.get(engineId)?.get(model)?.refusals ?? 0;
  }
}

function isTaken({sentMs, hasEvent}: Probe, nowMs: number): boolean {
  if (hasEvent) return true;
  return sentMs !== undefined && nowMs - sentMs >= REFUSAL_MS;
}
