/**
 * Counters, gauges and latency histograms of the gateway, rendered as text for a
 * scraper. Label values are rules, accounts, kinds of calls and outcomes, and the
 * number of series is limited.
 */

// Imports one module of the package, since its main module also loads a log
// writer, a number formatter and a compressor, which take a fifth of the memory
// of a VM that has just started.
import histograms from 'hdr-histogram-js/dist/Int16Histogram.js';

type LatencyHistogram = InstanceType<typeof histograms.default>;

/** Families of series that are counted by outcome and timed, with their label and latency names. */
const FAMILIES = {
  requests: {label: 'route', latency: 'latency_ms'},
  accounts: {label: 'account', latency: 'account_latency_ms'},
  store_calls: {label: 'call', latency: 'store_call_ms'},
} as const;

export type ResultFamily = keyof typeof FAMILIES;

interface ResultStats {
  readonly family: ResultFamily;
  readonly name: string;
  readonly results: Map<string, number>;
  readonly latency: LatencyHistogram;
}

/** Initial upper bound of the histograms, ms; the time limits of routes are far below it. */
const MAX_LATENCY_MS = 60_000;
/** Significant digits of recorded latencies. A precision of 1% is finer than any threshold on them. */
const LATENCY_DIGITS = 2;
const QUANTILES: readonly number[] = [50, 90, 99];
/** Maximum number of series over all families. Series of removed rules stay until the process restarts. */
const MAX_SERIES = 500;

/** Maximum number of series of one family of gauges. */
const MAX_GAUGES_PER_FAMILY = 50;

/** Gauges of one name that differ in the value of one label. */
interface GaugeFamily {
  readonly label: string;
  /** Returns pairs of label value and gauge value. */
  readonly read: () => ReadonlyArray<readonly [string, number]>;
}

export class GatewayMetrics {
  private readonly stats = new Map<string, ResultStats>();
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => number>();
  private readonly gaugeFamilies = new Map<string, GaugeFamily>();

  /** Counts one `result` in the series `name` of a family, and records its latency. */
  recordResult(
    family: ResultFamily,
    name: string,
    result: string,
    tookMs: number,
  ): void {
    const stats = this.openStats(family, name);
    if (!stats) return;
    stats.results.set(result, (stats.results.get(result) ?? 0) + 1);
    stats.latency.recordValue(Math.max(1, Math.round(tookMs)));
  }

  count(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /** Registers a gauge whose value `read` returns at each scrape. */
  registerGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Removes a gauge whose value this VM no longer knows. */
  removeGauge(name: string): void {
    this.gauges.delete(name);
  }

  /** Registers gauges that are told apart by `label`; `read` returns their values at each scrape. */
  registerGaugeFamily(
    name: string,
    label: string,
    read: GaugeFamily['read'],
  ): void {
    this.gaugeFamilies.set(name, {label, read});
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    const lines: string[] = [];
    for (const [name, value] of this.counters) {
      lines.push(`radishyoke_${name}_total ${value}`);
    }
    for (const [name, read] of this.gauges) {
      lines.push(`radishyoke_${name} ${read()}`);
    }
    for (const [name, {label, read}] of this.gaugeFamilies) {
      for (const [key, value] of read().slice(0, MAX_GAUGES_PER_FAMILY)) {
        lines.push(`radishyoke_${name}{${label}="${key}"} ${value}`);
      }
    }
    for (const stats of this.stats.values()) lines.push(...renderStats(stats));
    return `${lines.join('\n')}\n`;
  }

  private openStats(
    family: ResultFamily,
    name: string,
  ): ResultStats | undefined {
    const key = `${family} ${name}`;
    const existing = this.stats.get(key);
    if (existing) return existing;
    if (this.stats.size >= MAX_SERIES) {
      this.count('series_dropped');
      return undefined;
    }
    const latency = new histograms.default(1, MAX_LATENCY_MS, LATENCY_DIGITS);
    latency.autoResize = true;
    const stats = {family, name, results: new Map<string, number>(), latency};
    this.stats.set(key, stats);
    return stats;
  }
}

function renderStats(stats: ResultStats): readonly string[] {
  const {family, name, results, latency} = stats;
  const {label, latency: latencyName} = FAMILIES[family];
  const lines = [...results].map(
    ([result, value]) =>
      `radishyoke_${family}_total{${label}="${name}",result="${result}"} ${value}`,
  );
  for (const quantile of QUANTILES) {
    const ms = latency.getValueAtPercentile(quantile);
    lines.push(
      `radishyoke_${latencyName}{${label}="${name}",quantile="${quantile / 100}"} ${ms}`,
    );
  }
  return lines;
}
