/** A request in flight at an endpoint that is watched for crashes. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {ExchangeOutcome} from '../endpoints/endpoint_exchange.js';
import type {StreamOutcome} from '../endpoints/endpoint_stream.js';

/** How a request ended at an endpoint. */
export type WatchedEnd =
  /** The endpoint answered, with any status. */
  | 'answered'
  /** The connection broke and this VM did not close it. */
  | 'broken'
  /** This VM ended the request, or the endpoint did not run it. */
  | 'left';

/** One request at one endpoint, as seen by this VM. */
export interface InFlightRequest {
  readonly entry: EndpointEntry;
  /** Computes the request's fingerprint, lazily since it is only needed after a crash. */
  readonly fingerprint: () => string;
  /** Steady ms. */
  readonly startedMs: number;
  /** Number of events received on its stream. */
  readonly events: number;
}

/** A crash after more events than this was not caused by the start of the request. */
const MAX_EARLY_EVENTS = 3;

/** Whether the request ended soon after its start. */
export function isEarlyEnd({events}: InFlightRequest): boolean {
  return events <= MAX_EARLY_EVENTS;
}

/** Tracks a request at an endpoint until `end` is called. */
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

/** Maps the outcome of an exchange or a stream to how the request ended at the endpoint. */
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
