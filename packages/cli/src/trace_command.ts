/** `radishyoke trace`: extracts the path of a request, item, batch or engine from logs. */

import {readFile} from 'node:fs/promises';
import {
  parseTraceLines,
  type TraceLine,
} from '@radishyoke/core/trace/trace_line';
import {tracePath, type TraceEntry} from '@radishyoke/core/trace/trace_path';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';
import {renderTable} from './table.js';
import {UsageError} from './usage_error.js';

interface TraceOptions {
  readonly json?: boolean;
}

/**
 * Prints the log lines that belong to `id`. The logs are read from `files`, each
 * with the lines of one or more VMs, or from the standard input if there are none.
 */
export async function runTrace(
  io: CliIo,
  id: string,
  files: readonly string[],
  {json}: TraceOptions,
): Promise<ExitCode> {
  const lines = await readLines(io, files);
  const path = tracePath(lines, id);
  if (path.length === 0) {
    io.writeErr(`no line of ${lines.length} names ${id}`);
    return EXIT_CODES.failure;
  }
  if (json)
    for (const entry of path) io.writeOut(JSON.stringify(toJson(entry)));
  else io.writeOut(renderPath(path));
  return EXIT_CODES.ok;
}

async function readLines(
  io: CliIo,
  files: readonly string[],
): Promise<readonly TraceLine[]> {
  const texts =
    files.length === 0
      ? [await io.readIn()]
      : await Promise.all(files.map(readLog));
  return texts.flatMap(parseTraceLines);
}

async function readLog(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (err) {
    throw new UsageError(`${file} can not be read: ${String(err)}`);
  }
}

function toJson({atMs, role, line}: TraceEntry) {
  const {vm, event, fields} = line;
  return {atMs, role, vm, event, ...fields};
}

/** Renders one line per log line; times are in s since the first one that names the id. */
function renderPath(path: readonly TraceEntry[]): string {
  const originMs = path.find(({role}) => role !== 'context')!.atMs;
  return renderTable(
    ['s', '', 'vm', 'event', 'why'],
    path.map(({atMs, role, line}) => [
      ((atMs - originMs) / 1e3).toFixed(3),
      role === 'context' ? '.' : '*',
      line.vm,
      line.event,
      Object.entries(line.fields)
        .map(([name, value]) => `${name}=${value}`)
        .join(' '),
    ]),
  );
}
