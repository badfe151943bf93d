/** What goes into an engine and what comes out of it. */

import type {PromptShape} from './prefix_cache.js';

/** One request for a completion. */
export interface EngineRequest extends PromptShape {
  readonly id: string;
  /** Decides the text and how long it gets. */
  readonly seed: number;
  /** Bound on the whole output, resumed tokens included. */
  readonly maxTokens: number;
  /** Tokens of the output that are already there. */
  readonly resumeTokens: number;
  /** Crashes the engine as soon as it generates. */
  readonly poison: boolean;
}

export type SubmitAnswer =
  | {readonly kind: 'accepted'; readonly weightVersion: number}
  | {readonly kind: 'full'; readonly retryAfterMs: number}
  /** A stream with this id is being generated. */
  | {readonly kind: 'duplicate'}
  | {readonly kind: 'down'};

export type FinishReason = 'stop' | 'length';

export type EngineEvent =
  | {
      readonly kind: 'chunk';
      readonly atMs: number;
      readonly id: string;
      /** Position of the first token in the whole output. */
      readonly firstToken: number;
      readonly tokens: number;
      readonly weightVersion: number;
      /** Set on the last chunk of a request, after which nothing follows. */
      readonly finishReason: FinishReason | null;
    }
  /** The process died; all requests and streams are gone. */
  | {
      readonly kind: 'crashed';
      readonly atMs: number;
      readonly lostIds: readonly string[];
    }
  | {readonly kind: 'restarted'; readonly atMs: number}
  /** The stream was dropped, having had no reader for too long. */
  | {readonly kind: 'abandoned'; readonly atMs: number; readonly id: string}
  /** Asks the owner to fetch weights and to call `endFetch`. */
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
