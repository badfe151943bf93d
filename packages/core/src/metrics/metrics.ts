/**
 * Histograms and counters by tenant and class. The number of series is bounded
 * regardless of what callers send. Series of several VMs are merged as
 * histograms; percentiles are computed after the merge and never averaged.
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

/** The tenant and class that a series belongs to. */
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

/** All series as plain data, to be sent to other VMs and stored in files. */
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

/** Summary statistics of a histogram. */
export interface HistogramSummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/**
 * Tenant and label that collect everything beyond the limits on series and
 * labels.
 */
export const OVERFLOW_SERIES = 'other';
/** Maximum number of tenants with their own series. */
export const MAX_TENANT_SERIES = 32;
/** Maximum number of distinct labels per counter, tenant and class. */
export const MAX_COUNTER_LABELS = 128;

/** Largest recordable value: an hour in ms. Greater values are clamped to it. */
const MAX_VALUE = 3_600_000;
/** Two digits give a precision of one per cent, at 9 KiB per histogram. */
const SIGNIFICANT_DIGITS = 2;
const BUCKET_BITS = 32;

interface Counter extends SeriesKey {
  readonly name: CounterName;
  readonly values: Map<string, number>;
}

/** Holds the series of one VM, or the merged series of several VMs. */
export class MetricRegistry {
  private readonly tenants = new Set<string>();
  private readonly histograms = new Map<string, HistogramSeries>();
  private readonly counters = new Map<string, Counter>();

  /**
   * Adds `value` to a histogram, rounded and clamped to the range from 0 to
   * `MAX_VALUE`.
   */
  recordValue(
    name: HistogramName,
    tenant: string,
    workClass: WorkClass,
    value: number,
  ): void {
    const bounded = Math.min(Math.max(0, Math.round(value)), MAX_VALUE);
    this.getOrCreateHistogram(name, tenant, workClass).recordValue(bounded);
  }

  /** Adds `increment` to a counter. */
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

  /** Merges the series of `name` that `accepts` selects and summarizes them. */
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

  /**
   * Adds the series of another VM; fails without any change if one cannot be
   * decoded.
   */
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
   * Returns the tenant under which to count. All tenants beyond the limit share
   * one, because a caller that sends a new tenant name with each request would
   * otherwise add series, and memory would grow without load.
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
