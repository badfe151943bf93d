/** Finds the account of a key. The cost of a look-up does not grow with accounts. */

import type {
  Admission,
  Caller,
  ClientAccount,
  ConfigFreshness,
} from './client_account.js';

/** What is asked of one request. */
export interface AdmissionQuery {
  /** As the caller sent it; undefined where it sent none. */
  readonly key: string | undefined;
  /** Whether its rule asks for no key. */
  readonly isPublic: boolean;
  readonly freshness: ConfigFreshness;
}

export class AccountDirectory {
  private readonly byKey = new Map<string, ClientAccount>();

  /** @param accounts Undefined where the configuration knows no accounts. */
  constructor(private readonly accounts: readonly ClientAccount[] | undefined) {
    for (const account of accounts ?? []) {
      for (const key of account.keys) this.byKey.set(key, account);
    }
  }

  /** Whether requests need a key. */
  get isEnabled(): boolean {
    return this.accounts !== undefined;
  }

  /**
   * Decides whose request it is. A refusal is final for a caller, so it takes
   * knowledge of the newest version; a key that is known goes on being served
   * by a VM that is out of touch, unless the operator bounds that.
   */
  admit({key, isPublic, freshness}: AdmissionQuery): Admission {
    if (!this.isEnabled) return admitAs({kind: 'unchecked'});
    const account = key === undefined ? undefined : this.byKey.get(key);
    if (!account && isPublic) return admitAs({kind: 'anonymous'});
    if (freshness === 'expired') return {kind: 'uncertain'};
    if (account) return admitAs({kind: 'account', name: account.name});
    return {kind: freshness === 'current' ? 'refused' : 'uncertain'};
  }

  /** In whose name work goes on that was accepted for the account, if for any. */
  describeOwner(account: string | undefined): Caller {
    if (account !== undefined) return {kind: 'account', name: account};
    return {kind: this.isEnabled ? 'anonymous' : 'unchecked'};
  }
}

/**
 * Whether `caller` may read and end what was accepted for `owner`. What nobody
 * owns is open to all: it came by a public rule, or before there were accounts.
 */
export function isOwner(caller: Caller, owner: string | undefined): boolean {
  if (owner === undefined || caller.kind === 'unchecked') return true;
  return caller.kind === 'account' && caller.name === owner;
}

function admitAs(caller: Caller): Admission {
  return {kind: 'admitted', caller};
}
