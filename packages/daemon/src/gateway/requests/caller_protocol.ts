/**
 * Calls and answers of callers in the gateway's own terms. The adapter of a platform
 * implements `CallerProtocol` to translate between these and the platform's HTTP API.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {Batch, ItemResult} from '@radishyoke/core/batches/batch_record';
import type {Result} from '@radishyoke/shared/result';

/** A caller's request, classified by its method, path and headers. */
export type CallerCall =
  | {
      readonly kind: 'read_results';
      readonly batchId: string;
      /** Position of the first result to return, from 0. */
      readonly after: number;
      /** Longest time that the call waits for a result, ms. */
      readonly waitMs: number;
    }
  | {
      readonly kind: 'read_body';
      readonly batchId: string;
      readonly itemId: string;
    }
  | {readonly kind: 'end_batch'; readonly batchId: string}
  /** Not a call of the gateway's own API: a route decides where it goes. */
  | {readonly kind: 'request'};

/** Metadata that a caller sends with a request. */
export interface CallerAttempt {
  /** Undefined if the caller sent none. */
  readonly id: string | undefined;
  /** How long the caller waits for the answer, ms. */
  readonly deadlineMs: number | undefined;
}

/** One page of a batch's results. */
export interface ResultPage {
  /** Number of items in the batch. */
  readonly total: number;
  readonly results: readonly ItemResult[];
  /** Position after the last entry of `results`. */
  readonly next: number;
}

/** Where, when and by whom a batch was submitted. */
export interface Submission {
  readonly attemptId: string;
  readonly host: string;
  readonly path: string;
  /** Client account of the submitter, if any. */
  readonly account: string | undefined;
  readonly atMs: number;
}

export abstract class CallerProtocol {
  abstract decodeCall(
    method: string,
    path: string,
    headers: IncomingHttpHeaders,
  ): Result<CallerCall>;

  abstract readAttempt(headers: IncomingHttpHeaders): CallerAttempt;

  /** Reads the key that identifies the caller's client account. It is secret and must not be logged or passed on. */
  abstract readKey(headers: IncomingHttpHeaders): string | undefined;

  abstract decodeBatch(body: Uint8Array, submission: Submission): Result<Batch>;

  abstract encodePage(page: ResultPage): Uint8Array;

  /** Returns the headers of an error answer, apart from those that describe its body. */
  abstract answerHeaders(
    retryAfterMs: number | undefined,
  ): Readonly<Record<string, string>>;
}
