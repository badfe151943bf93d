/**
 * How the gateway speaks to endpoints, in its own terms. The adapter of a
 * platform turns these into that platform's headers, paths and bodies.
 */

import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import type {Caller} from '@radishyoke/core/accounts/client_account';
import type {
  BatchItem,
  RewardRequest,
} from '@radishyoke/core/batches/batch_record';
import type {ModelVersion} from '@radishyoke/core/fleet/endpoint_entry';
import type {Result} from '@radishyoke/shared/result';

/** What goes with a request that is passed on. */
export interface ForwardTerms {
  /** Any other endpoint at the same address must refuse the request. */
  readonly endpointId: string;
  /** Time that the endpoint may take, ms. */
  readonly deadlineMs: number;
  /** In whose name; endpoints are told the account, and never a key. */
  readonly caller: Caller;
  /** The last event that is known; the endpoint goes on after it. */
  readonly lastEventId?: number;
}

/** What goes with an item of a batch. */
export interface GenerationTerms extends ForwardTerms {
  readonly host: string;
  /** The endpoint must refuse if its weights have another version. */
  readonly expectVersion?: number;
}

/** What an answer says beside its status and body. */
export interface AnswerMetadata {
  /** Id of the attempt that it answers. */
  readonly attemptId: string | undefined;
  /** The endpoint's proof of origin. */
  readonly stamp: string | undefined;
  /** Whether the endpoint states that it did not run the request. */
  readonly isNotExecuted: boolean;
  readonly weightVersion: number | undefined;
  readonly load: EndpointLoad | undefined;
}

export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an engine reports of itself. */
export interface EngineReport {
  readonly models: readonly ModelVersion[];
  /** Whether it is carrying out an order. */
  readonly isBusy: boolean;
  /** Orders accepted in this life. */
  readonly orders: number;
  /** Requests that it runs or has waiting, some hundred ms ago. */
  readonly runs: number;
  /** As in the endpoint's entry. */
  readonly bornMs: number;
}

/** How running generations live through a change of weights. */
export type LoadMode =
  /** They go on under the new weights. */
  | 'keep'
  /** They finish first. */
  | 'wait';

export interface LoadOrder {
  readonly endpointId: string;
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
  readonly owner: string;
  readonly fencingToken: number;
  /** The order is void unless the engine has accepted this many so far. */
  readonly expectedOrders: number;
}

/** What an engine said to an order. */
export type OrderAnswer =
  | 'accepted'
  | 'holds_already'
  | 'conflict'
  | 'fenced'
  | 'refused'
  | 'misdirected';

/** A call to an endpoint that is neither a request nor an item. */
export interface EndpointCall {
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body?: Uint8Array;
}

export abstract class EndpointProtocol {
  /** Name of the event field that carries a change of the weight version. */
  abstract readonly versionField: string;

  /** Headers of a caller's request as they are passed on. */
  abstract forwardHeaders(
    received: IncomingHttpHeaders,
    terms: ForwardTerms,
  ): OutgoingHttpHeaders;

  abstract generationHeaders(
    item: BatchItem,
    terms: GenerationTerms,
  ): OutgoingHttpHeaders;

  abstract rewardHeaders(
    reward: RewardRequest,
    terms: ForwardTerms,
  ): OutgoingHttpHeaders;

  abstract readAnswer(headers: IncomingHttpHeaders): AnswerMetadata;

  abstract reportCall(): EndpointCall;
  abstract decodeReport(body: Uint8Array): Result<EngineReport>;

  abstract orderCall(order: LoadOrder): EndpointCall;
  abstract decodeOrderAnswer(status: number): OrderAnswer;
}
