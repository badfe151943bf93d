/** `radishyoke demo`: the whole path on loopback, with stand-ins. */

import type {ExitCode} from './exit_code.js';

/** Runs the demonstration to its end. */
export async function runDemoCommand(
  savePath: string | undefined,
): Promise<ExitCode> {
  // The stand-ins are loaded only when they are wanted.
  const {runDemo} = await import('@radishyoke/bench/demo');
  return (await runDemo(savePath)) as ExitCode;
}
