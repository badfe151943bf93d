/**
 * Cuts a stream of server-sent events into whole events, byte for byte as they
 * came, so that an endpoint that stops in the middle of one hands on no half.
 */

/** One event as received, with the blank line that ends it. */
export interface RawEvent {
  readonly bytes: Buffer;
  /** Undefined where it states no whole number. */
  readonly id: number | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_PATTERN = /^id: ?(\d+)\r?$/m;
/** An event may not be longer, bytes; those of known endpoints have some hundred. */
const MAX_EVENT_BYTES = 1024 * 1024;

export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);

  /** Whether bytes of an event that has not ended are held. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Takes the next bytes; returns the events that are whole with them, or undefined where one is too long. */
  push(chunk: Buffer): readonly RawEvent[] | undefined {
    const bytes = this.hasPartialEvent
      ? Buffer.concat([this.partialEvent, chunk])
      : chunk;
    const events: RawEvent[] = [];
    let from = 0;
    for (let end = findEnd(bytes, from); end > 0; end = findEnd(bytes, from)) {
      events.push(readEvent(bytes.subarray(from, end)));
      from = end;
    }
    this.partialEvent = bytes.subarray(from);
    return this.partialEvent.length > MAX_EVENT_BYTES ? undefined : events;
  }
}

/** Where the event that begins at `from` ends; -1 where it does not yet. */
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
  const id = ID_PATTERN.exec(bytes.toString('latin1'))?.[1];
  return {bytes, id: id === undefined ? undefined : Number(id)};
}
