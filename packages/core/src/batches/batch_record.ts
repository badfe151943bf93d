/**
 * What the log keeps of batches, in three topics of the same partitions: an
 * index, which every VM that is asked folds to the same positions; payloads,
 * which are the bytes of submissions and texts, read only where they are asked
 * for; and progress, which only a coordinator reads that takes over.
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

/** A batch without its items. */
export interface BatchHeader {
  readonly id: string;
  /** Host and path it was submitted under: they select its route. */
  readonly host: string;
  readonly path: string;
  /** Client account it was accepted for; absent where its rule is public or there are no accounts. */
  readonly account?: string;
  readonly step: number;
  readonly model: string;
  /** Oldest weight version that may generate its tokens. */
  readonly minVersion: number;
  /** Complete groups that the trainer waits for. */
  readonly groupsWanted: number;
  /** Unix ms of the first submission. */
  readonly submittedAtMs: number;
}

/** A batch as submitted. */
export interface Batch extends BatchHeader {
  readonly items: readonly BatchItem[];
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

/** One record of the payload topic. */
export interface PayloadPart {
  readonly offset: number;
  readonly bytes: number;
}

/** Where the bytes of a submission or of a text stand, in order; their partition is that of the batch. */
export type PayloadRef = readonly PayloadPart[];

/** A result as the index lists it: all but its text. */
export interface ListedResult {
  readonly itemId: string;
  readonly state: ResultState;
  readonly versions: readonly number[];
  readonly score?: string;
  /** The output, as UTF-8. */
  readonly text: PayloadRef;
  /** Names the life of the coordinator that made it. */
  readonly writer: string;
}

/** One record of the index. */
export type IndexRecord =
  /** The batch counts from here on; its payload was stored before. */
  | {
      readonly kind: 'accepted';
      readonly header: BatchHeader;
      readonly itemIds: readonly string[];
      readonly payload: PayloadRef;
    }
  | {
      readonly kind: 'result';
      readonly batchId: string;
      readonly listed: ListedResult;
    }
  /** An endpoint answered that the attempt failed. */
  | {
      readonly kind: 'attempt_failed';
      readonly batchId: string;
      readonly itemId: string;
    }
  /** An endpoint answered that the item can never be done. */
  | {
      readonly kind: 'attempt_impossible';
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

/** Events that a running item has made, for whoever goes on with it. */
export interface ProgressRecord {
  readonly batchId: string;
  readonly itemId: string;
  /** The run that made the event before these; absent where they begin the text. */
  readonly afterRun?: string;
  readonly events: readonly OutputEvent[];
  /** Set where the text ends with these events. */
  readonly isWhole?: boolean;
}
