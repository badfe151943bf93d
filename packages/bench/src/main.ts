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
    const {runSteps} = await import('./steps.js');
    for (const line of runSteps(options)) print(line);
  });

cli
  .command('slopes', 'Bytes, processor time and memory by size of each role')
  .action(async () => {
    const {runSlopes} = await import('./slopes.js');
    for await (const line of runSlopes()) print(line);
  });

function print(line: unknown): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

cli.help();
cli.parse();
