/**
 * Records of the platform's log. Each carries its writer and a sequence number of
 * that writer. If the response to an append is lost, the writer finds the record by
 * reading, and readers count a record only once even if it was appended twice.
 */

import type {ErrorKind} from './error_kind.js';
import type {
  EndpointId,
  IncarnationId,
  RequestId,
  StepId,
  TeamId,
  TenantId,
  VmId,
} from './ids.js';
import type {StepRequest, TokenSpan} from './rollout.js';

/** The log's streams; each has its own offsets. */
export type StreamName = 'config' | 'state' | 'audit';

/** A record as the log returns it. */
export interface LoggedRecord<T> {
  /** Position in the stream, from 0, assigned by the log. */
  readonly offset: number;
  /** Unix ms by the log's clock at which it accepted the record. */
  readonly timeMs: number;
  readonly value: T;
}

/** Identifies a record's writer and its position among that writer's records. */
export interface Stamp {
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  /** Counts from 1 per incarnation and stream. */
  readonly seq: number;
}

/** An operator's publication of a rule set (stream `config`). */
export interface PublishedConfig {
  readonly kind: 'config_published';
  readonly stamp: Stamp;
  readonly team: TeamId;
  /**
   * Version (offset) of the team's configuration that this one is based on; -1 for
   * none.
   */
  readonly basedOn: number;
  readonly author: string;
  /** The INI text. */
  readonly text: string;
}

/** The winning attempt of a sample, as proposed by the step's owner. */
export interface SampleCommit {
  readonly group: number;
  readonly sample: number;
  readonly attempt: number;
  readonly endpoint: EndpointId;
  readonly spans: readonly TokenSpan[];
  /** SHA-256 of the text, hex; empty for a shortfall. */
  readonly digest: string;
  /** Set if the sample was given up; the trainer receives a shortfall event instead. */
  readonly shortfall?: ErrorKind;
}

/**
 * The winning attempt of a sample, as accepted by the fold of the log. The fold
 * assigns the cursor, so two owners cannot give the same position to two samples.
 */
export interface CommittedSample extends SampleCommit {
  /**
   * Position in the trainer's stream, counted from 1; strictly increasing, may have
   * gaps.
   */
  readonly cursor: number;
}

/**
 * One part of a snapshot of the state folded from all records before `asOf`. A reader
 * starts from a complete snapshot if retention has dropped the start of the stream.
 */
export interface CheckpointPart {
  readonly kind: 'checkpoint_part';
  readonly stamp: Stamp;
  /** Offset of the first record that the snapshot does not cover. */
  readonly asOf: number;
  /** Counts from 0. */
  readonly part: number;
  readonly parts: number;
  /** SHA-256 of the complete snapshot's text, hex. */
  readonly digest: string;
  readonly text: string;
}

/** A record of the stream `config`. */
export type ConfigRecord = PublishedConfig | CheckpointPart;

/**
 * A record of the stream `state`. `fencing` is the offset of the owner's lease
 * claim.
 */
export type StateRecord = {readonly stamp: Stamp} & (
  | Omit<CheckpointPart, 'stamp'>
  | {
      /**
       * Publishes the latest block of the writer's audit chain, so that the other
       * VMs can reference it in their chains.
       */
      readonly kind: 'audit_anchored';
      readonly number: number;
      readonly hash: string;
      /** Offset of the block in the stream `audit`. */
      readonly offset: number;
    }
  | {
      /** Opens or renews the VM's session; the VM's leases expire together with it. */
      readonly kind: 'session';
      readonly ttlMs: number;
    }
  | {readonly kind: 'session_closed'}
  | {
      readonly kind: 'step_opened';
      readonly tenant: TenantId;
      readonly step: StepId;
      /** SHA-256 of the canonical body, hex. */
      readonly digest: string;
      readonly req: StepRequest;
      readonly rule: string;
      readonly configVersion: number;
    }
  | {
      /** Claims a lease; has no effect while another live session holds it. */
      readonly kind: 'lease_claimed';
      /** `step:<tenant>/<step>` or `orders:<model>`. */
      readonly lease: string;
    }
  | {
      readonly kind: 'lease_released';
      readonly lease: string;
      readonly fencing: number;
    }
  | {
      readonly kind: 'attempts_started';
      readonly tenant: TenantId;
      readonly step: StepId;
      readonly fencing: number;
      readonly attempts: ReadonlyArray<{
        readonly group: number;
        readonly sample: number;
        readonly attempt: number;
        readonly endpoint: EndpointId;
      }>;
    }
  | {
      readonly kind: 'samples_committed';
      readonly tenant: TenantId;
      readonly step: StepId;
      readonly fencing: number;
      readonly samples: readonly SampleCommit[];
    }
  | {
      /**
       * Revokes committed samples that never reached the trainer, because their
       * text was lost with their owner or they became stale. The samples run again
       * and are committed at a later cursor.
       */
      readonly kind: 'samples_voided';
      readonly tenant: TenantId;
      readonly step: StepId;
      readonly fencing: number;
      readonly cursors: readonly number[];
    }
  | {
      readonly kind: 'cursor_acknowledged';
      readonly tenant: TenantId;
      readonly step: StepId;
      readonly fencing: number;
      readonly cursor: number;
      readonly weightVersion: number;
    }
  | {
      readonly kind: 'step_closed';
      readonly tenant: TenantId;
      readonly step: StepId;
      readonly fencing: number;
      readonly reason: 'complete' | 'cancelled' | 'timed_out';
    }
  | {
      /** Claims a caller's request id before the non-idempotent request is sent. */
      readonly kind: 'request_claimed';
      readonly tenant: TenantId;
      readonly req: RequestId;
    }
  | {
      /**
       * Releases a claimed request id: the request was refused before it was sent,
       * so the caller may send it again under the same id.
       */
      readonly kind: 'request_released';
      readonly tenant: TenantId;
      readonly req: RequestId;
    }
  | {
      /** An endpoint crashed while the requests with these fingerprints ran on it. */
      readonly kind: 'crash_seen';
      readonly endpoint: EndpointId;
      readonly fingerprints: readonly string[];
    }
);
