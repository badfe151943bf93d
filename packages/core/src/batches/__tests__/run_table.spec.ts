import test from 'ava';
import fc from 'fast-check';
import type {Run} from '../batch_job.js';
import {RunTable} from '../run_table.js';

function createRun(id: number, engineId: string, model: string): Run {
  const job = {batch: {batch: {model}}};
  return {id: `r${id}`, engineId, job} as unknown as Run;
}

const ENGINES = ['e0', 'e1'];
const MODELS = ['m0', 'm1', 'm2'];

test('counts match the current runs, whatever the order of starts and ends', t => {
  const steps = fc.array(
    fc.record({
      engineId: fc.constantFrom(...ENGINES),
      model: fc.constantFrom(...MODELS),
      endsAt: fc.nat({max: 20}),
    }),
    {maxLength: 30},
  );
  fc.assert(
    fc.property(steps, list => {
      const table = new RunTable();
      const live: Run[] = [];
      for (const [i, {engineId, model, endsAt}] of list.entries()) {
        const run = createRun(i, engineId, model);
        table.add(run);
        live.push(run);
        const [ended] = live.splice(endsAt, 1);
        if (ended) table.delete(ended);
        for (const id of ENGINES) {
          const here = live.filter(each => each.engineId === id);
          t.is(table.countAt(id), here.length);
          for (const name of MODELS) {
            const own = here.filter(
              each => each.job.batch.batch.model === name,
            );
            t.is(table.countModelAt(id, name), own.length);
          }
        }
      }
    }),
    {seed: 7},
  );
});

test('a run is removed from the counts only once', t => {
  const table = new RunTable();
  const run = createRun(0, 'e0', 'm0');
  table.add(run);
  t.true(table.delete(run));
  t.false(table.delete(run));
  t.is(table.countAt('e0'), 0);
});
