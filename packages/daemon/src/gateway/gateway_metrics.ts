/** Counters and latency histograms of the gateway, as text for a scraper. */

import {build, type Histogram} from 'hdr-histogram-js';

interface RouteStats {
  readonly results: Map<string, number>;
  readonly latency: Histogram;
}

const QUANTILES: readonly number[] = [50, 90, 99];

export class GatewayMetrics {
  private readonly routes = new Map<string, RouteStats>();
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => number>();

  noteRequest(route: string, result: string, tookMs: number): void {
    let stats = this.routes.get(route);
    if (!stats) {
      const latency = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 16,
        useWebAssembly: false,
      });
      stats = {results: new Map(), latency};
      this.routes.set(route, stats);
    }
    stats.results.set(result, (stats.results.get(result) ?? 0) + 1);
    stats.latency.recordValue(Math.max(1, Math.round(tookMs)));
  }

  count(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  /** Shows what `read` returns whenever the metrics are asked for. */
  observe(name: string, read: () => number): void {
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
    for (const [route, {results, latency}] of this.routes) {
      for (const [result, value] of results) {
        lines.push(
          `radishyoke_requests_total{route="${route}",result="${result}"} ${value}`,
        );
      }
      for (const quantile of QUANTILES) {
        const ms = latency.getValueAtPercentile(quantile);
        lines.push(
          `radishyoke_latency_ms{route="${route}",quantile="${quantile / 100}"} ${ms}`,
        );
      }
    }
    return `${lines.join('\n')}\n`;
  }
}
