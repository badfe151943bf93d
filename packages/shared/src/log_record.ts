/**
 * Records on the platform's log. Each carries its writer and the writer's own
 * sequence number, so that an append whose answer was lost is found by reading
 * and a copy appended twice counts once.
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

/** The log's streams. Offsets count per stream. */
export type StreamName = 'config' | 'state' | 'audit';

/** One record as the log returns it. */
export interface LoggedRecord<T> {
  /** Position in the stream, from 0, assigned by the log. */
  readonly offset: number;
  /** Unix ms by the log's clock when it took the record. */
  readonly timeMs: number;
  readonly value: T;
}

/** Who wrote a record and as which of its own. */
export interface Stamp {
  readonly vm: VmId;
  readonly incarnation: IncarnationId;
  /** Counts from 1 within the incarnation and the stream. */
  readonly seq: number;
}

/** An operator's publication of a rule set (stream `config`). */
export interface PublishedConfig {
  readonly kind: 'config_published';
  readonly stamp: Stamp;
  readonly team: TeamId;
  /** Version (offset) of the team's configuration this was based on; -1 for none. */
  readonly basedOn: number;
  readonly author: string;
  /** The INI text. */
  readonly text: string;
}

/** A winner of one sample as its owner proposes it. */
export interface SampleCommit {
  readonly group: number;
  readonly sample: number;
  readonly attempt: number;
  readonly endpoint: EndpointId;
  readonly spans: readonly TokenSpan[];
  /** SHA-256 of the text, hex; empty for a shortfall. */
  readonly digest: string;
  /** Set when the sample was given up on and the trainer is told so. */
  readonly shortfall?: ErrorKind;
}

/**
 * The winner of one sample, as the fold of the log accepted it. The fold assigns
 * the cursor, so that two owners can not give one position to two samples.
 */
export interface CommittedSample extends SampleCommit {
  /** Position in the trainer's stream, from 1; rises strictly, may have gaps. */
  readonly cursor: number;
}

/**
 * One part of a snapshot of everything the stream's records before `asOf` fold
 * to. A reader whose start was dropped by retention begins with a whole one.
 */
export interface CheckpointPart {
  readonly kind: 'checkpoint_part';
  readonly stamp: Stamp;
  /** Offset of the first record that the snapshot does not cover. */
  readonly asOf: number;
  /** Counts from 0. */
  readonly part: number;
  readonly parts: number;
  /** SHA-256 of the whole snapshot's text, hex. */
  readonly digest: string;
  readonly text: string;
}

/** What the stream `config` holds. */
export type ConfigRecord = PublishedConfig | CheckpointPart;

/** What the stream `state` holds. `fencing` is the offset of the owner's claim. */
export type StateRecord = {readonly stamp: Stamp} & (
  | Omit<CheckpointPart, 'stamp'>
  | {
      /**
       * Tells all VMs where the writer's audit chain stands, for them to name it
       * in theirs.
       */
      readonly kind: 'audit_anchored';
      readonly number: number;
      readonly hash: string;
      /** Offset of the block in the stream `audit`. */
      readonly offset: number;
    }
  | {
      /** Opens or renews the VM's session; its leases last as long as it. */
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
      /** A claim on a lease; void while another live session holds it. */
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
       * Takes back winners that were committed but never reached the trainer:
       * their text was lost with their owner, or they became stale. The samples
       * run again and win at a later cursor.
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
      /** Taken before a non-idempotent request with a caller's id is sent. */
      readonly kind: 'request_claimed';
      readonly tenant: TenantId;
      readonly req: RequestId;
    }
  | {
      /**
       * Gives a claim back: the request was refused before it was sent, so the
       * caller may send it again under the same id.
       */
      readonly kind: 'request_released';
      readonly tenant: TenantId;
      readonly req: RequestId;
    }
  | {
      /** A crash while these requests ran on one endpoint. */
      readonly kind: 'crash_seen';
      readonly endpoint: EndpointId;
      readonly fingerprints: readonly string[];
    }
);
