/** Waits for a VM as a balancer does before it sends callers to it. */

import {setTimeout as sleep} from 'node:timers/promises';

/** Pause between two questions, ms: a start takes some hundred ms. */
const READY_POLL_MS = 20;

/** Resolves once the VM at `origin` says that it is ready. */
export async function waitUntilReady(origin: string): Promise<void> {
  while (!(await fetch(`${origin}/readyz`)).ok) await sleep(READY_POLL_MS);
}
