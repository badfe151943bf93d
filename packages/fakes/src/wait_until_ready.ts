/** Waits for a VM by its readiness check, as a load balancer does. */

import {setTimeout as sleep} from 'node:timers/promises';

/** Pause between two checks, ms: a start takes a few hundred ms. */
const READY_POLL_MS = 20;

/** Resolves once the VM at `origin` reports that it is ready. */
export async function waitUntilReady(origin: string): Promise<void> {
  while (!(await fetch(`${origin}/readyz`)).ok) await sleep(READY_POLL_MS);
}
