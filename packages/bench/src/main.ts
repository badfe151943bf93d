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

cli
  .command('overhead', 'Processor time beside a bare pass-through')
  .action(async () => {
    const {measureOverhead} = await import('./overhead.js');
    print(await measureOverhead());
  });

cli
  .command(
    'log-outage',
    'Idle time by what an owner does while the log is down',
  )
  .action(async () => {
    const {measureLogOutage, OUTAGE_CASES} = await import('./log_outage.js');
    for (const line of await measureLogOutage(OUTAGE_CASES)) print(line);
  });

cli
  .command('slopes-log', 'Bytes, time and memory of the log-derived state')
  .action(async () => {
    const {measureLogSlopes} = await import('./slopes_log.js');
    for (const line of measureLogSlopes()) print(line);
  });

cli
  .command('slopes', 'Bytes, processor time and memory by size of each role')
  .option(
    '--record',
    'Write docs/capacity-slopes.json, work docs/CAPACITY.md out',
  )
  .action(async (options: {readonly record?: boolean}) => {
    const {runSlopes} = await import('./slopes.js');
    const {recordSlopes} = await import('./capacity_files.js');
    const slopes = [];
    for await (const slope of runSlopes()) {
      print(slope);
      slopes.push(slope);
    }
    if (options.record) recordSlopes(slopes);
  });

function print(line: unknown): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

cli.help();
cli.parse();
