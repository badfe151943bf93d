/** Defines a request as admission control sees it, and the verdict on it. */

import type {TenantId} from '@radishyoke/shared/ids';

/** A request as admission sees it. Times are on the monotonic clock, ms. */
export interface AdmissionRequest {
  readonly account: TenantId;
  /**
   * Priority of the account, otherwise of the route; 0 is the most urgent. It may
   * change while the request waits.
   */
  readonly priority: number;
  readonly route: string;
  /** Time by which the request should be answered. */
  readonly objectiveAtMs: number;
  /** The caller stops waiting then. */
  readonly deadlineAtMs: number;
  /** Whether it was refused before, by this VM or by a full endpoint. */
  readonly isReturning: boolean;
}

/** State of one service's admission, for log lines and metrics. */
export interface AdmissionFacts {
  /** Rate limit of this VM in requests per second; undefined while there is none. */
  readonly limitPerS: number | undefined;
  /** Number of this VM's requests in flight at the endpoints. */
  readonly inFlight: number;
  /** Number of requests that wait on this VM. */
  readonly waiting: number;
  /** Time that the request would wait, ms. */
  readonly expectedWaitMs: number;
}

/** Why a request is refused. */
export type RefusalReason =
  /** It can not be answered within its objective. */
  | 'too_late'
  /** It can not be answered before its deadline. */
  | 'past_deadline'
  /** The queue is full of requests that go first. */
  | 'queue_full';

/** A refusal of a request that no endpoint has run. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Time after which the caller may return, ms. */
  readonly retryAfterMs: number;
  readonly facts: AdmissionFacts;
}

/** What is decided about a request. */
export type Verdict =
  | {readonly kind: 'send'}
  | {readonly kind: 'wait'}
  | {readonly kind: 'refuse'; readonly refusal: Refusal};

/** A request that no longer waits. */
export interface Released<T extends AdmissionRequest> {
  readonly request: T;
  readonly verdict: Exclude<Verdict, {readonly kind: 'wait'}>;
}

/** Load of the endpoint that answered, as it reported it. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How a request that was sent ended. */
export type ExchangeEnd =
  | {
      readonly kind: 'answered';
      /** Time until the answer, or until the first event of a stream. */
      readonly answeredInMs: number;
      /** Time for which it used a slot. */
      readonly tookMs: number;
      readonly load: ReportedLoad | undefined;
    }
  /** The endpoint states that it did not run the request. */
  | {readonly kind: 'full'}
  /** It failed, or this VM ended it; says nothing about the endpoint's capacity. */
  | {readonly kind: 'other'};
