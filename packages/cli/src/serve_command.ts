/** `radishyoke serve`: one entry VM. */

import {EXIT_CODES, ExitCode} from './exit_code.js';

// The daemon is loaded only when it is wanted, so that `check` starts at once.
const SERVE_MODULE: string = '@radishyoke/daemon/serve';

/** Runs until the process is told to stop and has drained. */
export async function runServeCommand(settings: string): Promise<ExitCode> {
  const {runServe} = await import(SERVE_MODULE);
  return (await runServe(settings)) ?? EXIT_CODES.ok;
}
