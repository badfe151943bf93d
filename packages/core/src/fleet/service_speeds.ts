/**
 * Chooses the speed model of each service: `AdaptiveSpeedModel` once one of its
 * engines has reported a slowdown, and for all services while capacity is
 * contended; `SpeedTracker` otherwise.
 */

import {AdaptiveSpeedModel} from './adaptive_speed_model.js';
import {findLowerMedian} from './lower_median.js';
import {type SpeedForecast, SpeedModel} from './speed_model.js';
import {SpeedTracker} from './speed_tracker.js';

/** Speeds of the engines of all services, each by the model of its service. */
export class ServiceSpeeds extends SpeedModel {
  private readonly tracker = new SpeedTracker();
  private readonly adaptive = new Map<string, AdaptiveSpeedModel>();
  private services: ReadonlyMap<string, string> = new Map();

  constructor(private readonly isCapacityContended: boolean) {
    super();
  }

  /** Sets the service of each engine. */
  setServices(services: ReadonlyMap<string, string>): void {
    this.services = services;
    if (!this.isCapacityContended) return;
    for (const service of services.values()) this.openAdaptive(service);
  }

  /** The adaptive models, by service. */
  get adaptiveModels(): ReadonlyMap<string, AdaptiveSpeedModel> {
    return this.adaptive;
  }

  /** Records the slowdown of its machine that an engine states. */
  reportSlowdown(engineId: string, slowdown: number, nowMs: number): void {
    const service = this.services.get(engineId);
    if (service === undefined || !Number.isFinite(slowdown)) return;
    this.openAdaptive(service).reportSlowdown(engineId, slowdown, nowMs);
  }

  record(engineId: string, gapMs: number, runs: number, nowMs: number): void {
    // The tracker compares the engines of all services, so it gets all samples
    // as long as any service may need it.
    if (!this.isCapacityContended) {
      this.tracker.record(engineId, gapMs, runs, nowMs);
    }
    this.findAdaptive(engineId)?.record(engineId, gapMs, runs, nowMs);
  }

  forget(engineId: string): void {
    this.tracker.forget(engineId);
    for (const model of this.adaptive.values()) model.forget(engineId);
  }

  forecast(engineId: string, nowMs: number): SpeedForecast {
    return this.findModel(engineId).forecast(engineId, nowMs);
  }

  predictGapMs(engineId: string, runs: number, nowMs: number): number {
    return this.findModel(engineId).predictGapMs(engineId, runs, nowMs);
  }

  /** With several adaptive models, the median of their typical paces. */
  findTypicalPaceMs(nowMs: number): number | undefined {
    if (this.adaptive.size === 0) return this.tracker.findTypicalPaceMs(nowMs);
    const paces = [...this.adaptive.values()].flatMap(
      model => model.findTypicalPaceMs(nowMs) ?? [],
    );
    return findLowerMedian(paces);
  }

  listSlow(nowMs: number): ReadonlySet<string> {
    const tracked = this.tracker.listSlow(nowMs);
    if (this.adaptive.size === 0) return tracked;
    const slow = new Set<string>();
    for (const id of tracked) if (!this.findAdaptive(id)) slow.add(id);
    for (const model of this.adaptive.values()) {
      for (const id of model.listSlow(nowMs)) slow.add(id);
    }
    return slow;
  }

  private findModel(engineId: string): SpeedModel {
    return this.findAdaptive(engineId) ?? this.tracker;
  }

  private findAdaptive(engineId: string): AdaptiveSpeedModel | undefined {
    return this.adaptive.get(this.services.get(engineId) ?? '');
  }

  private openAdaptive(service: string): AdaptiveSpeedModel {
    let model = this.adaptive.get(service);
    if (!model) {
      model = new AdaptiveSpeedModel();
      this.adaptive.set(service, model);
    }
    return model;
  }
}
