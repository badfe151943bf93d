/** `radishyoke demo`: the whole path on loopback, with stand-ins. */

import {EXIT_CODES, ExitCode} from './exit_code.js';

/**
 * Runs the demonstration to its end; with `hold`, keeps its deployment open for
 * requests by hand until the process is interrupted. `savePath` is where the
 * figures go.
 */
export async function runDemoCommand(
  hold: boolean,
  savePath: string | undefined,
): Promise<ExitCode> {
  // The stand-ins are loaded only when they are wanted.
  if (!hold) {
    const {runDemo} = await import('@radishyoke/bench/demo');
    return (await runDemo(savePath)) as ExitCode;
  }
  const {holdDemo} = await import('@radishyoke/bench/demo_deployment');
  await holdDemo();
  return EXIT_CODES.ok;
}
