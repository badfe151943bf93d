/**
 * A worker answers an item with 500; the store loses the answer to the write
 * that records this; the process that runs the items is killed; a worker answers
 * the item with 500 once more. That makes two answers of 500, and three are
 * allowed.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import {isTroubled, runCase, Step} from '../harness.mjs';

const ITEMS = 6;
/** Time from the acceptance to the kill, ms: the lost write is repeated by then, and the items still run. */
const KILL_AFTER_MS = 2500;
/** Delay after which the platform starts a killed process again, ms. */
const RESTART_MS = 300;
/** `Attempts` of the route. */
const ATTEMPTS = 3;

await runCase(
  import.meta.url,
  {vms: 3, workers: 6, eventMs: 150, events: 40},
  async (deployment, record) => {
    const coordinator = await deployment.findCoordinator();
    record.add(`${coordinator.name} runs the items`);
    const step = new Step(deployment, {
      id: 'step0',
      prefix: '/pufi791/',
      items: ITEMS,
    });
    failFirstAndThirdRun(deployment, step.itemIds[0]);
    if (isTroubled) loseOneAnswer(coordinator, record);
    if (!(await step.submit())) throw new Error('the step was not accepted');
    await sleep(KILL_AFTER_MS);
    if (isTroubled) {
      record.add(`${coordinator.name} is killed`);
      await coordinator.kill();
      await sleep(RESTART_MS);
      await coordinator.start();
    }
    // Results are read beyond the time budget, so that all of them are seen.
    await step.collect(25_000);
    await step.end();
    return judge(step, deployment);
  },
);

function failFirstAndThirdRun({workers, runs}, itemId) {
  for (const worker of workers) {
    worker.fails = id => {
      const count = runs.filter(run => run.id === id).length;
      return id === itemId && (count === 1 || count === 3);
    };
  }
}

/** The store does the first write that records a failed run, and its answer is lost. */
function loseOneAnswer({link, name}, record) {
  let isLost = false;
  link.losesAnswer = (url, body) => {
    const isFailure =
      url.searchParams.get('Topic') === 'batch_index' &&
      body.includes('attempt_failed');
    if (!isFailure || isLost) return false;
    isLost = true;
    record.add(
      `the store does a write of ${name} (${url.search}); its answer is lost`,
    );
    return true;
  };
}

/** An item may be errored after a 422, `Attempts` answers of 500, `RetentionS`, or the end of its batch submission or route. */
function judge({results, itemIds}, {runs}) {
  if (results.length < itemIds.length) {
    throw new Error(`only ${results.length} of ${itemIds.length} are listed`);
  }
  return results
    .filter(({State}) => State !== 'done')
    .map(({Id}) => ({
      Id,
      failures: runs.filter(({id, status}) => id === Id && status === 500),
    }))
    .filter(({failures}) => failures.length < ATTEMPTS)
    .map(
      ({Id, failures}) =>
        `item ${Id} is errored after ${failures.length} answers of 500; Attempts is ${ATTEMPTS}`,
    );
}
