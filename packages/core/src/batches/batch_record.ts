/**
 * What the log keeps of batches. Every VM folds the same records in the same
 * order, so that all of them agree on which results exist and where they stand.
 */

/**
 * The request that scores an item's text: it goes to a plain endpoint through
 * the routes, once the text is whole, and may be repeated. The proof of origin
 * on its answer is the score.
 */
export interface RewardRequest {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** One request of a batch, as it is sent to an endpoint. */
export interface BatchItem {
  readonly id: string;
  /** Items of a group share their prompt; a trainer uses whole groups only. */
  readonly group: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The submitter's guess, right at the median and often far off. */
  readonly expectedOutputTokens: number;
  /** Present where the item counts as done only with a score. */
  readonly reward?: RewardRequest;
}

/** A batch as submitted. */
export interface Batch {
  readonly id: string;
  /** Host and path it was submitted under: they select its route. */
  readonly host: string;
  readonly path: string;
  readonly step: number;
  readonly model: string;
  /** Oldest weight version that may generate its tokens. */
  readonly minVersion: number;
  /** Complete groups that the trainer waits for. */
  readonly groupsWanted: number;
  readonly items: readonly BatchItem[];
  /** Unix ms of the first submission. */
  readonly submittedAtMs: number;
}

/** One event of a generation. */
export interface OutputEvent {
  readonly id: number;
  readonly data: string;
  /** Weight version that made it. */
  readonly version: number;
  /** The run that made it, unique over all VMs. */
  readonly run: string;
}

export type ResultState = 'done' | 'errored';

/** What became of an item. */
export interface ItemResult {
  readonly itemId: string;
  readonly state: ResultState;
  readonly output: string;
  /** All weight versions that made events of `output`, ascending. */
  readonly versions: readonly number[];
  /** Proof of the reward call's answer, where the item asks for one. */
  readonly score?: string;
}

/** One record of a batch's partition. */
export type BatchRecord =
  /** A slice of an encoded batch that is too large for one record. */
  | {
      readonly kind: 'slice';
      readonly batchId: string;
      /** Tells the slices of two submissions of the same batch apart. */
      readonly submission: string;
      readonly index: number;
      readonly bytes: Uint8Array;
    }
  /** Accepts the batch whose slices went before. */
  | {
      readonly kind: 'accepted';
      readonly batchId: string;
      readonly submission: string;
      readonly slices: number;
    }
  | {
      readonly kind: 'result';
      readonly batchId: string;
      readonly result: ItemResult;
    }
  /** Events that a running item has made, for whoever goes on with it. */
  | {
      readonly kind: 'progress';
      readonly batchId: string;
      readonly itemId: string;
      /** The run that made the event before these; absent where they begin the text. */
      readonly afterRun?: string;
      readonly events: readonly OutputEvent[];
      /** Set where the text ends with these events. */
      readonly isWhole?: boolean;
    }
  /** An endpoint answered that the attempt failed. */
  | {
      readonly kind: 'attempt_failed';
      readonly batchId: string;
      readonly itemId: string;
    }
  /** An endpoint answered that the item's reward call failed. */
  | {
      readonly kind: 'reward_failed';
      readonly batchId: string;
      readonly itemId: string;
    }
  | {readonly kind: 'ended'; readonly batchId: string};
