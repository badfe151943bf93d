/** Commands that query VMs over the administration API, or drain them. */

import type {HistogramName} from '@radishyoke/core/metrics/metric_schema';
import {HISTOGRAMS} from '@radishyoke/core/metrics/metric_schema';
import {EncodedMetrics, MetricRegistry} from '@radishyoke/core/metrics/metrics';
import type {Result} from '@radishyoke/shared/result';
import {AdminClient, AdminFailure, createClients} from './admin_client.js';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';
import {Cell, renderItems, renderTable} from './table.js';
import {UsageError} from './usage_error.js';

/** The input and output of one run of a command. */
export interface AdminRun {
  readonly io: CliIo;
  readonly rawArgs: readonly string[];
  readonly json: boolean;
}

/**
 * Commands that print a list, with their descriptions. The path of the call and
 * the field of its answer have the same name as the command.
 */
export const LIST_COMMANDS = {
  vms: 'VMs of the service as this one sees them',
  endpoints: 'Endpoints with what this VM has in flight on them',
  steps: "Steps of the team's tenants",
  queues: "Work items of the team's tenants that wait or run on this VM",
  leases: 'Leases and their holders',
} as const;

export type ListCommand = keyof typeof LIST_COMMANDS;

/** Prints a failure and returns its exit code. */
export function reportFailure(io: CliIo, failure: AdminFailure): ExitCode {
  io.writeErr(`radishyoke: ${failure.message}`);
  return failure.code;
}

/** Prints the answer as JSON or as text made by `render`. */
export function reportResult<T>(
  {io, json}: AdminRun,
  result: Result<T, AdminFailure>,
  render: (value: T) => string,
): ExitCode {
  if (!result.ok) return reportFailure(io, result.error);
  io.writeOut(json ? JSON.stringify(result.value) : render(result.value));
  return EXIT_CODES.ok;
}

/** Prints the status of each VM given by `--admin`. */
export async function runStatus(run: AdminRun): Promise<ExitCode> {
  return forEachClient(
    run,
    client => client.get('status', 'status'),
    statuses =>
      renderItems(
        statuses.map(({vm, dataCentre, ready, draining, works, log}) => ({
          vm,
          dataCentre,
          ready,
          draining,
          works,
          log: log.outageSinceMs === null ? 'ok' : 'outage',
          caughtUp: log.caughtUp,
          configNext: log.configNext,
          stateNext: log.stateNext,
          pending: log.pending,
        })),
      ),
  );
}

/** Prints the list `name`, queried from the first VM given by `--admin`. */
export async function runList(
  run: AdminRun,
  name: ListCommand,
): Promise<ExitCode> {
  const [client] = createClients(run.io, run.rawArgs);
  const result = await client.get(name, name);
  return reportResult(run, result, answer =>
    renderItems(
      (answer as Readonly<Record<string, unknown>>)[name] as ReadonlyArray<
        Readonly<Record<string, Cell>>
      >,
    ),
  );
}

/** Prints percentiles and counters, merged over all VMs given by `--admin`. */
export async function runTop(run: AdminRun): Promise<ExitCode> {
  const merged = new MetricRegistry();
  return forEachClient(
    run,
    async client => {
      const result = await client.get('histograms', 'histograms');
      if (result.ok) merged.merge(result.value as EncodedMetrics);
      return result;
    },
    () => renderMetrics(merged),
    () => ({
      histograms: summarizeHistograms(merged),
      counters: merged.listCounters(),
    }),
  );
}

/** Takes a VM or an endpoint out of use, on every VM given by `--admin`. */
export async function runDrain(
  run: AdminRun,
  kind: string,
  id: string,
): Promise<ExitCode> {
  if (kind !== 'vm' && kind !== 'endpoint') {
    throw new UsageError('drain wants "vm" or "endpoint"');
  }
  return forEachClient(
    run,
    client => client.post('drained', 'drain', {kind, id}),
    answers => `${kind} ${id}: draining, on ${answers.length} VM(s)`,
  );
}

async function forEachClient<T>(
  run: AdminRun,
  call: (client: AdminClient) => Promise<Result<T, AdminFailure>>,
  render: (answers: readonly T[]) => string,
  toJson: (answers: readonly T[]) => unknown = answers => answers,
): Promise<ExitCode> {
  const clients = createClients(run.io, run.rawArgs);
  const results = await Promise.all(clients.map(call));
  const answers = results.flatMap(result => (result.ok ? [result.value] : []));
  if (answers.length > 0) {
    const text = run.json ? JSON.stringify(toJson(answers)) : render(answers);
    run.io.writeOut(text);
  }
  const failures = results.flatMap(result => (result.ok ? [] : [result.error]));
  for (const failure of failures) reportFailure(run.io, failure);
  return failures[0]?.code ?? EXIT_CODES.ok;
}

function summarizeHistograms(registry: MetricRegistry) {
  return registry.listHistograms().map(({name, tenant, workClass}) => ({
    name,
    tenant,
    workClass,
    ...registry.summarize(
      name,
      key => key.tenant === tenant && key.workClass === workClass,
    ),
  }));
}

function renderMetrics(registry: MetricRegistry): string {
  const rows = summarizeHistograms(registry).map(summary => [
    summary.tenant,
    summary.workClass,
    `${summary.name} (${HISTOGRAMS[summary.name as HistogramName].unit})`,
    summary.count,
    summary.p50,
    summary.p90,
    summary.p99,
    summary.max,
  ]);
  const headings = [
    'tenant',
    'class',
    'what',
    'count',
    'p50',
    'p90',
    'p99',
    'max',
  ];
  const counters = registry
    .listCounters()
    .map(({tenant, workClass, name, label, value}) => [
      tenant,
      workClass,
      `${name} ${label}`,
      value,
    ]);
  return [
    renderTable(headings, rows),
    renderTable(['tenant', 'class', 'what', 'count'], counters),
  ].join('\n\n');
}
