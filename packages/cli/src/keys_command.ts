/**
 * `radishyoke keys`: prints the reference of all configuration keys, in Markdown.
 * docs/CONFIGURATION.md is this output; a test compares the two.
 */

import {KeySpec, SectionSpec} from '@radishyoke/core/rules/key_spec';
import {
  CONFIG_SPEC,
  GROUP_SPEC,
  HEADER_CONDITION_SPEC,
  MAX_HEADER_NAMES,
  MAX_RULES,
  RULE_SPEC,
} from '@radishyoke/core/rules/rule_schema';
import {
  SETTINGS_SPEC,
  TENANT_SPEC,
  TOKEN_SPEC,
} from '@radishyoke/daemon/settings/settings_schema';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';

const INTRODUCTION = `# Configuration

Printed by \`radishyoke keys\`; a test compares this page with that output.

There are two kinds of INI file, and \`radishyoke check FILE\` checks either. A mistake is named by file, line, section and key, with what was expected; the exit code is then 3. In both kinds each section and key stands once. A line that begins with \`;\` or \`#\` is a comment; a value that holds one of these characters is put in double quotes. A duration or size always has its unit (\`200ms\`, \`5s\`, \`2m\`, \`1h\`; \`64KiB\`, \`16MiB\`). Lists have commas between their values.`;

const SETTINGS_TEXT = `## Process settings

Read once by \`radishyoke serve FILE\`, before any port opens. An example is [examples/settings.ini](../examples/settings.ini). Addresses are IP numbers; names are not resolved.`;

const TENANTS_TEXT =
  'Each key is the name of a tenant. At least one is required.';

const TOKEN_TEXT =
  'One section for each token of the administration API. `radishyoke token hash` prints it.';

const RULES_TEXT = `## Operators' rules

Published by \`radishyoke rules publish FILE\`. Examples are [examples/rules-kodkutu.ini](../examples/rules-kodkutu.ini) and [examples/rules-castellanos.ini](../examples/rules-castellanos.ini). Rules are tried in the order in which they stand; the first whose conditions all hold decides the request. A condition that lists several values holds if one of them does. A request that no rule matches is refused with \`no_rule\`. There are at most ${MAX_RULES} rules, which look at ${MAX_HEADER_NAMES} different headers at most.`;

const GROUP_TEXT =
  "Optional. A group that no section names holds the endpoints that carry its name as `group` in the platform's VM list. Endpoints are shared by all teams and each is in one group, so only the platform team's sections count, or those of the only team.";

/** Prints the reference. */
export function runKeys(io: CliIo): ExitCode {
  io.writeOut(renderReference());
  return EXIT_CODES.ok;
}

/** Renders the page, without a line break at the end. */
export function renderReference(): string {
  const settings = Object.entries(SETTINGS_SPEC).map(([name, spec]) =>
    renderSection(name, spec),
  );
  return [
    INTRODUCTION,
    SETTINGS_TEXT,
    ...settings,
    renderSection('tenants', {'*tenant*': TENANT_SPEC}, TENANTS_TEXT),
    renderSection('token.NAME', TOKEN_SPEC, TOKEN_TEXT),
    RULES_TEXT,
    renderSection('config', CONFIG_SPEC),
    renderSection('group.NAME', GROUP_SPEC, GROUP_TEXT),
    renderSection('rule.NAME', {
      ...RULE_SPEC,
      'when.header.NAME': HEADER_CONDITION_SPEC,
    }),
  ].join('\n\n');
}

function renderSection(name: string, spec: SectionSpec, text = ''): string {
  const rows = Object.entries(spec).map(([key, keySpec]) =>
    renderRow(key, keySpec),
  );
  const table = [
    '| key | unit | default | range | meaning |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n');
  const heading = `### \`[${name}]\``;
  return [heading, text, table].filter(Boolean).join('\n\n');
}

function renderRow(key: string, spec: KeySpec<unknown>): string {
  const {unit, range} = spec.type;
  const cells = [
    `\`${key}\``,
    unit,
    renderDefault(spec),
    range,
    spec.description,
  ];
  return `| ${cells.map(cell => cell.replaceAll('|', '\\|')).join(' | ')} |`;
}

function renderDefault({defaultText, optional}: KeySpec<unknown>): string {
  if (defaultText !== undefined) return `\`${defaultText}\``;
  return optional ? 'none' : 'required';
}
