/** `radishyoke demo`: the whole path on loopback, with stand-ins. */

import {EXIT_CODES, ExitCode} from './exit_code.js';

// The stand-ins are loaded only when they are wanted.
const DEMO_MODULE: string = '@radishyoke/bench/demo';

/** Runs the demonstration to its end. */
export async function runDemoCommand(): Promise<ExitCode> {
  const {runDemo} = await import(DEMO_MODULE);
  return (await runDemo()) ?? EXIT_CODES.ok;
}
