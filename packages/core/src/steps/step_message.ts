/** Inputs and outputs of the state machine of a step. */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {
  CommittedSample,
  SampleCommit,
} from '@radishyoke/shared/log_record';
import type {StepEvent, TokenSpan} from '@radishyoke/shared/rollout';

/** Identifies a sample of the step; both indices start at 0. */
export interface SampleRef {
  readonly group: number;
  readonly sample: number;
}

/** Output of the winning attempt. */
export interface SampleOutput extends SampleRef {
  readonly attempt: number;
  readonly endpoint: EndpointId;
  readonly text: string;
  readonly spans: readonly TokenSpan[];
  readonly finishReason: string;
}

export type StepInput =
  | {readonly kind: 'finished'; readonly output: SampleOutput}
  | ({readonly kind: 'failed'; readonly error: RadishyokeError} & SampleRef)
  /**
   * The partial output of a running sample already exceeds the staleness bound.
   */
  | ({readonly kind: 'outdated'} & SampleRef)
  /**
   * The log contains these winners, at a position before any newer owner's
   * claim.
   */
  | {
      readonly kind: 'committed';
      readonly samples: readonly CommittedSample[];
    }
  /** The log did not accept these commits; they are repeated. */
  | {readonly kind: 'commit_failed'; readonly samples: readonly SampleRef[]}
  | {
      readonly kind: 'attached';
      readonly cursor: number;
      readonly weightVersion: number;
    }
  | {readonly kind: 'detached'}
  | {
      readonly kind: 'acknowledged';
      readonly cursor: number;
      readonly weightVersion: number;
    }
  /**
   * Result of recovering the text of an earlier owner's winner from its engine.
   */
  | {
      readonly kind: 'recovered';
      readonly cursor: number;
      readonly output?: SampleOutput;
    }
  | {readonly kind: 'cancel'}
  | {readonly kind: 'tick'};

export type StepOutput =
  | ({
      readonly kind: 'run';
      /** Number of the first attempt; later attempts count up from it. */
      readonly firstAttempt: number;
      readonly minWeightVersion: number;
    } & SampleRef)
  | ({readonly kind: 'abandon'} & SampleRef)
  | {readonly kind: 'min_version'; readonly minWeightVersion: number}
  | {readonly kind: 'commit'; readonly samples: readonly SampleCommit[]}
  | {readonly kind: 'void'; readonly cursors: readonly number[]}
  | {readonly kind: 'send'; readonly event: StepEvent}
  | {readonly kind: 'recover'; readonly committed: CommittedSample}
  | {
      readonly kind: 'acknowledge';
      readonly cursor: number;
      readonly weightVersion: number;
    }
  | {
      readonly kind: 'close';
      readonly reason: 'complete' | 'cancelled' | 'timed_out';
    };

/** State of the step in the log when this owner takes it over. */
export interface StepHistory {
  readonly committed: readonly CommittedSample[];
  readonly acknowledgedCursor: number;
  /** Highest cursor ever committed, including voided ones. */
  readonly highestCursor: number;
  readonly weightVersion: number;
  /** Highest attempt number so far, by sample key. */
  readonly attempts: ReadonlyMap<string, number>;
}

/** Counts for status pages. */
export interface StepProgress {
  readonly samples: number;
  readonly settled: number;
  readonly acknowledged: number;
  readonly attached: boolean;
}

/** Returns the key of a sample within its step. */
export function buildSampleKey(ref: SampleRef): string {
  return `${ref.group}/${ref.sample}`;
}
