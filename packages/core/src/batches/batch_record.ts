/**
 * Defines the records of batches in the log. Three topics share the same
 * partitions: an index, which every VM folds to the same positions; payloads, the
 * bytes of submissions and output, read only on demand; and progress, read only by
 * a coordinator that takes over.
 */

/**
 * The request that scores an item's output. It is routed to a plain endpoint
 * once the output is complete, and may be repeated. The proof of origin on its
 * response is the score.
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
  /**
   * Items of a group share their prompt; a trainer only uses complete groups.
   */
  readonly group: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /**
   * The submitter's estimate: correct at the median, often far off for a
   * single item.
   */
  readonly expectedOutputTokens: number;
  /** Present if the item is only done once it has a score. */
  readonly reward?: RewardRequest;
}

/** What the configuration promised when it accepted a batch. */
export interface AcceptanceTerms {
  /** Version of the configuration whose route accepted the batch. */
  readonly configVersion: number;
  /** Items may be given up this long after the submission, ms. */
  readonly retentionMs: number;
}

/** A batch without its items. */
export interface BatchHeader {
  readonly id: string;
  /** Host and path of the submission; they select the batch's route. */
  readonly host: string;
  readonly path: string;
  /**
   * Client account that submitted the batch; absent if its route is public or
   * there are no accounts.
   */
  readonly account?: string;
  readonly step: number;
  readonly model: string;
  /** Oldest weight version that may generate its output. */
  readonly minVersion: number;
  /** Number of complete groups that the trainer waits for. */
  readonly groupsWanted: number;
  /** Unix ms of the first submission. */
  readonly submittedAtMs: number;
  /** Absent in records of builds that did not store it. */
  readonly acceptedUnder?: AcceptanceTerms;
}

/** A batch as submitted. */
export interface Batch extends BatchHeader {
  readonly items: readonly BatchItem[];
}

/** One event of a generation. */
export interface OutputEvent {
  readonly id: number;
  readonly data: string;
  /** Weight version that generated it. */
  readonly version: number;
  /** The run that generated it; unique across all VMs. */
  readonly run: string;
}

export type ResultState = 'done' | 'errored';

/** Outcome of an item. */
export interface ItemResult {
  readonly itemId: string;
  readonly state: ResultState;
  readonly output: string;
  /** All weight versions that generated events of `output`, ascending. */
  readonly versions: readonly number[];
  /**
   * Proof of origin of the reward response, for items with a reward request.
   */
  readonly score?: string;
  /** Whether its trainer then has all that its step waits for. */
  readonly endsStep?: boolean;
}

/** One record of the payload topic. */
export interface PayloadPart {
  readonly offset: number;
  readonly bytes: number;
}

/**
 * Where the bytes of a submission or of an output are stored, in order; they
 * are in the batch's partition.
 */
export type PayloadRef = readonly PayloadPart[];

/** A result as stored in the index, without its output. */
export interface ListedResult {
  readonly itemId: string;
  readonly state: ResultState;
  readonly versions: readonly number[];
  readonly score?: string;
  readonly endsStep?: boolean;
  /** Location of the output, as UTF-8. */
  readonly text: PayloadRef;
  /** Incarnation of the coordinator that wrote it. */
  readonly writer: string;
}

/** A failure that counts towards the limits of an item. */
export type FailureKind =
  /** An endpoint answered that the run failed. */
  | 'attempt_failed'
  /** An endpoint answered that the item can never be done. */
  | 'attempt_impossible'
  /** An endpoint answered that the item's reward call failed. */
  | 'reward_failed';

/** Records the failure of one attempt. Each attempt counts once. */
export interface FailureRecord {
  readonly kind: FailureKind;
  readonly batchId: string;
  readonly itemId: string;
  /**
   * Id of the run or reward call, unique across all VMs and their terms as
   * coordinator. Absent in records of builds that did not store it.
   */
  readonly attempt?: string;
}

/**
 * One record of the index. An append without an answer is repeated, and the log
 * may store both copies, seconds apart and with records of other writers between
 * them. Each kind must therefore have its effect once, whatever the order of the
 * copies; the comment on it says what makes a copy void.
 */
export type IndexRecord =
  /**
   * The batch is accepted; its payload was stored before this record. The first
   * acceptance of a batch id counts, also once the batch has ended; after the
   * retention of the batch, none does.
   */
  | {
      readonly kind: 'accepted';
      readonly header: BatchHeader;
      readonly itemIds: readonly string[];
      /**
       * Number of the group of each item, in the order of `itemIds`; absent if
       * readers of the index do not need to know when groups are complete.
       */
      readonly groupNumbers?: readonly number[];
      readonly payload: PayloadRef;
    }
  /** The first result of an item counts. */
  | {
      readonly kind: 'result';
      readonly batchId: string;
      readonly listed: ListedResult;
    }
  /** The first record of an attempt counts. */
  | FailureRecord
  /** A batch ends once. */
  | {readonly kind: 'ended'; readonly batchId: string};

/**
 * Output events of a running item, for a coordinator that takes over. Each record
 * is applied once, wherever copies of it are stored.
 */
export interface ProgressRecord {
  readonly batchId: string;
  readonly itemId: string;
  /**
   * The run that generated the event before `events`; absent if the output
   * starts with them.
   */
  readonly afterRun?: string;
  readonly events: readonly OutputEvent[];
  /** Whether the output ends with `events`. */
  readonly isWhole?: boolean;
}
