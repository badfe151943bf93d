/**
 * Splits a stream of server-sent events into complete events without changing a byte, so
 * that nothing of an event is passed on if the endpoint stops in the middle of it.
 */

import {MAX_BYTES_WITHOUT_EVENT} from './flood_guard.js';

/** One event as received, with the blank line that ends it; comments that follow each other are one event. */
export interface RawEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no id or its id is not an integer. */
  readonly id: number | undefined;
  /** Whether it is more than a comment, which keeps a connection alive. */
  readonly hasData: boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_PATTERN = /^id: ?(\d+)\r?$/m;
const DATA_PATTERN = /^(?:data|id)(?::|\r?$)/m;

export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Adds the next bytes and returns the events that they complete, or undefined if an event is too long. */
  push(chunk: Buffer): readonly RawEvent[] | undefined {
    const bytes = this.hasPartialEvent
      ? Buffer.concat([this.partialEvent, chunk])
      : chunk;
    const events: RawEvent[] = [];
    let from = 0;
    let commentsFrom = 0;
    for (let end = findEnd(bytes, from); end > 0; end = findEnd(bytes, from)) {
      const event = readEvent(bytes.subarray(from, end));
      if (event.hasData) commentsFrom = end;
      const isFurtherComment = !event.hasData && from > commentsFrom;
      if (isFurtherComment) events.pop();
      const first = event.hasData ? from : commentsFrom;
      events.push({...event, bytes: bytes.subarray(first, end)});
      from = end;
    }
    this.partialEvent = bytes.subarray(from);
    const isTooLong = this.partialEvent.length > MAX_BYTES_WITHOUT_EVENT;
    return isTooLong ? undefined : events;
  }
}

/** Returns the end of the event that begins at `from`, or -1 if it is incomplete. */
function findEnd(bytes: Buffer, from: number): number {
  let at = bytes.indexOf(LINE_FEED, from);
  while (at >= 0) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

function readEvent(bytes: Buffer): RawEvent {
  const text = bytes.toString('latin1');
  const id = ID_PATTERN.exec(text)?.[1];
  return {
    bytes,
    id: id === undefined ? undefined : Number(id),
    hasData: DATA_PATTERN.test(text),
  };
}
