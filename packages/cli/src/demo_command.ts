/** `radishyoke demo`: runs a complete deployment on loopback, with stand-ins. */

import {EXIT_CODES, ExitCode} from './exit_code.js';

/**
 * Runs the demo to its end and writes its figures to `savePath`, if given. With
 * `hold`, only starts the deployment and keeps it open for manual requests until
 * the process is interrupted.
 */
export async function runDemoCommand(
  hold: boolean,
  savePath: string | undefined,
): Promise<ExitCode> {
  // The stand-ins are loaded on demand, so that other commands start quickly.
  if (!hold) {
    const {runDemo} = await import('@radishyoke/bench/demo');
    return (await runDemo(savePath)) as ExitCode;
  }
  const {holdDemo} = await import('@radishyoke/bench/demo_deployment');
  await holdDemo();
  return EXIT_CODES.ok;
}
