/** Runs the command line in this process and captures its output. */

import {runCli} from '../cli.js';
import type {ExitCode} from '../exit_code.js';

export interface CliRun {
  readonly code: ExitCode;
  readonly out: string;
  readonly err: string;
}

/** Returns the path of a file under `examples/`. */
export function examplePath(name: string): string {
  const url = new URL(`../../../../examples/${name}`, import.meta.url);
  return url.pathname;
}

export async function runInProcess(
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
  input = '',
): Promise<CliRun> {
  const out: string[] = [];
  const err: string[] = [];
  const code = await runCli(args, {
    writeOut: text => out.push(text),
    writeErr: text => err.push(text),
    env,
    readIn: () => Promise.resolve(input),
  });
  return {code, out: out.join('\n'), err: err.join('\n')};
}
