/** `radishyoke token hash`: mints a token and prints the settings section that admits it. */

import {hashToken, mintToken} from '@radishyoke/daemon/admin/admin_token';
import {ROLES} from '@radishyoke/daemon/settings/settings_schema';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';
import {readOption, requireOption} from './raw_option.js';
import {UsageError} from './usage_error.js';

const DEFAULT_DAYS = '90';
const MAX_DAYS = 3650;
const MS_PER_DAY = 86_400_000;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]{0,99}$/;

/** Runs `radishyoke token hash NAME`. */
export async function runToken(
  io: CliIo,
  rawArgs: readonly string[],
  action: string,
  name: string,
): Promise<ExitCode> {
  if (action !== 'hash') throw new UsageError('token wants "hash"');
  if (!NAME_PATTERN.test(name)) throw new UsageError(`not a name: ${name}`);
  const team = requireOption(rawArgs, 'team');
  const roles = readRoles(readOption(rawArgs, 'roles') ?? 'read');
  const expires = readExpiry(readOption(rawArgs, 'days') ?? DEFAULT_DAYS);
  const token = mintToken(name);
  const hash = await hashToken(token);
  io.writeErr('The token, shown only now; set RADISHYOKE_TOKEN to it:');
  io.writeErr(token);
  io.writeErr('For the settings of every VM:');
  io.writeOut(
    [
      `[token.${name}]`,
      `team = ${team}`,
      `roles = ${roles}`,
      `hash = ${hash}`,
      `expires = ${expires}`,
    ].join('\n'),
  );
  return EXIT_CODES.ok;
}

function readRoles(text: string): string {
  const roles = text.split(',').map(role => role.trim());
  const validRoles: readonly string[] = ROLES;
  if (!roles.every(role => validRoles.includes(role))) {
    throw new UsageError(`--roles wants some of ${ROLES.join(', ')}`);
  }
  return roles.join(', ');
}

function readExpiry(days: string): string {
  const count = Number(days);
  if (!Number.isInteger(count) || count < 1 || count > MAX_DAYS) {
    throw new UsageError(`--days wants a number from 1 to ${MAX_DAYS}`);
  }
  const expiresAt = new Date(Date.now() + count * MS_PER_DAY);
  return expiresAt.toISOString().replace(/\.\d+Z$/, 'Z');
}
