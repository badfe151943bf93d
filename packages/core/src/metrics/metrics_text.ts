/** Renders metrics in the Prometheus text exposition format. */

import {
  CounterName,
  COUNTERS,
  HistogramName,
  HISTOGRAMS,
  HistogramSpec,
} from './metric_schema.js';
import type {
  CounterSeries,
  HistogramSeries,
  MetricRegistry,
  SeriesKey,
} from './metrics.js';

/** Content type of the rendered text. */
export const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

const PREFIX = 'radishyoke_';
const MS_PER_SECOND = 1000;

/**
 * Renders the series that `accepts` selects. Histograms are rendered as
 * cumulative buckets, which a collector can add up over VMs, unlike percentiles.
 */
export function renderMetricsText(
  registry: MetricRegistry,
  accepts: (key: SeriesKey) => boolean,
): string {
  const histograms = registry.listHistograms().filter(accepts);
  const counters = registry.listCounters().filter(accepts);
  const lines = [
    ...(Object.keys(HISTOGRAMS) as HistogramName[]).flatMap(name =>
      renderHistogram(
        name,
        histograms.filter(series => series.name === name),
      ),
    ),
    ...(Object.keys(COUNTERS) as CounterName[]).flatMap(name =>
      renderCounter(
        name,
        counters.filter(series => series.name === name),
      ),
    ),
  ];
  return lines.map(line => `${line}\n`).join('');
}

function renderHistogram(
  name: HistogramName,
  series: readonly HistogramSeries[],
): readonly string[] {
  if (series.length === 0) return [];
  const spec: HistogramSpec = HISTOGRAMS[name];
  const scale = spec.unit === 'ms' ? MS_PER_SECOND : 1;
  const unit = spec.unit === 'ms' ? 'seconds' : spec.unit;
  const metric = `${PREFIX}${name}_${unit}`;
  const lines = [`# HELP ${metric} ${spec.help}`, `# TYPE ${metric} histogram`];
  for (const entry of series) {
    const {totalCount, mean} = entry.histogram;
    const counts = countCumulatively(entry, spec.bounds);
    spec.bounds.forEach((bound, i) => {
      const le = String(bound / scale);
      lines.push(`${metric}_bucket${renderLabels(entry, {le})} ${counts[i]}`);
    });
    const sum = totalCount === 0 ? 0 : (mean * totalCount) / scale;
    lines.push(
      `${metric}_bucket${renderLabels(entry, {le: '+Inf'})} ${totalCount}`,
      `${metric}_sum${renderLabels(entry)} ${sum}`,
      `${metric}_count${renderLabels(entry)} ${totalCount}`,
    );
  }
  return lines;
}

/** Counts the values at or below each bound, in one pass over the histogram. */
function countCumulatively(
  {histogram}: HistogramSeries,
  bounds: readonly number[],
): readonly number[] {
  const counts = bounds.map(() => 0);
  const iterator = histogram.recordedValuesIterator;
  iterator.reset();
  while (iterator.hasNext()) {
    const {valueIteratedTo, countAddedInThisIterationStep} = iterator.next();
    const value = histogram.lowestEquivalentValue(valueIteratedTo);
    bounds.forEach((bound, i) => {
      if (value <= bound) counts[i] += countAddedInThisIterationStep;
    });
  }
  return counts;
}

function renderCounter(
  name: CounterName,
  series: readonly CounterSeries[],
): readonly string[] {
  if (series.length === 0) return [];
  const {help, label} = COUNTERS[name];
  const metric = `${PREFIX}${name}_total`;
  return [
    `# HELP ${metric} ${help}`,
    `# TYPE ${metric} counter`,
    ...series.map(
      entry =>
        `${metric}${renderLabels(entry, {[label]: entry.label})} ${entry.value}`,
    ),
  ];
}

function renderLabels(
  {tenant, workClass}: SeriesKey,
  extraLabels: Readonly<Record<string, string>> = {},
): string {
  const labels = Object.entries({tenant, class: workClass, ...extraLabels});
  const pairs = labels.map(([name, value]) => `${name}="${escapeText(value)}"`);
  return `{${pairs.join(',')}}`;
}

function escapeText(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
