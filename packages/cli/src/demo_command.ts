/** `radishyoke demo`: the whole path on loopback, with stand-ins. */

import {EXIT_CODES, ExitCode} from './exit_code.js';

// The stand-ins are loaded only when they are wanted.
const DEMO_MODULE: string = '@radishyoke/bench/demo';

/**
 * Runs the demonstration to its end; with `hold`, keeps its deployment open for
 * requests by hand until the process is interrupted.
 */
export async function runDemoCommand(hold: boolean): Promise<ExitCode> {
  const {runDemo, holdDemo} = await import(DEMO_MODULE);
  if (hold) await holdDemo();
  return hold ? EXIT_CODES.ok : await runDemo();
}
