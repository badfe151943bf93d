/** Tracks the weight versions, loads and order counts of engines on the coordinator, from their list entries, reports, runs and orders. */

import type {EngineView} from '@radishyoke/core/batches/engine_health';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import type {ServiceSpec} from '@radishyoke/core/routing/route_table';
import type {EngineReport} from '../endpoints/endpoint_protocol.js';

/** A load is assumed to have ended after this time if no report shows its end, ms. */
const MAX_LOAD_MS = 6000;

interface EngineState {
  startedAtMs: number;
  readonly versions: Map<string, number>;
  /** Models that are being loaded, with the steady ms at which the load was recorded. */
  readonly loading: Map<string, number>;
  /** Highest number of orders that the engine is known to have accepted. */
  orders: number;
}

export class EngineFleet {
  private readonly states = new Map<string, EngineState>();

  constructor(private readonly roster: EndpointRoster) {}

  /** Lists the engines of `services` that may be given items; draining ones are left out. */
  describe(
    services: readonly ServiceSpec[],
    nowMs: number,
  ): readonly EngineView[] {
    const views: EngineView[] = [];
    for (const {name, engine} of services) {
      if (!engine) continue;
      for (const entry of this.roster.listUsable(name, nowMs)) {
        const state = this.openState(entry);
        views.push({
          id: entry.id,
          service: name,
          slots: Math.min(entry.slots, engine.slots),
          kvTokens: engine.kvTokens,
          versions: state.versions,
          loading: this.listLoading(state, nowMs),
        });
      }
    }
    return views;
  }

  /** Records the weight versions of a list entry. */
  recordEntry(entry: EndpointEntry): void {
    const state = this.openState(entry);
    for (const {model, version} of entry.models) {
      this.raiseVersion(state, model, version);
    }
  }

  recordReport(entry: EndpointEntry, report: EngineReport): void {
    const state = this.openState(entry);
    state.orders = Math.max(state.orders, report.orders);
    for (const {model, version} of report.models) {
      this.raiseVersion(state, model, version);
    }
  }

  /** Sets the version of an engine, even to a lower one. The caller must be certain of it; the most reliable source is an event that the engine generated. */
  recordVersion(engineId: string, model: string, version: number): void {
    this.states.get(engineId)?.versions.set(model, version);
  }

  /**
   * Records a load as finished because its expected time is over. The engine's
   * report shows the end a few hundred ms later; until then items are sent, and
   * the engine refuses them if it is still loading.
   */
  assumeLoaded(entry: EndpointEntry, model: string, version: number): void {
    const state = this.openState(entry);
    this.raiseVersion(state, model, version);
    state.loading.delete(model);
  }

  /** Records that the engine is loading `model` or is about to. */
  recordLoadStart(entry: EndpointEntry, model: string, nowMs: number): void {
    this.openState(entry).loading.set(model, nowMs);
  }

  /** Counts an order that the engine accepted. */
  countOrder(entry: EndpointEntry): void {
    this.openState(entry).orders += 1;
  }

  recordLoadEnd(engineId: string, model: string): void {
    this.states.get(engineId)?.loading.delete(model);
  }

  getOrders(entry: EndpointEntry): number {
    return this.openState(entry).orders;
  }

  getVersion(engineId: string, model: string): number {
    return this.states.get(engineId)?.versions.get(model) ?? 0;
  }

  forget(engineId: string): void {
    this.states.delete(engineId);
  }

  private listLoading(state: EngineState, nowMs: number): ReadonlySet<string> {
    for (const [model, sinceMs] of state.loading) {
      if (nowMs - sinceMs > MAX_LOAD_MS) state.loading.delete(model);
    }
    return new Set(state.loading.keys());
  }

  /** Raises the version, never lowers it: reports lag, and a restart keeps the version. */
  private raiseVersion(
    state: EngineState,
    model: string,
    version: number,
  ): void {
    const current = state.versions.get(model) ?? 0;
    if (version > current) state.versions.set(model, version);
  }

  private openState(entry: EndpointEntry): EngineState {
    const existing = this.states.get(entry.id);
    if (existing && existing.startedAtMs === entry.startedAtMs) return existing;
    const state: EngineState = {
      startedAtMs: entry.startedAtMs,
      versions: new Map(
        entry.models.map(({model, version}) => [model, version]),
      ),
      loading: new Map(),
      orders: 0,
    };
    this.states.set(entry.id, state);
    return state;
  }
}
