/** `radishyoke explain`: shows which rule decides a request and why earlier ones do not match. */

import {z} from 'zod';
import type {RuleFacts, RuleAction} from '@radishyoke/core/rules/rule';
import {
  explainRules,
  RuleExplanation,
  SkippedRule,
} from '@radishyoke/core/rules/rule_explanation';
import {toDataCentreId, toTenantId} from '@radishyoke/shared/ids';
import {reportProblems} from './check_command.js';
import type {CliIo} from './cli_io.js';
import {readRulesFile} from './config_file.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';
import {readOption, readOptions} from './raw_option.js';
import {UsageError} from './usage_error.js';

const requestSchema = z.strictObject({
  tenant: z.string().min(1),
  workClass: z.enum(['interactive', 'rollout']).optional(),
  model: z.string().optional(),
  method: z
    .string()
    .default('GET')
    .transform(method => method.toUpperCase()),
  path: z.string().startsWith('/').default('/'),
  headers: z.record(z.string(), z.string()).default({}),
  dataCentre: z.string().default(''),
});

/** Explains how the rules file at `path` decides the request given by the arguments. */
export async function runExplain(
  io: CliIo,
  path: string,
  rawArgs: readonly string[],
  {json}: {readonly json?: boolean},
): Promise<ExitCode> {
  const facts = readFacts(rawArgs);
  const read = await readRulesFile(path);
  if (!read.ok) return reportProblems(io, path, read.error, json);
  const explanation = explainRules(read.value.ruleSet, facts);
  io.writeOut(json ? JSON.stringify(explanation) : renderText(explanation));
  return explanation.decision ? EXIT_CODES.ok : EXIT_CODES.noRule;
}

function readFacts(rawArgs: readonly string[]): RuleFacts {
  const text = readOption(rawArgs, 'request');
  const parsed = requestSchema.safeParse(
    text === undefined ? readFactOptions(rawArgs) : parseJson(text),
  );
  if (!parsed.success) throw new UsageError(z.prettifyError(parsed.error));
  const {tenant, dataCentre, headers, ...rest} = parsed.data;
  return {
    ...rest,
    tenant: toTenantId(tenant),
    dataCentre: toDataCentreId(dataCentre),
    headers: lowerCaseNames(headers),
  };
}

function readFactOptions(rawArgs: readonly string[]): unknown {
  const headers = readOptions(rawArgs, 'header').map(readHeaderOption);
  return {
    tenant: readOption(rawArgs, 'tenant'),
    workClass: readOption(rawArgs, 'class'),
    model: readOption(rawArgs, 'model'),
    method: readOption(rawArgs, 'method'),
    path: readOption(rawArgs, 'path'),
    headers: Object.fromEntries(headers),
    dataCentre: readOption(rawArgs, 'data-centre'),
  };
}

function readHeaderOption(text: string): readonly [string, string] {
  const colon = text.indexOf(':');
  if (colon < 1) throw new UsageError(`--header wants "name: value": ${text}`);
  return [text.slice(0, colon).trim(), text.slice(colon + 1).trim()];
}

function lowerCaseNames(
  headers: Readonly<Record<string, string>>,
): RuleFacts['headers'] {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value]),
  );
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new UsageError(`--request wants a JSON object: ${text}`);
  }
}

function renderText({decision, skipped}: RuleExplanation): string {
  const lines = skipped.map(renderSkipped);
  if (decision) {
    lines.push(`match [rule.${decision.rule}]: ${renderAction(decision.then)}`);
  } else {
    lines.push('no rule matches; the request is refused with no_rule');
  }
  return lines.join('\n');
}

function renderSkipped({rule, failed}: SkippedRule): string {
  const reasons = failed.map(
    ({key, expected, found}) =>
      `${key} wants ${expected.join(' or ')}, the request has ${found ?? 'none'}`,
  );
  return `skip  [rule.${rule}]: ${reasons.join('; ')}`;
}

function renderAction(action: RuleAction): string {
  if (action.kind === 'refuse') return `refuse with ${action.error}`;
  const details = Object.entries(action)
    .filter(
      ([key, value]) => !/^(kind|group)$/.test(key) && value !== undefined,
    )
    .map(([key, value]) => `${key}=${value}`);
  return `route to ${action.group} (${details.join(', ')})`;
}
