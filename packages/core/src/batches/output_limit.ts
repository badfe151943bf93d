/**
 * Limits the output of an item. A faulty engine may send events without end; a sound
 * one generates at least one token for each event.
 */

import type {BatchItem, OutputEvent} from './batch_record.js';

/** Longest output, characters: a caller reads at most about as much in one result. */
const MAX_OUTPUT_CHARS = 1024 * 1024;
/** Events that every item may have, as its stated number of tokens may be missing. */
const MIN_EVENT_LIMIT = 1024;

/** Counts the events and characters of an output. */
export class OutputSize {
  private eventCount = 0;
  private charCount = 0;

  constructor(private readonly item: BatchItem) {}

  /** Adds an event; returns false if the output is longer than sound work makes it. */
  add({data}: Pick<OutputEvent, 'data'>): boolean {
    this.eventCount += 1;
    this.charCount += data.length;
    const maxEvents = Math.max(this.item.maxOutputTokens, MIN_EVENT_LIMIT);
    return this.eventCount <= maxEvents && this.charCount <= MAX_OUTPUT_CHARS;
  }
}
