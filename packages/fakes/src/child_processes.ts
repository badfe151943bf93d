/**
 * Child processes that end with the process that started them.
 *
 * Node.js leaves its children running when a signal or an uncaught error ends
 * it. The VMs of an interrupted soak would run for hours and take ports and
 * processor time from later runs.
 */

import type {ChildProcess} from 'node:child_process';
import {constants} from 'node:os';

/** Signals with which a person or a script ends a command. */
const TERMINATION_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
/** Added to the number of a signal for the exit code, as shells do. */
const SIGNAL_EXIT_BASE = 128;

const children = new Set<ChildProcess>();
let hasExitHandlers = false;

/** Kills `child` when this process ends, unless that is by SIGKILL. */
export function endWithParent(child: ChildProcess): void {
  installExitHandlers();
  children.add(child);
  child.once('exit', () => children.delete(child));
}

function installExitHandlers(): void {
  if (hasExitHandlers) return;
  hasExitHandlers = true;
  process.once('exit', () => {
    for (const child of children) child.kill('SIGKILL');
  });
  for (const signal of TERMINATION_SIGNALS) {
    const code = SIGNAL_EXIT_BASE + constants.signals[signal];
    process.once(signal, () => process.exit(code));
  }
}
