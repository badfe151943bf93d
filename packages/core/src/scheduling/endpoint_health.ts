/**
 * Tracks whether an endpoint may receive new work. It is leaving as soon as any
 * source reports it; after failures it is suspected and retried with exponential
 * backoff.
 */

import type {EndpointInfo, LoadReport} from '@radishyoke/shared/endpoint';
import type {FailureKind} from './failure.js';

/** Backoff after the first failure, ms. */
const FIRST_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 10_000;
/** Silent attempts without a response between them that count as a failure. */
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
   * Records the state in the VM list, separately from the endpoint's own reports.
   * The list lags by seconds: an endpoint that reports leaving may still be listed
   * as live and would receive work that it can't finish, so either source suffices.
   */
  recordListed(info: EndpointInfo): void {
    this.isListedLeaving = info.state === 'leaving';
  }

  /** Returns false for an outdated report; reports can arrive out of order. */
  recordReport(report: LoadReport): boolean {
    if (report.measuredAtMs < this.reportedAtMs) return false;
    this.reportedAtMs = report.measuredAtMs;
    this.isReportedLeaving = report.leaving;
    if (report.measuredAtMs > this.failedAtMs) this.recordAlive();
    return true;
  }

  /** Clears failures after output or an answer from the endpoint. */
  recordAlive(): void {
    this.failures = 0;
    this.silences = 0;
    this.retryAtMs = 0;
  }

  recordFailure(failure: FailureKind, nowMs: number): void {
    if (failure === 'silent') {
      // A single connection can stall permanently while the endpoint still serves
      // others. Only several silent attempts without any response between them
      // indicate a failure of the endpoint.
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

  /**
   * Whether it failed and has not responded since; once the backoff ends, one
   * request at a time may be sent.
   */
  get isSuspected(): boolean {
    return this.failures > 0;
  }

  /** Whether new work may be sent there. */
  isUsable(nowMs: number): boolean {
    return !this.isLeaving && nowMs >= this.retryAtMs;
  }
}

/** Whether the failure indicates a fault of the endpoint, not the request. */
function isEndpointFailure(failure: FailureKind): boolean {
  return (
    failure === 'crashed' ||
    failure === 'connect_failed' ||
    failure === 'connection_lost'
  );
}
