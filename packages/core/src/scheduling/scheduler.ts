/**
 * The contract of every scheduler: events in, actions out, no I/O and no clock
 * of its own. The daemon, tests and experiments drive the same class.
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

/** Interactive requests go before rollouts and have a reserve. */
export type WorkClass = 'interactive' | 'rollout';

/** One unit of work that wants an endpoint. */
export interface WorkItem {
  /** Unique within this VM while the work lives. */
  readonly id: string;
  readonly tenant: TenantId;
  readonly workClass: WorkClass;
  /** Endpoint group that the rule chose. */
  readonly group: string;
  readonly model?: string;
  /** Higher goes first within tenant and class. */
  readonly priority: number;
  /** Unix ms after which the answer is worth nothing. */
  readonly deadlineAtMs: number;
  readonly promptTokens: number;
  /** Upper bound on the tokens to generate; 0 for plain requests. */
  readonly maxTokens: number;
  /** Equal for works whose prompts share a prefix; empty for none. */
  readonly prefixKey: string;
  /** Equal for the works of one step; empty for none. */
  readonly stepKey: string;
  /** Equal for the samples of one group; empty for none. */
  readonly groupKey: string;
  /** Oldest weight version whose output is still of use; 0 for any. */
  readonly minWeightVersion: number;
  readonly idempotent: boolean;
  /** Most attempts, hedges included, that the rule allows. */
  readonly maxAttempts: number;
  /** Digest of what the endpoint is asked to do; equal for a resent request. */
  readonly fingerprint: string;
  /** Whether a late attempt may run beside the first; true when absent. */
  readonly hedge?: boolean;
  /** Most works of the tenant that may wait in the group on this VM. */
  readonly maxQueue?: number;
  /** Most works of the tenant that may run at once from this VM. */
  readonly maxInFlight?: number;
}

/** A group of endpoints that a rule set defines by their ids. */
export interface NamedGroup {
  readonly name: string;
  readonly endpoints: readonly EndpointId[];
}

export type SchedulerEvent =
  | {readonly kind: 'endpoints'; readonly endpoints: readonly EndpointInfo[]}
  /** Groups by endpoint id, besides those that the VM list's labels make. */
  | {readonly kind: 'groups'; readonly groups: readonly NamedGroup[]}
  /** Live VMs of the service, this one included. */
  | {readonly kind: 'vms'; readonly vms: readonly VmId[]}
  | {readonly kind: 'load'; readonly report: LoadReport}
  /** What another VM has in flight, by endpoint, from its digest. */
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
   * Another VM saw these requests run on an endpoint when it crashed; one event
   * a crash. A single one is that VM's accused. News that come twice within
   * seconds, by the log and from the peer, count once.
   */
  | {readonly kind: 'suspects'; readonly fingerprints: readonly string[]}
  /** The trainer moved on: output older than this is of no use to the step. */
  | {
      readonly kind: 'min_version';
      readonly stepKey: string;
      readonly minWeightVersion: number;
    }
  | {readonly kind: 'enqueue'; readonly work: WorkItem}
  /**
   * Puts back work whose running attempt was started before a takeover, so
   * that it is counted against the endpoint. No action starts it anew.
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
      /** Tokens of the whole output so far, those resumed from included. */
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
  /** Nothing happened; due timeouts are looked at. Sent every 100 ms or so. */
  | {readonly kind: 'tick'};

export type SchedulerAction =
  | {
      readonly kind: 'start';
      readonly workId: string;
      /** Counts from 1 within the work. */
      readonly attempt: number;
      readonly endpoint: EndpointId;
      /** Tokens of an earlier attempt to go on from; 0 starts anew. */
      readonly resumeTokens: number;
      /** The earlier attempt whose output is gone on from, when resuming. */
      readonly resumeAttempt: number;
    }
  /** Cancel this attempt at its endpoint; its `ended` is not awaited. */
  | {
      readonly kind: 'stop';
      readonly workId: string;
      readonly attempt: number;
      readonly endpoint: EndpointId;
    }
  /** The work is done: this attempt's output is the result. */
  | {readonly kind: 'done'; readonly workId: string; readonly attempt: number}
  /** The work is given up on. */
  | {
      readonly kind: 'give_up';
      readonly workId: string;
      readonly error: RadishyokeError;
    }
  /** Tell the other VMs: these ran on an endpoint when it crashed. */
  | {
      readonly kind: 'report_crash';
      readonly endpoint: EndpointId;
      readonly fingerprints: readonly string[];
    };

/** Figures of one endpoint as the scheduler sees it, for status pages. */
export interface EndpointStatus {
  readonly id: EndpointId;
  readonly group: string;
  readonly inFlight: number;
  readonly limit: number;
  readonly usable: boolean;
  readonly weightVersion: number;
}

/** What stays the same for a scheduler's life. */
export interface SchedulerConfig {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
}

/** Decides where and when work runs. One instance a VM. */
export abstract class Scheduler {
  /** Takes one event at `nowMs` (Unix ms) and returns what is to be done, in order. */
  abstract handle(
    event: SchedulerEvent,
    nowMs: number,
  ): readonly SchedulerAction[];

  /** Works queued or running. */
  abstract countWorkItems(): number;

  abstract listEndpoints(): readonly EndpointStatus[];
}
