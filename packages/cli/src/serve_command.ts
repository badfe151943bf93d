/** `radishyoke serve`: runs one entry VM. */

import type {ExitCode} from './exit_code.js';

/** Runs the VM until the process is asked to stop and has drained. */
export async function runServeCommand(settings: string): Promise<ExitCode> {
  // Loaded on demand, so that commands such as `check` start quickly.
  const {runServe} = await import('@radishyoke/daemon/serve');
  return (await runServe(settings)) as ExitCode;
}
