/** `radishyoke serve`: one entry VM. */

import type {ExitCode} from './exit_code.js';

/** Runs until the process is told to stop and has drained. */
export async function runServeCommand(settings: string): Promise<ExitCode> {
  // Loaded only when it is wanted, so that `check` starts at once.
  const {runServe} = await import('@radishyoke/daemon/serve');
  return (await runServe(settings)) as ExitCode;
}
