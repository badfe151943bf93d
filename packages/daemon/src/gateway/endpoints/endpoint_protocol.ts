/**
 * Requests and answers between the gateway and endpoints in the gateway's own terms. The
 * adapter of a platform implements `EndpointProtocol` to translate them into that
 * platform's headers, paths and bodies.
 */

import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import type {Caller} from '@radishyoke/core/accounts/client_account';
import type {
  BatchItem,
  RewardRequest,
} from '@radishyoke/core/batches/batch_record';
import type {ModelVersion} from '@radishyoke/core/fleet/endpoint_entry';
import type {Result} from '@radishyoke/shared/result';

/** Values that are sent along with a forwarded request. */
export interface ForwardTerms {
  /** Intended endpoint; any other endpoint at the same address must refuse the request. */
  readonly endpointId: string;
  /** Time within which the endpoint must answer, ms. */
  readonly deadlineMs: number;
  /** The caller on whose behalf it is sent; endpoints receive the account, never a key. */
  readonly caller: Caller;
  /** The last event that was received; the endpoint resumes after it. */
  readonly lastEventId?: number;
}

/** Values that are sent along with a batch item. */
export interface GenerationTerms extends ForwardTerms {
  readonly host: string;
  /** The endpoint must refuse the item if its weights have another version. */
  readonly expectVersion?: number;
}

/** Metadata in the headers of an endpoint's answer. */
export interface AnswerMetadata {
  /** Id of the attempt that is answered. */
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
  /**
   * Time that work takes on the endpoint's machine at this moment, relative to
   * the usual time (2.5: two and a half times as long). Undefined if the endpoint
   * does not report it, as on a machine that it does not share.
   */
  readonly slowdown: number | undefined;
}

/** Status report of an engine. */
export interface EngineReport {
  readonly models: readonly ModelVersion[];
  /** Whether the engine is executing an order. */
  readonly isBusy: boolean;
  /** Number of orders accepted in this incarnation. */
  readonly orders: number;
  /** Number of requests running or waiting, a few hundred ms ago. */
  readonly runs: number;
  /** Identifies the incarnation, as in the endpoint's entry. */
  readonly startedAtMs: number;
}

/** What happens to running generations when weights are loaded. */
export type LoadMode =
  /** They continue with the new weights. */
  | 'keep'
  /** They finish before the load. */
  | 'wait';

export interface LoadOrder {
  readonly endpointId: string;
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
  readonly owner: string;
  readonly fencingToken: number;
  /** The engine rejects the order unless it has accepted exactly this many before. */
  readonly expectedOrders: number;
}

/** An engine's answer to an order. */
export type OrderAnswer =
  | 'accepted'
  | 'holds_already'
  | 'conflict'
  | 'fenced'
  | 'refused'
  | 'misdirected';

/** A control call to an endpoint, apart from requests and batch items. */
export interface EndpointCall {
  readonly method: string;
  readonly path: string;
  readonly headers: OutgoingHttpHeaders;
  readonly body?: Uint8Array;
}

export abstract class EndpointProtocol {
  /** Name of the event field that announces a change of the weight version. */
  abstract readonly versionField: string;

  /** Builds the headers of a forwarded request from those received from the caller. */
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
