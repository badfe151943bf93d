/**
 * Rounds of: the store is down for a moment; right after it is back, the
 * operator adds a rollout route and its trainer submits a step there.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {createRoute, isTroubled, runCase, Step} from '../harness.mjs';

const ROUNDS = 5;
const ITEMS = 8;
const OUTAGE_MS = 1500;
/** Time between the end of a step and the next round, ms. */
const PAUSE_MS = 3000;

await runCase(
  import.meta.url,
  {vms: 3, workers: 6, eventMs: 30, events: 12},
  async (deployment, record) => {
    const broken = [];
    for (let round = 0; round < ROUNDS; round++) {
      const coordinator = await deployment.findCoordinator();
      record.add(`round ${round}: ${coordinator.name} runs the items`);
      await disturbStore(deployment, record);
      const prefix = `/bopu${round}/`;
      deployment.routes.push(createRoute(`r-${round}`, prefix));
      deployment.publish();
      const step = new Step(deployment, {
        id: `step${round}`,
        prefix,
        items: ITEMS,
      });
      // Any VM takes a submission; here it is one that does not run the items.
      const fronts = deployment.vms.filter(vm => vm !== coordinator);
      if (!(await step.submit(fronts))) {
        throw new Error(`${step.id} was not accepted`);
      }
      await step.collect();
      broken.push(...judge(step, deployment));
      await step.end();
      await sleep(PAUSE_MS);
    }
    return broken;
  },
);

async function disturbStore({vms}, record) {
  if (!isTroubled) return sleep(OUTAGE_MS);
  record.add(`the store is down (503) for ${OUTAGE_MS} ms`);
  for (const {link} of vms) link.mode = 'busy';
  await sleep(OUTAGE_MS);
  for (const {link} of vms) link.mode = 'serves';
  record.add('the store serves again');
}

/**
 * An item may be errored after a 422, `Attempts` answers of 500, `RetentionS`, or
 * the end of its batch submission or route. None of them occurs here: each route
 * stays in the manifest, and the step is ended after its results were read.
 */
function judge({id, results, itemIds}, {runs}) {
  const own = runs.filter(run => itemIds.includes(run.id));
  if (own.some(({status}) => status === 500)) {
    throw new Error('a worker answered 500');
  }
  const errored = results.filter(({State}) => State !== 'done');
  if (errored.length === 0 && results.length === itemIds.length) return [];
  return [
    `step ${id}: ${errored.length} of ${itemIds.length} accepted items are errored, ${results.length} are listed; workers began ${own.length} runs of them and answered none with 500 or 422; the route is in force`,
  ];
}
