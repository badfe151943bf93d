/**
 * Finds the client account of a key; the cost of a look-up does not depend on the
 * number of accounts.
 */

import type {
  Admission,
  Caller,
  ClientAccount,
  ConfigFreshness,
} from './client_account.js';

/** A request to be admitted. */
export interface AdmissionQuery {
  /** Key sent by the caller; undefined if it sent none. */
  readonly key: string | undefined;
  /** Whether the request's route requires no key. */
  readonly isPublic: boolean;
  readonly freshness: ConfigFreshness;
}

export class AccountDirectory {
  private readonly byKey = new Map<string, ClientAccount>();
  private readonly byName = new Map<string, ClientAccount>();

  /** @param accounts Undefined if the configuration has no accounts. */
  constructor(private readonly accounts: readonly ClientAccount[] | undefined) {
    for (const account of accounts ?? []) {
      this.byName.set(account.name, account);
      for (const key of account.keys) this.byKey.set(key, account);
    }
  }

  /** Returns the account's own priority, if it has one. */
  findPriority(name: string | undefined): number | undefined {
    return name === undefined ? undefined : this.byName.get(name)?.priority;
  }

  /** Whether requests need a key. */
  get isEnabled(): boolean {
    return this.accounts !== undefined;
  }

  /** Priority of the account, which overrides that of routes; undefined if it has none. */
  getPriority(name: string): number | undefined {
    return this.byName.get(name)?.priority;
  }

  /**
   * Decides to which account a request belongs. A refusal is final for the
   * caller, so it requires the newest configuration. A VM without current
   * configuration continues to serve keys that it has, unless the operator limits
   * that.
   */
  admit({key, isPublic, freshness}: AdmissionQuery): Admission {
    if (!this.isEnabled) return admitAs({kind: 'unchecked'});
    const account = key === undefined ? undefined : this.byKey.get(key);
    if (!account && isPublic) return admitAs({kind: 'anonymous'});
    if (freshness === 'expired') return {kind: 'uncertain'};
    if (account) return admitAs({kind: 'account', name: account.name});
    return {kind: freshness === 'current' ? 'refused' : 'uncertain'};
  }

  /**
   * Returns the identity under which accepted work continues, given the account
   * for which it was accepted.
   */
  describeOwner(account: string | undefined): Caller {
    if (account !== undefined) return {kind: 'account', name: account};
    return {kind: this.isEnabled ? 'anonymous' : 'unchecked'};
  }
}

/**
 * Whether `caller` may read and end work that was accepted for `owner`. Work
 * without an owner is open to all: a public route admitted it, or there were no
 * accounts yet.
 */
export function isOwner(caller: Caller, owner: string | undefined): boolean {
  if (owner === undefined || caller.kind === 'unchecked') return true;
  return caller.kind === 'account' && caller.name === owner;
}

function admitAs(caller: Caller): Admission {
  return {kind: 'admitted', caller};
}
