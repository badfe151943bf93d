/**
 * Histograms and counters by tenant and class. The number of series is bounded
 * whatever callers send, and series of several VMs are merged as histograms:
 * percentiles are taken after the merge and never averaged.
 */

import {
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  Int32Histogram,
} from 'hdr-histogram-js';
import {createError} from '@radishyoke/shared/error_kind';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {CounterName, HistogramName, HISTOGRAMS} from './metric_schema.js';
import type {WorkClass} from '../scheduling/scheduler.js';

/** What a series belongs to. */
export interface SeriesKey {
  readonly tenant: string;
  readonly workClass: WorkClass;
}

export interface HistogramSeries extends SeriesKey {
  readonly name: HistogramName;
  readonly histogram: Int32Histogram;
}

export interface CounterSeries extends SeriesKey {
  readonly name: CounterName;
  readonly label: string;
  readonly value: number;
}

/** All series as plain data, for other VMs and for files. */
export interface EncodedMetrics {
  readonly series: ReadonlyArray<
    SeriesKey & {
      readonly name: HistogramName;
      /** Compressed HdrHistogram, base64. */
      readonly encoded: string;
    }
  >;
  readonly counters: readonly CounterSeries[];
}

/** Percentiles of one series, for people. */
export interface HistogramSummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Tenant and label under which everything over the bound is counted. */
export const OVERFLOW_SERIES = 'other';
/** Most tenants with series of their own. */
export const MAX_TENANT_SERIES = 32;
/** Most labels that one counter keeps apart for one tenant and class. */
export const MAX_COUNTER_LABELS = 128;

/** Largest value kept apart: an hour in ms. Greater ones count as this. */
const MAX_VALUE = 3_600_000;
/** Two digits: a value is known to one per cent, a histogram takes 9 KiB. */
const SIGNIFICANT_DIGITS = 2;
const BUCKET_BITS = 32;

interface Counter extends SeriesKey {
  readonly name: CounterName;
  readonly values: Map<string, number>;
}

/** One instance a VM; also what several VMs' series are merged into. */
export class MetricRegistry {
  private readonly tenants = new Set<string>();
  private readonly histograms = new Map<string, HistogramSeries>();
  private readonly counters = new Map<string, Counter>();

  /** Adds `value` (at least 0, rounded) to a histogram. */
  recordValue(
    name: HistogramName,
    tenant: string,
    workClass: WorkClass,
    value: number,
  ): void {
    const bounded = Math.min(Math.max(0, Math.round(value)), MAX_VALUE);
    this.getOrCreateHistogram(name, tenant, workClass).recordValue(bounded);
  }

  /** Adds `by` to a counter. */
  addCount(
    name: CounterName,
    tenant: string,
    workClass: WorkClass,
    label = '',
    increment = 1,
  ): void {
    const {values} = this.getOrCreateCounter(name, tenant, workClass);
    const hasRoom = values.has(label) || values.size < MAX_COUNTER_LABELS;
    const seriesLabel = hasRoom ? label : OVERFLOW_SERIES;
    values.set(seriesLabel, (values.get(seriesLabel) ?? 0) + increment);
  }

  listHistograms(): readonly HistogramSeries[] {
    return [...this.histograms.values()];
  }

  listCounters(): readonly CounterSeries[] {
    return [...this.counters.values()].flatMap(
      ({name, tenant, workClass, values}) =>
        [...values].map(([label, value]) => ({
          name,
          tenant,
          workClass,
          label,
          value,
        })),
    );
  }

  /** Percentiles over all series of `name` that `accepts` picks. */
  summarize(
    name: HistogramName,
    accepts: (key: SeriesKey) => boolean = () => true,
  ): HistogramSummary {
    const merged = createHistogram();
    for (const series of this.histograms.values()) {
      if (series.name === name && accepts(series)) merged.add(series.histogram);
    }
    return {
      count: merged.totalCount,
      mean: merged.totalCount === 0 ? 0 : merged.mean,
      p50: merged.getValueAtPercentile(50),
      p90: merged.getValueAtPercentile(90),
      p99: merged.getValueAtPercentile(99),
      max: merged.getValueAtPercentile(100),
    };
  }

  encode(): EncodedMetrics {
    const series = this.listHistograms().map(
      ({name, tenant, workClass, histogram}) => ({
        name,
        tenant,
        workClass,
        encoded: encodeIntoCompressedBase64(histogram),
      }),
    );
    return {series, counters: this.listCounters()};
  }

  /** Adds another VM's series to these. Changes nothing if any can't be read. */
  merge(encoded: EncodedMetrics): Result<void> {
    const decoded: HistogramSeries[] = [];
    for (const series of encoded.series) {
      const histogram = decodeHistogram(series.encoded);
      if (!histogram || !Object.hasOwn(HISTOGRAMS, series.name)) {
        const detail = `unreadable histogram ${series.name}`;
        return fail(createError('bad_request', detail));
      }
      decoded.push({...series, histogram});
    }
    for (const {name, tenant, workClass, histogram} of decoded) {
      this.getOrCreateHistogram(name, tenant, workClass).add(histogram);
    }
    for (const {name, tenant, workClass, label, value} of encoded.counters) {
      this.addCount(name, tenant, workClass, label, value);
    }
    return succeed(undefined);
  }

  private getOrCreateHistogram(
    name: HistogramName,
    tenant: string,
    workClass: WorkClass,
  ): Int32Histogram {
    const seriesTenant = this.limitTenant(tenant);
    const key = `${name}/${workClass}/${seriesTenant}`;
    let series = this.histograms.get(key);
    if (!series) {
      series = {
        name,
        tenant: seriesTenant,
        workClass,
        histogram: createHistogram(),
      };
      this.histograms.set(key, series);
    }
    return series.histogram;
  }

  private getOrCreateCounter(
    name: CounterName,
    tenant: string,
    workClass: WorkClass,
  ): Counter {
    const seriesTenant = this.limitTenant(tenant);
    const key = `${name}/${workClass}/${seriesTenant}`;
    let counter = this.counters.get(key);
    if (!counter) {
      counter = {name, tenant: seriesTenant, workClass, values: new Map()};
      this.counters.set(key, counter);
    }
    return counter;
  }

  /**
   * A caller that invents a tenant with each request would add a series with
   * each; it shows as memory that grows without load. All beyond the bound
   * share one series.
   */
  private limitTenant(tenant: string): string {
    if (this.tenants.has(tenant)) return tenant;
    if (this.tenants.size >= MAX_TENANT_SERIES) return OVERFLOW_SERIES;
    this.tenants.add(tenant);
    return tenant;
  }
}

function createHistogram(): Int32Histogram {
  return new Int32Histogram(1, MAX_VALUE, SIGNIFICANT_DIGITS);
}

function decodeHistogram(encoded: string): Int32Histogram | undefined {
  try {
    const decoded = decodeFromCompressedBase64(encoded, BUCKET_BITS, false);
    const copy = createHistogram();
    copy.add(decoded as Int32Histogram);
    return copy;
  } catch {
    return undefined;
  }
}
