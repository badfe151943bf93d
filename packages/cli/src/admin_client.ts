/** Calls the administration API of one VM. */

import {request} from 'undici';
import {
  ADMIN_ANSWERS,
  AdminAnswer,
  AdminAnswerName,
} from '@radishyoke/daemon/admin/admin_schema';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import type {CliIo} from './cli_io.js';
import {EXIT_CODES, ExitCode} from './exit_code.js';
import {readOption} from './raw_option.js';
import {UsageError} from './usage_error.js';

/** Environment variable with one or more addresses, separated by commas. */
export const ADMIN_VARIABLE = 'RADISHYOKE_ADMIN';
/** Environment variable with the token; as an argument it would be visible in `ps`. */
export const TOKEN_VARIABLE = 'RADISHYOKE_TOKEN';

const TIMEOUT_MS = 10_000;

/** Why a call failed, and the exit code for that. */
export interface AdminFailure {
  readonly code: ExitCode;
  readonly message: string;
}

const CODES_BY_ERROR: Readonly<Record<string, ExitCode>> = {
  unauthorized: EXIT_CODES.forbidden,
  forbidden: EXIT_CODES.forbidden,
  config_conflict: EXIT_CODES.conflict,
  config_invalid: EXIT_CODES.invalidConfig,
};

export class AdminClient {
  constructor(
    readonly address: string,
    private readonly token: string,
  ) {}

  get<Name extends AdminAnswerName>(
    name: Name,
    path: string,
    query: Readonly<Record<string, string | undefined>> = {},
  ): Promise<Result<AdminAnswer<Name>, AdminFailure>> {
    const given = Object.entries(query).filter(
      (entry): entry is [string, string] => entry[1] !== undefined,
    );
    const search = new URLSearchParams(given).toString();
    return this.call(name, 'GET', search ? `${path}?${search}` : path);
  }

  post<Name extends AdminAnswerName>(
    name: Name,
    path: string,
    body: unknown,
  ): Promise<Result<AdminAnswer<Name>, AdminFailure>> {
    return this.call(name, 'POST', path, JSON.stringify(body));
  }

  private async call<Name extends AdminAnswerName>(
    name: Name,
    method: 'GET' | 'POST',
    path: string,
    body?: string,
  ): Promise<Result<AdminAnswer<Name>, AdminFailure>> {
    try {
      const res = await request(`http://${this.address}/admin/v1/${path}`, {
        method,
        body,
        headers: {authorization: `Bearer ${this.token}`},
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const answer = await res.body.json();
      if (res.statusCode !== 200) return fail(this.readFailure(answer));
      const parsed = ADMIN_ANSWERS[name].safeParse(answer);
      if (parsed.success) return succeed(parsed.data as AdminAnswer<Name>);
      const message = `${this.address}: an answer of another version`;
      return fail({code: EXIT_CODES.failure, message});
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      const message = `${this.address}: ${reason || 'no connection'}`;
      return fail({code: EXIT_CODES.unreachable, message});
    }
  }

  private readFailure(answer: unknown): AdminFailure {
    const {error = 'internal', detail = ''} = Object(answer);
    const code = CODES_BY_ERROR[error] ?? EXIT_CODES.failure;
    return {code, message: `${this.address}: ${error}: ${detail}`};
  }
}

/** Creates a client for each address given by `--admin` or the environment. */
export function createClients(
  io: CliIo,
  rawArgs: readonly string[],
): readonly AdminClient[] {
  const addresses = readOption(rawArgs, 'admin') ?? io.env[ADMIN_VARIABLE];
  if (!addresses) {
    throw new UsageError(`--admin or ${ADMIN_VARIABLE} is required`);
  }
  const token = io.env[TOKEN_VARIABLE];
  if (!token) throw new UsageError(`${TOKEN_VARIABLE} is required`);
  return addresses
    .split(',')
    .map(address => new AdminClient(address.trim(), token.trim()));
}
