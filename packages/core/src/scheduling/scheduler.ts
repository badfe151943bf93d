/**
 * Defines the interface of all schedulers. They receive events and return actions,
 * do no I/O and read no clock. The daemon, tests and experiments drive the same
 * implementations.
 */

import type {EndpointInfo, LoadReport} from '@radishyoke/shared/endpoint';
import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {
  DataCentreId,
  EndpointId,
  TenantId,
  VmId,
} from '@radishyoke/shared/ids';
import type {AttemptOutcome} from './failure.js';

/** Interactive requests are started before rollouts and have reserved capacity. */
export type WorkClass = 'interactive' | 'rollout';

/** One unit of work to run on an endpoint. */
export interface WorkItem {
  /** Unique within this VM until the work item ends. */
  readonly id: string;
  readonly tenant: TenantId;
  readonly workClass: WorkClass;
  /** Endpoint group chosen by the matching rule. */
  readonly group: string;
  readonly model?: string;
  /** Higher values go first within a tenant and work class. */
  readonly priority: number;
  /** Unix ms after which an answer has no value. */
  readonly deadlineAtMs: number;
  readonly promptTokens: number;
  /** Upper bound on the tokens to generate; 0 for plain requests. */
  readonly maxTokens: number;
  /** Equal for work items whose prompts share a prefix; empty for none. */
  readonly prefixKey: string;
  /** Equal for the work items of one step; empty for none. */
  readonly stepKey: string;
  /** Equal for the samples of one group; empty for none. */
  readonly groupKey: string;
  /** Oldest weight version whose output is accepted; 0 for any. */
  readonly minWeightVersion: number;
  readonly idempotent: boolean;
  /** Maximum number of attempts, including hedges, that the rule allows. */
  readonly maxAttempts: number;
  /** Digest of the request's content; equal for a request that is sent again. */
  readonly fingerprint: string;
  /** Whether a second attempt may run concurrently; true when absent. */
  readonly hedge?: boolean;
  /** Maximum number of the tenant's work items queued in the group on this VM. */
  readonly maxQueue?: number;
  /** Maximum number of the tenant's work items that this VM runs at once. */
  readonly maxInFlight?: number;
}

/** An endpoint group that the rules define by endpoint ids. */
export interface NamedGroup {
  readonly name: string;
  readonly endpoints: readonly EndpointId[];
}

export type SchedulerEvent =
  | {readonly kind: 'endpoints'; readonly endpoints: readonly EndpointInfo[]}
  /** Groups by endpoint ids, in addition to those from the VM list's labels. */
  | {readonly kind: 'groups'; readonly groups: readonly NamedGroup[]}
  /** Live VMs of the service, including this one. */
  | {readonly kind: 'vms'; readonly vms: readonly VmId[]}
  | {readonly kind: 'load'; readonly report: LoadReport}
  /** Requests another VM has in flight per endpoint, from its digest. */
  | {
      readonly kind: 'peer_load';
      readonly vm: VmId;
      readonly inFlight: ReadonlyMap<EndpointId, number>;
    }
  | {
      readonly kind: 'cache';
      readonly endpoint: EndpointId;
      readonly prefixKey: string;
      readonly cached: boolean;
    }
  /**
   * Another VM reports the requests in flight on an endpoint when it crashed, one
   * event per crash. A single fingerprint may be an isolated suspect.
   * The same report received twice within 5 s, from the log and from the peer,
   * counts once.
   */
  | {readonly kind: 'suspects'; readonly fingerprints: readonly string[]}
  /** The step no longer accepts output of older weight versions than this. */
  | {
      readonly kind: 'min_version';
      readonly stepKey: string;
      readonly minWeightVersion: number;
    }
  | {readonly kind: 'enqueue'; readonly work: WorkItem}
  /**
   * Registers a work item whose running attempt was started before a takeover,
   * so that it counts towards the endpoint's load. It is not started again.
   */
  | {
      readonly kind: 'adopt';
      readonly work: WorkItem;
      readonly attempt: number;
      readonly endpoint: EndpointId;
    }
  | {
      readonly kind: 'progress';
      readonly workId: string;
      readonly attempt: number;
      /** Tokens of the output so far, including resumed ones. */
      readonly tokens: number;
      readonly weightVersion: number;
    }
  | {
      readonly kind: 'ended';
      readonly workId: string;
      readonly attempt: number;
      readonly outcome: AttemptOutcome;
    }
  | {readonly kind: 'cancel'; readonly workId: string}
  /** Handles due timeouts. Sent about every 100 ms. */
  | {readonly kind: 'tick'};

export type SchedulerAction =
  | {
      readonly kind: 'start';
      readonly workId: string;
      /** Numbered from 1 within the work item. */
      readonly attempt: number;
      readonly endpoint: EndpointId;
      /** Tokens of the earlier attempt to resume from; 0 for none. */
      readonly resumeTokens: number;
      /** The earlier attempt to resume from; 0 for none. */
      readonly resumeAttempt: number;
    }
  /** Cancels this attempt at its endpoint; no `ended` event is needed for it. */
  | {
      readonly kind: 'stop';
      readonly workId: string;
      readonly attempt: number;
      readonly endpoint: EndpointId;
    }
  /** The work item is done: this attempt's output is the result. */
  | {readonly kind: 'done'; readonly workId: string; readonly attempt: number}
  /** The work item has failed. */
  | {
      readonly kind: 'give_up';
      readonly workId: string;
      readonly error: RadishyokeError;
    }
  /** Reports a crash and the requests in flight there to the other VMs. */
  | {
      readonly kind: 'report_crash';
      readonly endpoint: EndpointId;
      readonly fingerprints: readonly string[];
    };

/** The scheduler's view of one endpoint, for status pages. */
export interface EndpointStatus {
  readonly id: EndpointId;
  readonly group: string;
  readonly inFlight: number;
  readonly limit: number;
  readonly usable: boolean;
  readonly weightVersion: number;
}

/** Settings that are constant for the lifetime of a scheduler. */
export interface SchedulerConfig {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
}

/** Decides where and when work items run. Each VM has one instance. */
export abstract class Scheduler {
  /** Handles one event at `nowMs` (Unix ms); returns the actions in order. */
  abstract handle(
    event: SchedulerEvent,
    nowMs: number,
  ): readonly SchedulerAction[];

  /** Returns the number of work items that have not ended. */
  abstract countWorkItems(): number;

  abstract listEndpoints(): readonly EndpointStatus[];
}
