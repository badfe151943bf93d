/** `npm run measure -- <experiment> [--json]`: prints one JSON line a case. */

import cac from 'cac';
import type {StepsOptions} from './steps.js';

const cli = cac('measure');
cli.option('--json', 'Print JSON lines (the only format there is)');

cli
  .command('decide', 'Decisions a second by number of endpoints and rules')
  .action(async () => {
    const {runDecide} = await import('./decide.js');
    for (const line of runDecide()) print(line);
  });

cli
  .command('steps', 'Idle time, staleness and waste of steps under faults')
  .option('--seeds <n>', 'How many of the seeds')
  .option('--case <name>', 'Only this case')
  .option('--deployment <name>', 'Only this deployment')
  .action(async (options: StepsOptions) => {
    const {runStepsInThreads} = await import('./steps_threads.js');
    const {runHerding} = await import('./herding.js');
    const {seeds, case: only, deployment} = options;
    await runStepsInThreads({seeds, case: only, deployment}, print);
    for (const line of runHerding()) print(line);
  });

function print(line: unknown): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

cli.help();
cli.parse();
