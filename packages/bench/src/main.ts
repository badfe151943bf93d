/** `npm run measure -- <experiment> [--json]`: prints one JSON line a case. */

import cac from 'cac';

const cli = cac('measure');
cli.option('--json', 'Print JSON lines (the only format there is)');

cli
  .command('decide', 'Decisions a second by number of endpoints and rules')
  .action(async () => {
    const {runDecide} = await import('./decide.js');
    for (const line of runDecide()) print(line);
  });

function print(line: unknown): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

cli.help();
cli.parse();
