/** Authenticates requests to the administration API by their bearer token. */

import {createHash, timingSafeEqual} from 'node:crypto';
import {createError} from '@radishyoke/shared/error_kind';
import type {TeamId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {matchesHash, readTokenName} from './admin_token.js';
import type {Role, TokenSettings} from '../settings/settings.js';

/** The holder of a valid token. */
export interface Principal {
  readonly tokenName: string;
  readonly team: TeamId;
  readonly roles: readonly Role[];
}

/**
 * Maximum number of concurrent hash computations; each takes memory and a
 * thread.
 */
const MAX_CONCURRENT_CHECKS = 2;
/** Maximum number of waiting checks; further ones are refused. */
const MAX_WAITING_CHECKS = 32;

/** A hash that no token matches; checked for unknown names. */
const UNKNOWN_HASH = `scrypt$12$${'A'.repeat(22)}$${'A'.repeat(43)}`;

/** Checks tokens against the hashes in the settings. */
export class Authenticator {
  private readonly tokens: ReadonlyMap<string, TokenSettings>;
  /**
   * SHA-256 digests of verified tokens by name, so that scrypt runs once per
   * token.
   */
  private readonly verifiedDigests = new Map<string, Buffer>();
  private readonly waitingChecks: Array<() => void> = [];
  private runningChecks = 0;

  constructor(tokens: readonly TokenSettings[]) {
    this.tokens = new Map(tokens.map(token => [token.name, token]));
  }

  /** Authenticates an `authorization` header. `nowMs` is Unix time. */
  async authenticate(
    header: string | undefined,
    nowMs: number,
  ): Promise<Result<Principal>> {
    const token = /^Bearer (\S+)$/i.exec(header ?? '')?.[1];
    const name = token && readTokenName(token);
    if (!token || !name) return fail(createError('unauthorized'));
    const settings = this.tokens.get(name);
    const checked = await this.check(token, settings);
    if (!checked.ok) return checked;
    // Wrong and expired tokens get the same answer, so that it does not reveal
    // which tokens were once valid.
    if (!checked.value || !settings || !(nowMs < settings.expiresAtMs)) {
      return fail(createError('unauthorized'));
    }
    const {team, roles} = settings;
    return succeed({tokenName: name, team, roles});
  }

  /**
   * Returns the token name in `header` if the settings define it. Only such a
   * name is safe to log: any other text may be part of a secret.
   */
  findTokenName(header: string | undefined): string | undefined {
    const name = readTokenName(header?.replace(/^Bearer /i, '') ?? '');
    return name !== undefined && this.tokens.has(name) ? name : undefined;
  }

  private async check(
    token: string,
    settings: TokenSettings | undefined,
  ): Promise<Result<boolean>> {
    const digest = createHash('sha256').update(token).digest();
    const verified = settings && this.verifiedDigests.get(settings.name);
    if (verified && timingSafeEqual(verified, digest)) return succeed(true);
    // Unknown names take as long as known ones, so that an attacker can not
    // find existing names by timing.
    return this.runWhenSlotFree(async () => {
      const isMatch = await matchesHash(token, settings?.hash ?? UNKNOWN_HASH);
      if (isMatch && settings) this.verifiedDigests.set(settings.name, digest);
      return isMatch && settings !== undefined;
    });
  }

  /** Runs a check once a slot is free; refuses it if too many are waiting. */
  private async runWhenSlotFree<T>(run: () => Promise<T>): Promise<Result<T>> {
    if (this.runningChecks >= MAX_CONCURRENT_CHECKS) {
      // Hashing a flood of wrong tokens would take processor time from callers'
      // requests and slow down the answers of the caller listener.
      if (this.waitingChecks.length >= MAX_WAITING_CHECKS) {
        return fail(
          createError('overloaded', 'too many token checks are waiting'),
        );
      }
      await new Promise<void>(resolve => this.waitingChecks.push(resolve));
    } else {
      this.runningChecks++;
    }
    try {
      return succeed(await run());
    } finally {
      const next = this.waitingChecks.shift();
      if (next) next();
      else this.runningChecks--;
    }
  }
}
