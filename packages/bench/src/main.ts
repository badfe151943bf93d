/** `npm run measure -- <experiment> [--json]`: prints one JSON line per case. */

import cac from 'cac';
import type {StepsOptions} from './steps.js';

const cli = cac('measure');
cli.option('--json', 'Print JSON lines (the only format)');

cli
  .command('decide', 'Decisions per second, by number of endpoints and rules')
  .action(async () => {
    const {runDecide} = await import('./decide.js');
    for (const line of runDecide()) print(line);
  });

cli
  .command(
    'steps',
    'Idle time, staleness and wasted tokens of steps under faults',
  )
  .option('--seeds <n>', 'Number of seeds to run')
  .option('--case <name>', 'Run only this case')
  .option('--deployment <name>', 'Run only this deployment')
  .action(async (options: StepsOptions) => {
    const {runStepsInThreads} = await import('./steps_threads.js');
    const {runHerding} = await import('./herding.js');
    const {seeds, case: caseName, deployment} = options;
    await runStepsInThreads({seeds, case: caseName, deployment}, print);
    for (const line of runHerding()) print(line);
  });

cli
  .command('overhead', 'Processor time compared with a bare proxy')
  .action(async () => {
    const {measureOverhead} = await import('./overhead.js');
    print(await measureOverhead());
  });

cli
  .command(
    'log-outage',
    'Idle time, by what an owner does while the log is down',
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
  .command(
    'slopes',
    'Bytes, processor time and memory of each role, by its size',
  )
  .option(
    '--record',
    'Write docs/capacity-slopes.json and recompute docs/CAPACITY.md',
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
