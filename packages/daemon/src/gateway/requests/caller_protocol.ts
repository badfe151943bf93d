/**
 * How callers speak to the gateway, in its own terms. The adapter of a platform
 * turns that platform's calls into these.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {Batch, ItemResult} from '@radishyoke/core/batches/batch_record';
import type {Result} from '@radishyoke/shared/result';

/** What a caller asks for, as far as method and path tell. */
export type CallerCall =
  | {
      readonly kind: 'read_results';
      readonly batchId: string;
      /** Position of the first result wanted, from 0. */
      readonly after: number;
      /** How long the call may wait for a result, ms. */
      readonly waitMs: number;
    }
  | {
      readonly kind: 'read_body';
      readonly batchId: string;
      readonly itemId: string;
    }
  | {readonly kind: 'end_batch'; readonly batchId: string}
  /** Not a call of the gateway's own: a rule decides. */
  | {readonly kind: 'request'};

/** What a request says of itself. */
export interface CallerAttempt {
  /** Undefined where the caller gave none. */
  readonly id: string | undefined;
  /** How long the caller will wait, ms. */
  readonly deadlineMs: number | undefined;
}

/** A page of a batch's results. */
export interface ResultPage {
  /** Items of the batch. */
  readonly total: number;
  readonly results: readonly ItemResult[];
  /** Position after the last of `results`. */
  readonly next: number;
}

/** Where and when a batch was submitted. */
export interface Submission {
  readonly attemptId: string;
  readonly host: string;
  readonly path: string;
  /** Client account of the submitter, if it has one. */
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

  /** The secret by which a caller's account is known. It must not be logged or passed on. */
  abstract readKey(headers: IncomingHttpHeaders): string | undefined;

  abstract decodeBatch(body: Uint8Array, submission: Submission): Result<Batch>;

  abstract encodePage(page: ResultPage): Uint8Array;

  /** Headers of a refusal or failure, beside those of its body. */
  abstract answerHeaders(
    retryAfterMs: number | undefined,
  ): Readonly<Record<string, string>>;
}
