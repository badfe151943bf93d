/** Renders one run as a self-contained HTML page. */

import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {HISTOGRAMS} from '@radishyoke/core/metrics/metric_schema';
import {escapeHtml} from './html_text.js';
import {createTimelinePlot, StepTimeline} from './step_timeline.js';
import type {
  HistogramSeries,
  MetricRegistry,
} from '@radishyoke/core/metrics/metrics';

/** The content of a page. */
export interface RunReport {
  readonly title: string;
  /** Figures of the run, one object per JSON line. */
  readonly figures: ReadonlyArray<Readonly<Record<string, unknown>>>;
  readonly metrics: MetricRegistry;
  readonly timelines: readonly StepTimeline[];
}

/** Data of one plot: percentiles of a histogram, one line per tenant and work class. */
interface Plot {
  readonly title: string;
  readonly unit: string;
  readonly names: readonly string[];
  /** The x values, followed by the y values of each line. */
  readonly data: ReadonlyArray<readonly number[]>;
}

const PERCENTILES = [0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100];
const COLOURS = [
  '#c2185b',
  '#00796b',
  '#303f9f',
  '#f57c00',
  '#5d4037',
  '#616161',
];

const STYLE = `body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem}
table{border-collapse:collapse;margin:1rem 0}td,th{border:1px solid #ccc;padding:.2rem .6rem;text-align:left}
.plots{display:flex;flex-wrap:wrap;gap:2rem}`;

// The x axis gives each percentile the same distance: on a linear scale the tail,
// which matters most, would be squeezed together.
const SCRIPT = `for (const plot of plots) {
  const target = document.querySelector('.plots').appendChild(document.createElement('div'));
  new uPlot({
    title: plot.title, width: 440, height: 300,
    scales: {x: {time: false}},
    axes: [
      {values: (_, ticks) => ticks.map(i => percentiles[i] === undefined ? '' : 'p' + percentiles[i])},
      {label: plot.unit, size: 70},
    ],
    series: [
      {label: 'percentile', value: (_, i) => i == null ? '' : 'p' + percentiles[i]},
      ...plot.names.map((label, i) => ({label, stroke: colours[i % colours.length], width: 2})),
    ],
  }, plot.data, target);
}`;

const TIMELINE_SCRIPT = `if (timeline.names.length > 0) new uPlot({
  title: 'rollouts received', width: 900, height: 320,
  scales: {x: {time: false}},
  axes: [{label: 'seconds'}, {label: 'rollouts'}],
  series: [{label: 'seconds'},
    ...timeline.names.map((label, i) => ({label, stroke: colours[i % colours.length], width: 2}))],
}, timeline.data, document.querySelector('.timeline'));`;

/** Renders the page. */
export function renderReport(report: RunReport): string {
  const {title, figures, metrics, timelines} = report;
  const timeline = createTimelinePlot(timelines);
  const plots = createPlots(metrics.listHistograms());
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title>`,
    `<style>${readAsset('uPlot.min.css')}${STYLE}</style></head><body>`,
    `<h1>${escapeHtml(title)}</h1>`,
    ...figures.map(renderFigures),
    '<h2>Steps</h2>',
    timelines.length === 0
      ? '<p>This run holds no timelines of steps.</p>'
      : '<div class="timeline"></div>',
    '<h2>Percentiles by tenant and class</h2>',
    plots.length === 0
      ? '<p>This run holds no histograms.</p>'
      : '<div class="plots"></div>',
    '<h2>Counters</h2>',
    renderCounters(metrics),
    `<script>${readAsset('uPlot.iife.min.js')}</script>`,
    `<script>const percentiles=${toScriptLiteral(PERCENTILES)},colours=${toScriptLiteral(COLOURS)},plots=${toScriptLiteral(plots)},timeline=${toScriptLiteral(timeline)};${SCRIPT}${TIMELINE_SCRIPT}</script>`,
    '</body></html>',
    '',
  ].join('\n');
}

function createPlots(series: readonly HistogramSeries[]): readonly Plot[] {
  return Object.entries(HISTOGRAMS).flatMap(([name, {unit, help}]) => {
    const lines = series.filter(candidate => candidate.name === name);
    if (lines.length === 0) return [];
    const values = lines.map(({histogram}) =>
      PERCENTILES.map(p => histogram.getValueAtPercentile(p)),
    );
    return {
      title: `${name.replaceAll('_', ' ')}: ${help}`,
      unit,
      names: lines.map(line => `${line.tenant} ${line.workClass}`),
      data: [PERCENTILES.map((_, i) => i), ...values],
    };
  });
}

function renderFigures(figures: Readonly<Record<string, unknown>>): string {
  const rows = Object.entries(figures).map(([name, value]) => [
    name,
    typeof value === 'string' ? value : JSON.stringify(value),
  ]);
  return renderRows(['figure', 'value'], rows);
}

function renderCounters(metrics: MetricRegistry): string {
  const rows = metrics
    .listCounters()
    .map(({tenant, workClass, name, label, value}) => [
      tenant,
      workClass,
      name,
      label,
      `${value}`,
    ]);
  return renderRows(['tenant', 'class', 'counter', 'label', 'count'], rows);
}

function renderRows(
  headings: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const renderRow = (tag: string, cells: readonly string[]) =>
    `<tr>${cells.map(cell => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('')}</tr>`;
  const body = rows.map(row => renderRow('td', row)).join('\n');
  return `<table>${renderRow('th', headings)}\n${body}</table>`;
}

function readAsset(name: string): string {
  const path = createRequire(import.meta.url).resolve(`uplot/dist/${name}`);
  return readFileSync(path, 'utf8');
}

/** Encodes `value` as a JavaScript literal that can not close the surrounding script element. */
function toScriptLiteral(value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c');
}
