/** Defines the ways in which one attempt on an endpoint can end. */

import type {TokenSpan} from '@radishyoke/shared/rollout';

/** All ways in which an attempt can fail. */
export type FailureKind =
  /** No connection was made; nothing was sent. */
  | 'connect_failed'
  /** Connected, but nothing was received within the progress timeout. */
  | 'silent'
  /** The connection broke after the request could have been received. */
  | 'connection_lost'
  /** The endpoint's process crashed while it had the request. */
  | 'crashed'
  /** The endpoint rejected the request for overload (429 or 503). */
  | 'rejected'
  /** The endpoint returned another 5xx. */
  | 'server_error'
  /** The endpoint returned a 4xx other than 429. */
  | 'client_error'
  /** The output is older than the staleness bound. */
  | 'stale';

/** The end of one attempt. */
export type AttemptOutcome =
  | {
      readonly kind: 'finished';
      /** Includes resumed tokens, as do the spans. */
      readonly tokens: number;
      readonly spans: readonly TokenSpan[];
    }
  | {
      readonly kind: 'failed';
      readonly failure: FailureKind;
      /** Whether any byte of the request may have reached the endpoint. */
      readonly sent: boolean;
      /** Tokens of the output received, including resumed ones. */
      readonly tokensReceived: number;
    }
  | {readonly kind: 'stopped'};
