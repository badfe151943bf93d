/**
 * Counters and latency histograms of the gateway, as text for a scraper. Series
 * are bounded: their labels are rules, kinds of calls and kinds of outcomes.
 */

// The package's main module also loads its log writer, a number formatter and a
// compressor, which cost a fifth of the memory of a VM that has just started.
import histograms from 'hdr-histogram-js/dist/Int16Histogram.js';

type LatencyHistogram = InstanceType<typeof histograms.default>;

/** What is counted by outcome and timed, with the name of its label. */
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

/** Latencies up to here are told apart; a route's own time limit is far below. */
const MAX_LATENCY_MS = 60_000;
/** Significant digits kept: 1 in 100 is finer than any threshold on them. */
const LATENCY_DIGITS = 2;
const QUANTILES: readonly number[] = [50, 90, 99];
/** Labels of one family at most; rules that were removed keep theirs until the next start. */
const MAX_SERIES = 500;

export class GatewayMetrics {
  private readonly stats = new Map<string, ResultStats>();
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => number>();

  /** Counts one thing of a family that ended as `result` after `tookMs`. */
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

  /** Shows what `read` returns whenever the metrics are asked for. */
  registerGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** All metrics in the text format that scrapers read. */
  render(): string {
    const lines: string[] = [];
    for (const [name, value] of this.counters) {
      lines.push(`radishyoke_${name}_total ${value}`);
    }
    for (const [name, read] of this.gauges) {
      lines.push(`radishyoke_${name} ${read()}`);
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
