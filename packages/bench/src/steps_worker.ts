/** Worker thread that runs the `steps` experiment for one deployment. */

import {parentPort, workerData} from 'node:worker_threads';
import {runSteps, StepsOptions} from './steps.js';

for (const line of runSteps(workerData as StepsOptions)) {
  parentPort!.postMessage(line);
}
