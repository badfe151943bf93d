/** Defines the commands of `radishyoke`. Each returns the exit code of the process. */

import {cac, CAC} from 'cac';
import {ADMIN_VARIABLE} from './admin_client.js';
import {
  AdminRun,
  LIST_COMMANDS,
  ListCommand,
  runDrain,
  runList,
  runStatus,
  runTop,
} from './admin_commands.js';
import {AUDIT_ACTIONS, runAudit} from './audit_command.js';
import {runCheck} from './check_command.js';
import type {CliIo} from './cli_io.js';
import {runCompletion, Subcommands} from './completion_command.js';
import {runDemoCommand} from './demo_command.js';
import {EXIT_CODE_TEXTS, EXIT_CODES, ExitCode} from './exit_code.js';
import {runExplain} from './explain_command.js';
import {runKeys} from './keys_command.js';
import {readOption} from './raw_option.js';
import {runReport} from './report_command.js';
import {RULES_ACTIONS, runRules} from './rules_command.js';
import {runServeCommand} from './serve_command.js';
import {runToken} from './token_command.js';
import {runTrace} from './trace_command.js';
import {UsageError} from './usage_error.js';

const VERSION = '0.1.0';

const SUBCOMMANDS: Subcommands = {
  completion: ['bash'],
  rules: RULES_ACTIONS,
  audit: AUDIT_ACTIONS,
  drain: ['vm', 'endpoint'],
  token: ['hash'],
};

/** Runs the command named by `args`, the arguments without node and script. */
export async function runCli(
  args: readonly string[],
  io: CliIo,
): Promise<ExitCode> {
  const cli = createCli(args, io);
  try {
    cli.parse(['node', 'radishyoke', ...args], {run: false});
    if (cli.options.help || cli.options.version) return EXIT_CODES.ok;
    if (!cli.matchedCommand) return reportUnknownCommand(cli);
    return (await cli.runMatchedCommand()) ?? EXIT_CODES.ok;
  } catch (err) {
    if (!isUsageError(err)) throw err;
    io.writeErr(`radishyoke: ${err.message}`);
    io.writeErr('Try "radishyoke --help".');
    return EXIT_CODES.usage;
  }
}

function createCli(args: readonly string[], io: CliIo): CAC {
  const cli = cac('radishyoke');
  addProcessCommands(cli, args);
  addFileCommands(cli, args, io);
  addLogCommands(cli, io);
  addAdminCommands(cli, args, io);
  cli
    .command('keys', 'Print the reference of all keys, in Markdown')
    .action(() => runKeys(io));
  cli
    .command('completion <shell>', 'Print a completion script (bash)')
    .action(shell => runCompletion(io, cli, shell, SUBCOMMANDS));
  cli.help(sections => [...sections, {title: 'Exit codes', body: listCodes()}]);
  cli.version(VERSION);
  return cli;
}

function addProcessCommands(cli: CAC, args: readonly string[]): void {
  cli
    .command('serve <settings>', 'Run one entry VM with the settings file')
    .action(settings => runServeCommand(settings));
  cli
    .command('demo', 'Run three trainers and an app against stand-ins')
    .option('--hold', 'Keep the deployment open on port 7100, without trainers')
    .option('--save <file>', 'Write the figures to this file, for report')
    .action(options =>
      runDemoCommand(Boolean(options.hold), readOption(args, 'save')),
    );
}

function addFileCommands(cli: CAC, args: readonly string[], io: CliIo): void {
  cli
    .command('check <file>', 'Check a settings or rules file')
    .option('--json', 'Print JSON')
    .action((file, options) => runCheck(io, file, options));
  cli
    .command('explain <rules>', 'Show which rule decides a request, and why')
    .option('--request <json>', 'The request as a JSON object, or:')
    .option('--tenant <name>', 'Tenant that sends the request')
    .option('--class <class>', 'interactive or rollout')
    .option('--model <name>', 'Model that the request names')
    .option('--method <method>', 'HTTP method (default: GET)')
    .option('--path <path>', 'Path (default: /)')
    .option('--header <header>', '"name: value"; may be repeated')
    .option('--data-centre <name>', 'Data centre of the VM that receives it')
    .option('--json', 'Print JSON')
    .example(
      'radishyoke explain examples/rules-kodkutu.ini --tenant lesson-app --method POST --path /orders',
    )
    .action((file, options) => runExplain(io, file, args, options));
}

