/** What the coordinator knows of the engines: the list's word, and what it learned since. */

import type {EngineView} from '@radishyoke/core/batches/engine_health';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {EndpointRoster} from '@radishyoke/core/fleet/endpoint_roster';
import type {ServiceSpec} from '@radishyoke/core/routing/route_table';
import type {EngineReport} from '../endpoints/endpoint_protocol.js';

/** An engine that is not heard to have finished a load for this long is taken to have, ms. */
const MAX_LOAD_MS = 6000;

interface EngineState {
  startedAtMs: number;
  readonly versions: Map<string, number>;
  /** Models that load, with the steady ms at which the order was accepted. */
  readonly loading: Map<string, number>;
  /** Orders accepted, as far as known. */
  orders: number;
}

export class EngineFleet {
  private readonly states = new Map<string, EngineState>();

  constructor(private readonly roster: EndpointRoster) {}

  /** Engines of `services` that may get work; leaving ones are not among them. */
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

  /** Takes the versions of a list entry. */
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

  /** An event of a run was made under `version`: nothing is more certain. */
  recordVersion(engineId: string, model: string, version: number): void {
    this.states.get(engineId)?.versions.set(model, version);
  }

  /**
   * The engine should have finished a load by now. Its report says so some
   * hundred ms later; until then items are tried, and refused where it has not.
   */
  assumeLoaded(entry: EndpointEntry, model: string, version: number): void {
    const state = this.openState(entry);
    this.raiseVersion(state, model, version);
    state.loading.delete(model);
  }

  /** The engine is about to load `model`, or does. */
  recordLoadStart(entry: EndpointEntry, model: string, nowMs: number): void {
    this.openState(entry).loading.set(model, nowMs);
  }

  /** The engine accepted an order. */
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

  /** Versions only rise: reports lag, and a restart keeps the version. */
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
