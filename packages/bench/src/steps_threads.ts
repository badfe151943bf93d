/** Runs the `steps` experiment with one worker thread per deployment. */

import {Worker} from 'node:worker_threads';
import type {StepsOptions} from './steps.js';
import {DEPLOYMENTS} from './steps_case.js';

/** Calls `onLine` with each line of output; resolves when all threads have exited. */
export async function runStepsInThreads(
  options: StepsOptions,
  onLine: (line: unknown) => void,
): Promise<void> {
  const names = DEPLOYMENTS.map(deployment => deployment.name).filter(
    name => !options.deployment || options.deployment === name,
  );
  await Promise.all(
    names.map(deployment => runThread({...options, deployment}, onLine)),
  );
}

function runThread(
  options: StepsOptions,
  onLine: (line: unknown) => void,
): Promise<void> {
  const url = new URL('./steps_worker.js', import.meta.url);
  const worker = new Worker(url, {workerData: {...options}});
  worker.on('message', onLine);
  return new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('exit', () => resolve());
  });
}
