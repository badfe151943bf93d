/**
 * `radishyoke report`: writes an HTML page. It shows a run, read from a file of
 * JSON lines such as the output of `demo` or `measure`; a day, read from logs of
 * VMs; or, without a file, the current figures of running VMs.
 */

import {readFile, writeFile} from 'node:fs/promises';
import {z} from 'zod';
import {EncodedMetrics, MetricRegistry} from '@radishyoke/core/metrics/metrics';
import {ADMIN_ANSWERS} from '@radishyoke/daemon/admin/admin_schema';
import {summarizeDay} from '@radishyoke/core/trace/day_summary';
import {parseTraceLines} from '@radishyoke/core/trace/trace_line';
import {createClients} from './admin_client.js';
import {AdminRun, reportFailure} from './admin_commands.js';
import {renderDay} from './day_page.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';
import {requireOption} from './raw_option.js';
import {renderReport, RunReport} from './report_page.js';
import {StepTimeline, stepTimelineSchema} from './step_timeline.js';
import {UsageError} from './usage_error.js';

/**
 * Duration above which a step is drawn as late, ms; the users' routes allow this long.
 */
const DUE_MS = 7500;

/** A JSON line of a run: figures, and optionally histograms and step timelines. */
const runLineSchema = z.looseObject({
  metrics: ADMIN_ANSWERS.histograms.optional(),
  timelines: z.array(stepTimelineSchema).optional(),
});

/** Writes the page for `file`, or for the VMs given by `--admin` if there is no file. */
export async function runReport(
  run: AdminRun,
  file: string | undefined,
): Promise<ExitCode> {
  const out = requireOption(run.rawArgs, 'out');
  const page = file === undefined ? await queryVms(run) : await readPage(file);
  if (typeof page === 'number') return page;
  await writeFile(out, page);
  run.io.writeErr(`${out} is written`);
  return EXIT_CODES.ok;
}

/** Renders the page of a file: a day if it contains logs of VMs, otherwise a run. */
async function readPage(file: string): Promise<string> {
  const text = await readFile(file, 'utf8');
  const day = summarizeDay(parseTraceLines(text));
  if (day) return renderDay(`Radishyoke: ${file}`, day, DUE_MS);
  return renderReport(readRun(file, text));
}

async function queryVms(run: AdminRun): Promise<string | ExitCode> {
  const metrics = new MetricRegistry();
  const figures: Array<Readonly<Record<string, unknown>>> = [];
  for (const client of createClients(run.io, run.rawArgs)) {
    const status = await client.get('status', 'status');
    if (!status.ok) return reportFailure(run.io, status.error);
    const histograms = await client.get('histograms', 'histograms');
    if (!histograms.ok) return reportFailure(run.io, histograms.error);
    figures.push(status.value);
    mergeMetrics(metrics, histograms.value as EncodedMetrics);
  }
  const title = 'Radishyoke: figures of running VMs';
  return renderReport({title, figures, metrics, timelines: []});
}

function readRun(file: string, text: string): RunReport {
  const metrics = new MetricRegistry();
  const figures: Array<Readonly<Record<string, unknown>>> = [];
  const timelines: StepTimeline[] = [];
  for (const line of text.split('\n')) {
    const parsed = runLineSchema.safeParse(parseJson(line));
    if (!parsed.success) continue;
    const {metrics: encoded, timelines: steps = [], ...rest} = parsed.data;
    figures.push(rest);
    timelines.push(...steps);
    if (encoded) mergeMetrics(metrics, encoded as EncodedMetrics);
  }
  if (figures.length === 0) {
    throw new UsageError(`${file} holds no line with a JSON object`);
  }
  return {title: `Radishyoke: ${file}`, figures, metrics, timelines};
}

function mergeMetrics(metrics: MetricRegistry, encoded: EncodedMetrics): void {
  const merged = metrics.merge(encoded);
  if (!merged.ok) throw new UsageError(merged.error.detail);
}

/** Returns undefined for a line that is not JSON, which programs print for people. */
function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
