/** Runs the experiment on steps for one deployment in a thread of its own. */

import {parentPort, workerData} from 'node:worker_threads';
import {runSteps, StepsOptions} from './steps.js';

for (const line of runSteps(workerData as StepsOptions)) {
  parentPort!.postMessage(line);
}
