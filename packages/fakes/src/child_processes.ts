/**
 * Processes that end with the one that started them.
 *
 * Node.js leaves its children running when a signal ends it, or an error that
 * nobody caught. It shows as VMs of a soak that was interrupted, which go on for
 * hours and take ports and processor time from whatever runs next.
 */

import type {ChildProcess} from 'node:child_process';
import {constants} from 'node:os';

/** Signals by which a person or a script ends a command. */
const TERMINATION_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
/** What shells add to the number of a signal for the exit code. */
const SIGNAL_EXIT_BASE = 128;

const children = new Set<ChildProcess>();
let hasExitHandlers = false;

/** Kills `child` when this process ends, in whatever way but SIGKILL. */
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
