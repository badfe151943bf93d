/**
 * Whether an endpoint may get new work: leaving by the first sign of any
 * source, suspected after failures, and probed back into use.
 */

import type {EndpointInfo, LoadReport} from '@radishyoke/shared/endpoint';
import type {FailureKind} from './failure.js';

/** First wait before an endpoint is tried again after it failed. */
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 10_000;
/** Silent connections in a row, with nothing heard between, that count as failure. */
const SILENCES_TO_SUSPECT = 3;

export class EndpointHealth {
  private isListedLeaving = false;
  private isReportedLeaving = false;
  private reportedAtMs = 0;
  private failures = 0;
  private silences = 0;
  private failedAtMs = 0;
  private retryAtMs = 0;

  /**
   * The list lags: an endpoint that says itself that it leaves is still listed
   * as live for seconds and would get work that it can't finish. Each source
   * is therefore kept on its own, and either one suffices.
   */
  recordListed(info: EndpointInfo): void {
    this.isListedLeaving = info.state === 'leaving';
  }

  /** Returns whether the report is news; reports can come out of order. */
  recordReport(report: LoadReport): boolean {
    if (report.measuredAtMs < this.reportedAtMs) return false;
    this.reportedAtMs = report.measuredAtMs;
    this.isReportedLeaving = report.leaving;
    if (report.measuredAtMs > this.failedAtMs) this.recordAlive();
    return true;
  }

  /** Output or an answer came: the endpoint lives. */
  recordAlive(): void {
    this.failures = 0;
    this.silences = 0;
    this.retryAtMs = 0;
  }

  recordFailure(failure: FailureKind, nowMs: number): void {
    if (failure === 'silent') {
      // A connection can go silent for good while new ones work. It shows as
      // one attempt without progress on an endpoint that others hear from, so
      // one silence says nothing of the endpoint; several with nothing heard
      // between them do.
      this.silences++;
      if (this.silences < SILENCES_TO_SUSPECT) return;
    } else if (!isEndpointFailure(failure)) {
      return;
    }
    if (nowMs < this.retryAtMs) return;
    this.failures++;
    this.failedAtMs = nowMs;
    const backoffMs = FIRST_BACKOFF_MS * 2 ** Math.min(10, this.failures - 1);
    this.retryAtMs = nowMs + Math.min(MAX_BACKOFF_MS, backoffMs);
  }

  get isLeaving(): boolean {
    return this.isListedLeaving || this.isReportedLeaving;
  }

  /** Failed lately; at most one probe at a time may go there once due. */
  get isSuspected(): boolean {
    return this.failures > 0;
  }

  /** Whether new work may go there. */
  isUsable(nowMs: number): boolean {
    return !this.isLeaving && nowMs >= this.retryAtMs;
  }
}

/** Whether the failure speaks against the endpoint rather than the request. */
function isEndpointFailure(failure: FailureKind): boolean {
  return (
    failure === 'crashed' ||
    failure === 'connect_failed' ||
    failure === 'connection_lost'
  );
}
