/** `radishyoke audit`: shows, exports and verifies the audit trail. */

import {createReadStream} from 'node:fs';
import {open} from 'node:fs/promises';
import {createInterface} from 'node:readline';
import {
  AuditExporter,
  AuditRecord,
  AuditReport,
  verifyExport,
} from '@radishyoke/core/audit/audit_export';
import {AdminClient, createClients} from './admin_client.js';
import {AdminRun, reportFailure} from './admin_commands.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';
import {readOption, requireOption} from './raw_option.js';
import {UsageError} from './usage_error.js';

export const AUDIT_ACTIONS = ['show', 'export', 'verify'] as const;

const RECORDS_PER_CALL = '200';

/** Runs `radishyoke audit ACTION [FILE]`. */
export async function runAudit(
  run: AdminRun,
  action: string,
  file: string | undefined,
): Promise<ExitCode> {
  switch (action) {
    case 'show':
      return show(run);
    case 'export':
      return exportBlocks(run);
    case 'verify':
      if (file === undefined) throw new UsageError('an export is required');
      return verify(run, file);
    default:
      throw new UsageError(`audit wants one of ${AUDIT_ACTIONS.join(', ')}`);
  }
}

/** Prints the team's audit entries, one JSON object per line. */
async function show(run: AdminRun): Promise<ExitCode> {
  const subject = readOption(run.rawArgs, 'subject');
  return forEachEntry(run, 'audit', {subject}, ({record}) =>
    run.io.writeOut(JSON.stringify(record)),
  );
}

async function exportBlocks(run: AdminRun): Promise<ExitCode> {
  const out = await open(requireOption(run.rawArgs, 'out'), 'w');
  try {
    const exporter = new AuditExporter();
    const write = (line: string) => out.write(`${line}\n`);
    await write(exporter.begin(Number(readOption(run.rawArgs, 'from') ?? 0)));
    const code = await forEachEntry(
      run,
      'audit/blocks',
      {},
      ({offset, timeMs, record}) => {
        const value = record as unknown as AuditRecord['value'];
        return write(exporter.add({offset, timeMs, value}));
      },
    );
    if (code === EXIT_CODES.ok) await write(exporter.end());
    return code;
  } finally {
    await out.close();
  }
}

type EntryHandler = (entry: {
  readonly offset: number;
  readonly timeMs: number;
  readonly record: unknown;
}) => unknown;

async function forEachEntry(
  run: AdminRun,
  path: string,
  query: Readonly<Record<string, string | undefined>>,
  handleEntry: EntryHandler,
): Promise<ExitCode> {
  const [client] = createClients(run.io, run.rawArgs);
  let from = readOption(run.rawArgs, 'from') ?? '0';
  for (;;) {
    const page = await readPage(client, path, {...query, from});
    if (!page.ok) return reportFailure(run.io, page.error);
    for (const entry of page.value.records) await handleEntry(entry);
    const next = String(page.value.next);
    if (next === from) return EXIT_CODES.ok;
    from = next;
  }
}

function readPage(
  client: AdminClient,
  path: string,
  query: Readonly<Record<string, string | undefined>>,
) {
  return client.get('audit', path, {...query, max: RECORDS_PER_CALL});
}

/** Verifies an exported file offline, without a VM or the log. */
async function verify(run: AdminRun, file: string): Promise<ExitCode> {
  const lines: string[] = [];
  const input = createInterface({input: createReadStream(file)});
  for await (const line of input) lines.push(line);
  const report = verifyExport(lines);
  run.io.writeOut(run.json ? JSON.stringify(report) : renderText(report));
  return report.faults.length === 0 ? EXIT_CODES.ok : EXIT_CODES.notVerified;
}

function renderText(report: AuditReport): string {
  const {faults, blocks, entries, dropped, unanchored, unclosed} = report;
  return [
    ...faults.map(({line, problem}) => `line ${line}: ${problem}`),
    `${blocks} blocks, ${entries} entries, ${faults.length} faults`,
    `${dropped} entries that the service says it dropped`,
    `chains without a first block here: ${unanchored.join(', ') || 'none'}`,
    `chains without an orderly end: ${unclosed.join(', ') || 'none'}`,
  ].join('\n');
}
