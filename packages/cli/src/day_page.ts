/** Renders the summary of a day as an HTML page with static SVG drawings. */

import type {
  DaySummary,
  CountsPerSecond,
  TimeSpan,
} from '@radishyoke/core/trace/day_summary';
import {escapeHtml} from './html_text.js';

const WIDTH = 900;
const LABEL_WIDTH = 170;
const ROW_HEIGHT = 16;
const BAR_HEIGHT = 11;
const PLOT_HEIGHT = 60;
const COLOURS = {
  step: '#00796b',
  late: '#c2185b',
  outage: '#f57c00',
  coordinator: '#303f9f',
  load: '#5d4037',
  count: '#616161',
} as const;

const STYLE = `body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:70rem;padding:0 1rem}
svg{display:block;margin:.5rem 0}text{font:11px system-ui,sans-serif}`;

/** One row of a drawing: a label and its bars. */
interface Row {
  readonly label: string;
  readonly bars: ReadonlyArray<TimeSpan & {readonly colour: string}>;
}

/** Renders the page. A step is drawn as late if it took longer than `dueMs` or has not ended. */
export function renderDay(
  title: string,
  day: DaySummary,
  dueMs: number,
): string {
  const text = escapeHtml(title);
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${text}</title>`,
    `<style>${STYLE}</style></head><body><h1>${text}</h1>`,
    `<p>${((day.toMs - day.fromMs) / 1e3).toFixed(1)} s; ${day.steps.length} batches, ${countLate(day, dueMs)} of them over ${dueMs} ms; ${day.loads.length} loads.</p>`,
    '<h2>Batches</h2>',
    drawRows(day, listSteps(day, dueMs)),
    '<h2>Coordinator, and VMs out of touch with the log</h2>',
    drawRows(day, listVms(day)),
    '<h2>Loads by engine</h2>',
    drawRows(day, listLoads(day)),
    '<h2>Requests a second, by outcome</h2>',
    ...day.requests.map(counts => drawCounts(day, counts)),
    '</body></html>',
    '',
  ].join('\n');
}

function countLate({steps}: DaySummary, dueMs: number): number {
  return steps.filter(step => isLate(step, dueMs)).length;
}

function isLate({fromMs, toMs}: TimeSpan, dueMs: number): boolean {
  return toMs === undefined || toMs - fromMs > dueMs;
}

function listSteps({steps}: DaySummary, dueMs: number): readonly Row[] {
  return steps.map(step => ({
    label: `${step.model} ${step.step} (${step.results})`,
    bars: [
      {
        ...step,
        colour: isLate(step, dueMs) ? COLOURS.late : COLOURS.step,
      },
    ],
  }));
}

function listVms({outages, coordinators}: DaySummary): readonly Row[] {
  const bars = [
    ...coordinators.map(span => ({...span, colour: COLOURS.coordinator})),
    ...outages.map(span => ({...span, colour: COLOURS.outage})),
  ];
  return groupRows(bars, ({vm}) => vm);
}

function listLoads({loads}: DaySummary): readonly Row[] {
  const markWidthMs = 150;
  const bars = loads.map(load => ({
    ...load,
    fromMs: load.atMs,
    toMs: load.atMs + markWidthMs,
    colour: COLOURS.load,
  }));
  return groupRows(bars, ({endpoint}) => endpoint);
}

function groupRows<T extends TimeSpan & {readonly colour: string}>(
  bars: readonly T[],
  toLabel: (bar: T) => string,
): readonly Row[] {
  const rows = new Map<string, T[]>();
  for (const bar of bars) {
    const label = toLabel(bar);
    rows.set(label, [...(rows.get(label) ?? []), bar]);
  }
  return [...rows]
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([label, rowBars]) => ({label, bars: rowBars}));
}

function drawRows(day: DaySummary, rows: readonly Row[]): string {
  if (rows.length === 0) return '<p>None.</p>';
  const height = rows.length * ROW_HEIGHT;
  const lines = rows.map(({label, bars}, i) => {
    const y = i * ROW_HEIGHT;
    const rects = bars.map(({fromMs, toMs = day.toMs, colour}) => {
      const x = toX(day, fromMs);
      const width = Math.max(toX(day, toMs) - x, 1).toFixed(1);
      return `<rect x="${x.toFixed(1)}" y="${y + 2}" width="${width}" height="${BAR_HEIGHT}" fill="${colour}"/>`;
    });
    return `<text x="0" y="${y + 12}">${escapeHtml(label)}</text>${rects.join('')}`;
  });
  return drawSvg(height, lines.join('\n'));
}

function drawCounts(day: DaySummary, {name, counts}: CountsPerSecond): string {
  const maxCount = Math.max(...counts);
  const rects = counts.map((count, second) => {
    const height = (count / maxCount) * PLOT_HEIGHT;
    const x = toX(day, day.fromMs + second * 1e3).toFixed(1);
    const y = (PLOT_HEIGHT - height).toFixed(1);
    return `<rect x="${x}" y="${y}" width="3" height="${height.toFixed(1)}" fill="${COLOURS.count}"/>`;
  });
  const label = `<text x="0" y="12">${escapeHtml(name)}</text><text x="0" y="26">most: ${maxCount}</text>`;
  return drawSvg(PLOT_HEIGHT, label + rects.join(''));
}

function drawSvg(height: number, content: string): string {
  return `<svg width="${WIDTH + LABEL_WIDTH}" height="${height}">${content}</svg>`;
}

function toX({fromMs, toMs}: DaySummary, atMs: number): number {
  return LABEL_WIDTH + ((atMs - fromMs) / Math.max(toMs - fromMs, 1)) * WIDTH;
}
