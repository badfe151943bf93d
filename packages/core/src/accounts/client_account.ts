/** Client accounts of the configuration, and who a caller is by them. */

/** A trainer or app whose requests are accounted for together. */
export interface ClientAccount {
  readonly name: string;
  /** Secrets that its requests carry; any one of them is enough. */
  readonly keys: readonly string[];
  /** Goes before the priority of a rule; 0 is the most urgent. */
  readonly priority?: number;
}

/** Who sent a request, as far as the configuration tells. */
export type Caller =
  /** The configuration has no accounts: nobody is asked for a key. */
  | {readonly kind: 'unchecked'}
  /** Admitted by a public rule, without a key that an account holds. */
  | {readonly kind: 'anonymous'}
  | {readonly kind: 'account'; readonly name: string};

/** Whether a request is admitted, and as whose. */
export type Admission =
  | {readonly kind: 'admitted'; readonly caller: Caller}
  /** No account holds the key: final for the caller. */
  | {readonly kind: 'refused'}
  /** This VM's configuration may be behind: another one may know the key. */
  | {readonly kind: 'uncertain'};

/** How far a VM may rely on the configuration that it knows. */
export type ConfigFreshness =
  /** It has read all versions there were a moment ago. */
  | 'current'
  /** A newer version may stand in the log. */
  | 'behind'
  /** So far behind that keys may have been taken away longer ago than the operator allows. */
  | 'expired';
