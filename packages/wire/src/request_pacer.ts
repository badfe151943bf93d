/**
 * Bounds how many requests of one connection wait for their answers. The parser of Node.js
 * hands over all requests of a read at once, which may be thousands, so it is fed only as
 * many heads as may wait; the rest follows as answers are sent.
 */

import type {IncomingMessage} from 'node:http';
import type net from 'node:net';
import type {MemoryBudget, MemoryHolder} from './memory_budget.js';

/** Passes bytes to the HTTP parser of a connection. */
export type FeedParser = (bytes: Buffer) => void;

/** Ends each head of a request; the parser accepts no other line ends. */
const HEAD_END = Buffer.from('\r\n\r\n');
/** Shortest request: its method, path and version, and the end of its head, bytes. */
const MIN_REQUEST_BYTES = 18;
/** A request that waits behind another counts as this much memory, bytes. */
const WAITING_REQUEST_BYTES = 16 * 1024;
const EMPTY = Buffer.alloc(0);

const pacers = new WeakMap<net.Socket, RequestPacer>();

/** Stops reading the connection of `req`, whose body is not wanted, until `resumeReading`. */
export function stopReading(req: IncomingMessage): void {
  pacers.get(req.socket)?.block();
}

/** Whether the connection of `req` is not read for now. */
export function isReadingStopped(req: IncomingMessage): boolean {
  return pacers.get(req.socket)?.isStopped ?? false;
}

/** Reads on what `stopReading` has stopped. */
export function resumeReading(req: IncomingMessage): void {
  pacers.get(req.socket)?.unblock();
}

/** Feeds the parser of one connection. */
export class RequestPacer implements MemoryHolder {
  /** Requests whose answers have not been sent. */
  private waiting = 0;
  /** Received bytes that the parser has not got yet. */
  private rest: Buffer = EMPTY;
  private isFeeding = false;
  private isScheduled = false;
  /** Whether nothing more is to be read for now, however few requests wait. */
  private isBlocked = false;
  /** Whether this pacer has paused the connection. */
  private isHolding = false;
  /** Whether the parser has paused it; it must not be fed then. */
  private isParserPaused = false;
  private answeredMs = performance.now();
  /** Steady ms at which the head of the next request began to arrive; Infinity if it has not. */
  private headStartedMs = Infinity;

  /**
   * @param feed Passes bytes to the parser, which may report requests meanwhile.
   * @param maxWaiting Requests that may wait for their answers.
   */
  constructor(
    private readonly socket: net.Socket,
    private readonly feed: FeedParser,
    private readonly maxWaiting: number,
    private readonly budget: MemoryBudget,
  ) {
    pacers.set(socket, this);
    socket.on('data', (bytes: Buffer) => this.push(bytes));
    socket.on('pause', () => this.handlePause());
    socket.on('resume', () => this.handleResume());
    socket.once('close', () => this.forget());
  }

  /** Steady ms of the last answer. */
  get progressMs(): number {
    return this.answeredMs;
  }

  /** Number of requests whose answers have not been sent. */
  get waitingCount(): number {
    return this.waiting;
  }

  evict(): void {
    this.socket.destroy();
  }

  /** Whether a head has begun before `sinceMs` (steady), and has not ended. */
  isHeadLate(sinceMs: number): boolean {
    return this.waiting === 0 && this.headStartedMs < sinceMs;
  }

  /** Records that the parser has reported a request. */
  recordRequest(): void {
    this.waiting += 1;
    this.headStartedMs = Infinity;
    this.countMemory();
  }

  /** Records that a request was answered, or its connection has closed. */
  recordAnswer(): void {
    this.waiting -= 1;
    this.answeredMs = performance.now();
    if (this.rest.length === 0) this.feedRest();
    else this.scheduleFeeding();
  }

  /** Lets other connections go first: requests that are answered at once would follow each other without end. */
  private scheduleFeeding(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.feedRest();
    });
  }

  /** Whether the parser is fed nothing, see `block`. */
  get isStopped(): boolean {
    return this.isBlocked;
  }

  /** Feeds the parser nothing more until `unblock`. */
  block(): void {
    this.isBlocked = true;
  }

  unblock(): void {
    this.isBlocked = false;
    this.feedRest();
  }

  private push(bytes: Buffer): void {
    if (this.waiting === 0 && this.headStartedMs === Infinity) {
      this.headStartedMs = performance.now();
    }
    this.rest =
      this.rest.length > 0 ? Buffer.concat([this.rest, bytes]) : bytes;
    this.feedRest();
  }

  private handlePause(): void {
    if (!this.isHolding) this.isParserPaused = true;
  }

  private handleResume(): void {
    // Reported late: the connection may have been paused again since.
    if (this.socket.isPaused()) return;
    this.isParserPaused = false;
    // Node.js resumes a connection also when it wants more of a body.
    if (this.isHolding) this.socket.pause();
    else this.feedRest();
  }

  /** Feeds the parser until too many requests wait, or it pauses the connection. */
  private feedRest(): void {
    // The parser may report answers while it is fed.
    if (this.isFeeding) return;
    this.isFeeding = true;
    if (!this.isFull) this.stopHolding();
    while (this.canFeed) {
      const end = findCut(this.rest, this.maxWaiting - this.waiting);
      const bytes = this.rest.subarray(0, end);
      this.rest = this.rest.subarray(end);
      this.feed(bytes);
    }
    this.isFeeding = false;
    if (this.rest.length === 0) this.rest = EMPTY;
    if (this.isFull) this.hold();
    this.countMemory();
  }

  private get isFull(): boolean {
    return this.isBlocked || this.waiting >= this.maxWaiting;
  }

  private get canFeed(): boolean {
    if (this.rest.length === 0 || this.socket.destroyed) return false;
    return !this.isFull && !this.isParserPaused;
  }

  private hold(): void {
    this.isHolding = true;
    this.socket.pause();
  }

  private stopHolding(): void {
    if (!this.isHolding) return;
    this.isHolding = false;
    // Otherwise the parser resumes it.
    if (!this.isParserPaused) this.socket.resume();
  }

  /** Counts what is held beyond a connection with one request. */
  private countMemory(): void {
    const behind = Math.max(this.waiting - 1, 0);
    const bytes = this.rest.length + behind * WAITING_REQUEST_BYTES;
    if (bytes === 0) this.budget.release(this);
    else if (!this.socket.destroyed) this.budget.hold(this, bytes);
  }

  private forget(): void {
    this.rest = EMPTY;
    this.budget.release(this);
  }
}

/** Returns where `bytes` has to be cut so that it ends at most `heads` heads of requests. */
function findCut(bytes: Buffer, heads: number): number {
  if (bytes.length < heads * MIN_REQUEST_BYTES) return bytes.length;
  let end = 0;
  for (let i = 0; i < heads; i++) {
    const found = bytes.indexOf(HEAD_END, end);
    if (found < 0) return bytes.length;
    end = found + HEAD_END.length;
  }
  return end;
}
