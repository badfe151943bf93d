/** `radishyoke check`: validates a settings or rules file. */

import {
  ConfigProblem,
  formatProblem,
} from '@radishyoke/core/rules/config_problem';
import type {CliIo} from './cli_io.js';
import {readConfigFile} from './config_file.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';

interface CheckOptions {
  readonly json?: boolean;
}

/** Validates the file at `path` and prints every problem in it. */
export async function runCheck(
  io: CliIo,
  path: string,
  {json}: CheckOptions,
): Promise<ExitCode> {
  const read = await readConfigFile(path);
  if (!read.ok) return reportProblems(io, path, read.error, json);
  const {kind} = read.value;
  if (json) {
    io.writeOut(JSON.stringify({ok: true, file: path, kind, problems: []}));
  } else {
    io.writeOut(`${path}: valid ${kind}`);
  }
  return EXIT_CODES.ok;
}

/** Prints `problems` as lines of text or as JSON, and returns the exit code. */
export function reportProblems(
  io: CliIo,
  path: string,
  problems: readonly ConfigProblem[],
  json = false,
): ExitCode {
  if (json) io.writeOut(JSON.stringify({ok: false, file: path, problems}));
  else problems.forEach(problem => io.writeErr(formatProblem(problem)));
  return EXIT_CODES.invalidConfig;
}
