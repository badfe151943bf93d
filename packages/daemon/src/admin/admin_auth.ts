/** Decides who a request to the administration API comes from. */

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

/** Hashes that may be computed at once; each takes memory and a thread. */
const MAX_CONCURRENT_CHECKS = 2;
/** Checks that may wait; more are refused. */
const MAX_WAITING_CHECKS = 32;

/** Hash of nothing that exists; checked for names that are not known. */
const UNKNOWN_HASH = `scrypt$12$${'A'.repeat(22)}$${'A'.repeat(43)}`;

/** Checks tokens against the settings. */
export class Authenticator {
  private readonly tokens: ReadonlyMap<string, TokenSettings>;
  /** Digests of tokens that were found right, so that each is hashed once. */
  private readonly verifiedDigests = new Map<string, Buffer>();
  private readonly waitingChecks: Array<() => void> = [];
  private runningChecks = 0;

  constructor(tokens: readonly TokenSettings[]) {
    this.tokens = new Map(tokens.map(token => [token.name, token]));
  }

  /** Reads an `authorization` header. `nowMs` is Unix time. */
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
    // A wrong and an expired token get the same answer: it tells nobody which
    // tokens once were valid.
    if (!checked.value || !settings || !(nowMs < settings.expiresAtMs)) {
      return fail(createError('unauthorized'));
    }
    const {team, roles} = settings;
    return succeed({tokenName: name, team, roles});
  }

  /** The name in `header` if the settings know it: safe to log. */
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
    // Unknown names take the same time as known ones, or an attacker learns by
    // the clock which names exist.
    return this.runWhenSlotFree(async () => {
      const isMatch = await matchesHash(token, settings?.hash ?? UNKNOWN_HASH);
      if (isMatch && settings) this.verifiedDigests.set(settings.name, digest);
      return isMatch && settings !== undefined;
    });
  }

  /** Runs a check when one of few places is free. */
  private async runWhenSlotFree<T>(run: () => Promise<T>): Promise<Result<T>> {
    if (this.runningChecks >= MAX_CONCURRENT_CHECKS) {
      // A flood of wrong tokens would take the processor from the work of
      // callers; it shows as slow answers on the caller listener.
      if (this.waitingChecks.length >= MAX_WAITING_CHECKS) {
        return fail(createError('overloaded', 'too many tokens to check'));
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
