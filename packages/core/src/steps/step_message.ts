/** What a step's owner tells its state machine, and what that answers. */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointId} from '@radishyoke/shared/ids';
import type {
  CommittedSample,
  SampleCommit,
} from '@radishyoke/shared/log_record';
import type {StepEvent, TokenSpan} from '@radishyoke/shared/rollout';

/** Which sample of the step, both from 0. */
export interface SampleRef {
  readonly group: number;
  readonly sample: number;
}

/** The output of the attempt that won. */
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
  /** The partial output of a running sample is already over the bound. */
  | ({readonly kind: 'outdated'} & SampleRef)
  /** The log holds these winners and no newer owner existed before them. */
  | {
      readonly kind: 'committed';
      readonly samples: readonly CommittedSample[];
    }
  /** The log did not take these; they are committed again. */
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
  /** The text of an earlier owner's winner was had from its engine, or not. */
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
      /** Number of the first attempt; later ones count on. */
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

/** What the log already holds of the step when this owner takes it. */
export interface StepHistory {
  readonly committed: readonly CommittedSample[];
  readonly acknowledgedCursor: number;
  /** Highest cursor ever committed, voided ones included. */
  readonly highestCursor: number;
  readonly weightVersion: number;
  /** Attempts begun so far, by sample, for numbering. */
  readonly attempts: ReadonlyMap<string, number>;
}

/** Counts for status pages. */
export interface StepProgress {
  readonly samples: number;
  readonly settled: number;
  readonly acknowledged: number;
  readonly attached: boolean;
}

/** Names a sample within its step. */
export function formatSampleKey(ref: SampleRef): string {
  return `${ref.group}/${ref.sample}`;
}
