/** Defines what one engine is to load, and how often its report is polled meanwhile. */

import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import type {LoadMode} from '../endpoints/endpoint_protocol.js';

/** A version that one engine is to load. */
export interface LoadTarget {
  readonly entry: EndpointEntry;
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
  /** Whether an order got no answer, so that it may still be carried out. */
  isUnanswered: boolean;
}

/** How to continue after one attempt to load. */
export type LoadStep = 'again' | 'over' | 'hopeless';

/** Pause between polls of an engine's report, ms. */
export const POLL_PAUSE_MS = 150;
/** Number of polls after which a report that shows neither a load nor the new version is trusted. */
export const SETTLED_POLLS = 4;
/** Polls after which a load is abandoned and started anew. */
export const MAX_POLLS = 24;
