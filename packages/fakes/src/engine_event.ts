/** The requests, orders, events and answers of an engine. */

import type {PromptShape} from './prefix_cache.js';

/** A request for a completion. */
export interface EngineRequest extends PromptShape {
  readonly id: string;
  /** Determines the text and its length. */
  readonly seed: number;
  /** Limit on the complete output, resumed tokens included. */
  readonly maxTokens: number;
  /** Tokens of the output that were generated elsewhere and came with the request. */
  readonly resumeTokens: number;
  /** Whether generating for this request crashes the engine. */
  readonly poison: boolean;
}

export type SubmitAnswer =
  | {readonly kind: 'accepted'; readonly weightVersion: number}
  | {readonly kind: 'full'; readonly retryAfterMs: number}
  /** A stream with this id is waiting or running. */
  | {readonly kind: 'duplicate'}
  | {readonly kind: 'down'};

export type FinishReason = 'stop' | 'length';

export type EngineEvent =
  | {
      readonly kind: 'chunk';
      readonly atMs: number;
      readonly id: string;
      /** Position of the first token in the complete output. */
      readonly firstToken: number;
      readonly tokens: number;
      readonly weightVersion: number;
      /** Set on the last chunk of a request. */
      readonly finishReason: FinishReason | null;
    }
  /** The process crashed; all requests and streams are lost. */
  | {
      readonly kind: 'crashed';
      readonly atMs: number;
      readonly lostIds: readonly string[];
    }
  | {readonly kind: 'restarted'; readonly atMs: number}
  /** The stream was dropped because it had no reader for too long. */
  | {readonly kind: 'abandoned'; readonly atMs: number; readonly id: string}
  /** Asks the owner of the model to fetch the weights and call `endFetch`. */
  | {
      readonly kind: 'fetch_weights';
      readonly atMs: number;
      readonly version: number;
    }
  | {readonly kind: 'swapped'; readonly atMs: number; readonly version: number}
  | {
      readonly kind: 'swap_failed';
      readonly atMs: number;
      readonly version: number;
      readonly detail: string;
    };

/** An order to an engine. */
export type EngineOrder = {readonly fencing: number} & (
  | {readonly kind: 'load_version'; readonly version: number}
  | {readonly kind: 'load_model' | 'load_adapter' | 'set_role'}
);

export type OrderAnswer =
  | {readonly kind: 'begun'}
  | {readonly kind: 'stale_fencing'; readonly highest: number}
  | {readonly kind: 'failed'; readonly detail: string};

/** The answer to `GET /orders`. */
export interface OrderStatus {
  readonly highestFencing: number;
  readonly weightVersion: number;
  readonly loading: number | null;
  readonly lastError: string | null;
}

/** The exported state of a stream. */
export interface KvState {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}
