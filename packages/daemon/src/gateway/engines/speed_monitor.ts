/**
 * Shows operators the speeds that the coordinator has learned: a line when an
 * engine becomes slow or is no longer slow, a periodic summary of each service,
 * and gauges by class of engine.
 */

import type {
  AdaptiveSpeedModel,
  SpeedClass,
} from '@radishyoke/core/fleet/adaptive_speed_model';
import type {ServiceSpeeds} from '@radishyoke/core/fleet/service_speeds';
import type {EventLogger} from '../../logger.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {VmClock} from '../vm_clock.js';

/** Dependencies of `SpeedMonitor`. */
export interface SpeedMonitorDeps {
  readonly metrics: GatewayMetrics;
  readonly clock: VmClock;
  readonly logger: EventLogger;
}

/** Interval of the summaries, ms. */
const SUMMARY_MS = 10_000;
/** Maximum number of services with gauges, which bounds the number of series. */
const MAX_SERVICES = 20;
const CLASSES: readonly SpeedClass[] = ['fast', 'typical', 'slow'];

/** Logs and gauges of one coordinator's engine speeds. */
export class SpeedMonitor {
  /** Slow engines and their services. */
  private slow: ReadonlyMap<string, string> = new Map();
  private readonly services = new Set<string>();
  private readonly gauges: string[] = [];
  private summarizedMs = -Infinity;

  constructor(
    private readonly speeds: ServiceSpeeds,
    private readonly deps: SpeedMonitorDeps,
  ) {}

  /** Logs what has changed, and the summaries once they are due. */
  check(nowMs: number): void {
    const {adaptiveModels} = this.speeds;
    if (adaptiveModels.size === 0) return;
    this.logSlow(adaptiveModels, nowMs);
    if (nowMs - this.summarizedMs < SUMMARY_MS) return;
    this.summarizedMs = nowMs;
    for (const [service, model] of adaptiveModels) {
      this.registerGauges(service, model);
      this.logSummary(service, model, nowMs);
    }
  }

  /** Removes the gauges, as another VM is the coordinator from now on. */
  stop(): void {
    for (const name of this.gauges) this.deps.metrics.removeGauge(name);
  }

  private logSlow(
    models: ReadonlyMap<string, AdaptiveSpeedModel>,
    nowMs: number,
  ): void {
    const slow = new Map<string, string>();
    for (const [service, model] of models) {
      for (const id of model.listSlow(nowMs)) {
        slow.set(id, service);
        if (!this.slow.has(id)) this.logBecameSlow(id, service, model, nowMs);
      }
    }
    for (const [endpoint, service] of this.slow) {
      if (slow.has(endpoint)) continue;
      const speed = models.get(service)?.describe(endpoint, nowMs);
      const outcome = speed?.presentMs === undefined ? 'unknown' : 'recovered';
      const fields = {endpoint, service, outcome};
      this.deps.logger.log('info', 'engine no longer slow', fields);
    }
    this.slow = slow;
  }

  private logBecameSlow(
    endpoint: string,
    service: string,
    model: AdaptiveSpeedModel,
    nowMs: number,
  ): void {
    const speed = model.describe(endpoint, nowMs);
    if (!speed) return;
    this.deps.metrics.count('engines_became_slow');
    this.deps.logger.log('info', 'engine became slow', {
      endpoint,
      service,
      usualMs: Math.round(speed.usualMs),
      presentMs: Math.round(speed.presentMs ?? 0),
      slowdown: speed.slowdown,
    });
  }

  private logSummary(
    service: string,
    model: AdaptiveSpeedModel,
    nowMs: number,
  ): void {
    const {growthPerRun, classes} = model.summarize(nowMs);
    const {fast, typical, slow} = classes;
    this.deps.logger.log('info', 'engine speeds', {
      service,
      growthPerRun: roundShare(growthPerRun),
      fast: fast.engines,
      typical: typical.engines,
      slow: slow.engines,
      fastMs: Math.round(fast.usualMs),
      typicalMs: Math.round(typical.usualMs),
      slowMs: Math.round(slow.usualMs),
      slowed: fast.slowed + typical.slowed + slow.slowed,
    });
  }

  private registerGauges(service: string, model: AdaptiveSpeedModel): void {
    if (this.services.has(service) || this.services.size >= MAX_SERVICES) {
      return;
    }
    this.services.add(service);
    const labels = `service="${service}"`;
    this.registerGauge(`engine_growth_per_run{${labels}}`, () =>
      roundShare(model.growthPerRun),
    );
    for (const name of CLASSES) {
      const series = `{${labels},class="${name}"}`;
      const read = () => model.summarize(this.deps.clock.now()).classes[name];
      this.registerGauge(`engines_by_speed${series}`, () => read().engines);
      this.registerGauge(`engines_slowed${series}`, () => read().slowed);
      this.registerGauge(`engine_usual_pace_ms${series}`, () =>
        Math.round(read().usualMs),
      );
      this.registerGauge(`engine_present_pace_ms${series}`, () =>
        Math.round(read().presentMs),
      );
    }
  }

  private registerGauge(name: string, read: () => number): void {
    this.gauges.push(name);
    this.deps.metrics.registerGauge(name, read);
  }
}

/** Rounds a small share to the fourth decimal place. */
function roundShare(share: number): number {
  return Math.round(share * 10_000) / 10_000;
}
