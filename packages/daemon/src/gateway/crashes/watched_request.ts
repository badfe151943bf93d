/** A request in flight at an endpoint, watched for a crash there. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {ExchangeOutcome} from '../endpoints/endpoint_exchange.js';
import type {StreamOutcome} from '../endpoints/endpoint_stream.js';

/** How a request ended at an endpoint. */
export type WatchedEnd =
  /** The endpoint answered, whatever it said. */
  | 'answered'
  /** The connection broke, and not by this VM. */
  | 'broken'
  /** This VM ended it, or the endpoint did not run it. */
  | 'left';

/** One request at one endpoint. */
export interface InFlightRequest {
  readonly entry: EndpointEntry;
  /** Computes the request's fingerprint, which only those need that are beside a crash. */
  readonly fingerprint: () => string;
  /** Steady ms. */
  readonly startedMs: number;
  /** Events that its stream has brought. */
  readonly events: number;
}

/** Events after which a request did not crash its endpoint by being begun. */
const MAX_EARLY_EVENTS = 3;

/** Whether the request had only just begun there. */
export function isEarlyEnd({events}: InFlightRequest): boolean {
  return events <= MAX_EARLY_EVENTS;
}

/** A request at an endpoint, until `end`. */
export class WatchedRequest implements InFlightRequest {
  readonly startedMs = performance.now();
  private eventCount = 0;
  private isEnded = false;

  constructor(
    readonly entry: EndpointEntry,
    readonly fingerprint: () => string,
    private readonly onEnd: (watched: WatchedRequest, how: WatchedEnd) => void,
  ) {}

  get events(): number {
    return this.eventCount;
  }

  recordEvent(): void {
    this.eventCount += 1;
  }

  end(how: WatchedEnd): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.onEnd(this, how);
  }
}

/** Reads off the outcome of an exchange or a stream how the request ended there. */
export function toWatchedEnd(
  kind: ExchangeOutcome['kind'] | StreamOutcome['kind'],
  isEndedLocally: boolean,
): WatchedEnd {
  switch (kind) {
    case 'answered':
    case 'whole':
      return 'answered';
    case 'unknown':
      return isEndedLocally ? 'left' : 'broken';
    case 'not_executed':
    case 'unsent':
      return 'left';
  }
}
