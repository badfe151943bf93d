/** `radishyoke rules`: publishes, dry-runs, compares and lists operators' rules. */

import {reportProblems} from './check_command.js';
import {AdminRun, reportFailure, reportResult} from './admin_commands.js';
import {AdminClient, createClients} from './admin_client.js';
import {readRulesFile} from './config_file.js';
import type {ExitCode} from './exit_code.js';
import {readOption} from './raw_option.js';
import {renderItems} from './table.js';
import {UsageError} from './usage_error.js';

export const RULES_ACTIONS = [
  'publish',
  'dry-run',
  'diff',
  'history',
  'show',
] as const;

/** Value of `basedOn` for rules that are not based on a published version. */
const NO_VERSION = -1;

/** Runs `radishyoke rules ACTION [FILE]`. */
export async function runRules(
  run: AdminRun,
  action: string,
  file: string | undefined,
): Promise<ExitCode> {
  const [client] = createClients(run.io, run.rawArgs);
  switch (action) {
    case 'publish':
      return publish(run, client, file);
    case 'dry-run':
      return dryRun(run, client, file);
    case 'diff':
      return diff(run, client);
    case 'history':
      return showHistory(run, client);
    case 'show':
      return show(run, client);
    default:
      throw new UsageError(`rules wants one of ${RULES_ACTIONS.join(', ')}`);
  }
}

async function publish(
  run: AdminRun,
  client: AdminClient,
  file: string | undefined,
): Promise<ExitCode> {
  const read = await readRulesFile(requireFile(file));
  if (!read.ok) return reportProblems(run.io, file!, read.error, run.json);
  const basedOn = await findBaseVersion(run, client);
  if (typeof basedOn !== 'number') return basedOn.code;
  const {text} = read.value;
  const result = await client.post('published', 'rules', {basedOn, text});
  return reportResult(
    run,
    result,
    ({version}) => `version ${version} is published, based on ${basedOn}`,
  );
}

/** Returns the version given by `--based-on`, or else the current one. */
async function findBaseVersion(
  run: AdminRun,
  client: AdminClient,
): Promise<number | {readonly code: ExitCode}> {
  const given = readOption(run.rawArgs, 'based-on');
  if (given !== undefined) return readVersion(given);
  const history = await client.get('history', 'rules/history');
  if (!history.ok) return {code: reportFailure(run.io, history.error)};
  return history.value.versions.at(-1)?.version ?? NO_VERSION;
}

async function dryRun(
  run: AdminRun,
  client: AdminClient,
  file: string | undefined,
): Promise<ExitCode> {
  const read = await readRulesFile(requireFile(file));
  if (!read.ok) return reportProblems(run.io, file!, read.error, run.json);
  const {text} = read.value;
  const result = await client.post('dry_run', 'rules/dry-run', {text});
  return reportResult(
    run,
    result,
    ({requests, unchanged, changed}) =>
      `${requests} recorded requests, ${unchanged} decided as now\n` +
      renderItems(changed),
  );
}

async function diff(run: AdminRun, client: AdminClient): Promise<ExitCode> {
  const result = await client.get('diff', 'rules/diff', {
    from: readOption(run.rawArgs, 'from'),
    to: readOption(run.rawArgs, 'to'),
  });
  return reportResult(run, result, ({patch}) => patch);
}

async function showHistory(
  run: AdminRun,
  client: AdminClient,
): Promise<ExitCode> {
  const result = await client.get('history', 'rules/history');
  return reportResult(run, result, ({versions}) =>
    renderItems(
      versions.map(({publishedAtMs, ...version}) => ({
        ...version,
        publishedAt: new Date(publishedAtMs).toISOString(),
      })),
    ),
  );
}

async function show(run: AdminRun, client: AdminClient): Promise<ExitCode> {
  const version = readOption(run.rawArgs, 'version-number');
  const result = await client.get('rules', 'rules', {version});
  return reportResult(run, result, ({text}) => text);
}

function requireFile(file: string | undefined): string {
  if (file === undefined) throw new UsageError('a rules file is required');
  return file;
}

function readVersion(text: string): number {
  if (text === 'none') return NO_VERSION;
  if (!/^\d{1,15}$/.test(text)) {
    throw new UsageError(`--based-on wants a version number or none: ${text}`);
  }
  return Number(text);
}