function addLogCommands(cli: CAC, io: CliIo): void {
  cli
    .command(
      'trace <id> [...files]',
      'Show the path of a request, item, batch or engine from logs',
    )
    .option('--json', 'Print JSON lines')
    .example('radishyoke trace 9c41d07b vm-1.log vm-2.log')
    .action((id, files, options) => runTrace(io, String(id), files, options));
}

function addAdminCommands(cli: CAC, args: readonly string[], io: CliIo): void {
  const add = (usage: string, text: string) =>
    cli
      .command(usage, text)
      .option('--admin <addresses>', `ip:port, or ${ADMIN_VARIABLE} is read`)
      .option('--json', 'Print JSON');
  const toRun = (options: {readonly json?: boolean}): AdminRun => ({
    io,
    rawArgs: args,
    json: options.json ?? false,
  });
  add('status', 'Status of each VM given by --admin').action(options =>
    runStatus(toRun(options)),
  );
  for (const name of Object.keys(LIST_COMMANDS) as ListCommand[]) {
    add(name, LIST_COMMANDS[name]).action(options =>
      runList(toRun(options), name),
    );
  }
  add('top', 'Percentiles and counts over all VMs asked').action(options =>
    runTop(toRun(options)),
  );
  add('drain <kind> <id>', 'Take a vm or an endpoint out of use').action(
    (kind, id, options) => runDrain(toRun(options), kind, String(id)),
  );
  add('rules <action> [file]', `Rules: ${RULES_ACTIONS.join(', ')}`)
    .option(
      '--based-on <version>',
      'publish: the version it was made from, or none',
    )
    .option('--from <version>', 'diff: the older version')
    .option('--to <version>', 'diff: the newer version')
    .option(
      '--version-number <version>',
      'show: a version other than the current one',
    )
    .action((action, file, options) => runRules(toRun(options), action, file));
  add(
    'report [file]',
    'Write a run, a day of logs, or the figures of VMs, as an HTML page',
  )
    .option('--out <file>', 'The page to write')
    .action((file, options) => runReport(toRun(options), file));
  add('audit <action> [file]', `Audit: ${AUDIT_ACTIONS.join(', ')}`)
    .option('--from <offset>', 'show, export: the first block to read')
    .option('--subject <name>', 'show: a request, step or rollout')
    .option('--out <file>', 'export: the file to write')
    .action((action, file, options) => runAudit(toRun(options), action, file));
  cli
    .command('token <action> <name>', 'token hash NAME: mint a token')
    .option('--team <team>', 'Team that the token acts for')
    .option('--roles <roles>', 'read, publish, audit (default: read)')
    .option('--days <days>', 'Days until it expires (default: 90)')
    .action((action, name) => runToken(io, args, action, String(name)));
}

function reportUnknownCommand(cli: CAC): ExitCode {
  if (cli.args.length === 0) {
    cli.outputHelp();
    return EXIT_CODES.usage;
  }
  throw new UsageError(`unknown command ${cli.args[0]}`);
}

function isUsageError(err: unknown): err is Error {
  // The option parser (cac) does not export its error class.
  return err instanceof Error && ['UsageError', 'CACError'].includes(err.name);
}

function listCodes(): string {
  return (Object.keys(EXIT_CODES) as Array<keyof typeof EXIT_CODES>)
    .map(name => `  ${EXIT_CODES[name]}  ${EXIT_CODE_TEXTS[name]}`)
    .join('\n');
}
