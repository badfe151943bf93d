/** How one attempt on an endpoint can end. */

import type {TokenSpan} from '@radishyoke/shared/rollout';

/** The closed list of ways in which an attempt fails. */
export type FailureKind =
  /** No connection was made; nothing was sent. */
  | 'connect_failed'
  /** Connected, but nothing was heard for the progress timeout. */
  | 'silent'
  /** The connection broke after the request could have been received. */
  | 'connection_lost'
  /** The endpoint's process crashed while it had the request. */
  | 'crashed'
  /** The endpoint answered that it takes no more (429 or 503). */
  | 'rejected'
  /** The endpoint answered with another 5xx. */
  | 'server_error'
  /** The endpoint answered with a 4xx other than 429. */
  | 'client_error'
  /** The output is older than the staleness bound. */
  | 'stale';

/** The end of one attempt. */
export type AttemptOutcome =
  | {
      readonly kind: 'finished';
      /** Of the whole output, as are the spans. */
      readonly tokens: number;
      readonly spans: readonly TokenSpan[];
    }
  | {
      readonly kind: 'failed';
      readonly failure: FailureKind;
      /** Whether any byte of the request may have reached the endpoint. */
      readonly sent: boolean;
      /** Tokens of the whole output, those resumed from included. */
      readonly tokensReceived: number;
    }
  | {readonly kind: 'stopped'};
