/** Defines client accounts and the identities under which callers are admitted. */

/** A trainer or app whose requests are accounted for together. */
export interface ClientAccount {
  readonly name: string;
  /** Secret keys; a request must carry one of them. */
  readonly keys: readonly string[];
  /** Overrides the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
}

/** Sender of a request, according to the configuration. */
export type Caller =
  /** The configuration has no accounts, so no key is required. */
  | {readonly kind: 'unchecked'}
  /** Admitted by a public route without a valid key. */
  | {readonly kind: 'anonymous'}
  | {readonly kind: 'account'; readonly name: string};

/** Whether a request is admitted, and for whom. */
export type Admission =
  | {readonly kind: 'admitted'; readonly caller: Caller}
  /** No account has the key; final for the caller. */
  | {readonly kind: 'refused'}
  /** This VM's configuration may be outdated: a newer one may have the key. */
  | {readonly kind: 'uncertain'};

/** How far a VM may rely on its configuration. */
export type ConfigFreshness =
  /** It had read all existing versions a moment ago. */
  | 'current'
  /** The log may have a newer version. */
  | 'behind'
  /**
   * So outdated that keys may have been revoked longer ago than the operator
   * allows.
   */
  | 'expired';
