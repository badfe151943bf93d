/**
 * Bounds what the connections of a listener take: their number, and the requests sent ahead
 * on each. A new connection is accepted as long as another can be closed for it: the one
 * that has been idle for longest, or that stands still.
 */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type net from 'node:net';
import type {MemoryBudget} from './memory_budget.js';
import {type FeedParser, RequestPacer} from './request_pacer.js';

export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Requests of one connection that may wait for their answers. */
  readonly maxRequestsAhead: number;
}

/** Answer to a head that does not end in time, as Node.js gives it. */
const HEAD_LATE_ANSWER =
  'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n';
/** Connections beyond the limit while others end, as a share of it. */
const MAX_LINGERING_SHARE = 0.125;

/** Guards the connections of one listener. */
export class ConnectionGuard {
  private readonly pacers = new Map<net.Socket, RequestPacer>();
  /** Connections without a request in progress, the one idle for longest first. */
  private readonly idle = new Set<net.Socket>();
  private closed = 0;
  private refused = 0;

  /** Guards all connections that `server` accepts from now on. */
  constructor(
    server: Server,
    private readonly limits: ConnectionLimits,
    private readonly budget: MemoryBudget,
  ) {
    server.on('connection', socket => this.accept(socket));
    server.on('request', (req, res) => this.recordRequest(req, res));
  }

  /** Number of open connections. */
  get size(): number {
    return this.pacers.size;
  }

  /** How many connections, or bodies on them, were given up, for new connections or since a head was late. */
  get closedCount(): number {
    return this.closed;
  }

  /** How many new connections were closed since no other could be. */
  get refusedCount(): number {
    return this.refused;
  }

  /** Refuses the requests whose heads have not ended `maxMs` after they began. */
  closeLateHeads(maxMs: number): void {
    const sinceMs = performance.now() - maxMs;
    for (const socket of this.idle) {
      if (!this.pacers.get(socket)?.isHeadLate(sinceMs)) continue;
      socket.write(HEAD_LATE_ANSWER);
      this.close(socket);
    }
  }

  private accept(socket: net.Socket): void {
    if (this.size >= this.limits.maxConnections && !this.closeOne()) {
      this.refused += 1;
      socket.destroy();
      return;
    }
    this.pacers.set(socket, this.createPacer(socket));
    this.idle.add(socket);
    socket.once('close', () => {
      this.pacers.delete(socket);
      this.idle.delete(socket);
    });
  }

  /** Puts a pacer between the connection and its parser. */
  private createPacer(socket: net.Socket): RequestPacer {
    // The HTTP server's listener, which feeds the parser.
    const [feed] = socket.listeners('data') as FeedParser[];
    socket.off('data', feed);
    const {maxRequestsAhead} = this.limits;
    return new RequestPacer(socket, feed, maxRequestsAhead, this.budget);
  }

  private recordRequest(req: IncomingMessage, res: ServerResponse): void {
    const {socket} = req;
    const pacer = this.pacers.get(socket);
    if (!pacer) return;
    this.idle.delete(socket);
    pacer.recordRequest();
    res.once('close', () => {
      pacer.recordAnswer();
      if (pacer.waitingCount > 0 || socket.destroyed) return;
      this.idle.add(socket);
    });
  }

  /** Closes a connection in favour of a new one; returns whether there was one to close. */
  private closeOne(): boolean {
    const [idle] = this.idle;
    const victim = idle ?? this.findUnread();
    if (!victim) return this.closeStalled();
    this.close(victim);
    return true;
  }

  /** Finds the oldest connection whose answers are not read. */
  private findUnread(): net.Socket | undefined {
    for (const socket of this.pacers.keys()) {
      if (socket.writableLength > 0) return socket;
    }
    return undefined;
  }

  /** Gives up the body that has stood still for longest. Its connection ends once it is refused, so for a moment there is one more. */
  private closeStalled(): boolean {
    const {maxConnections} = this.limits;
    if (this.size >= maxConnections * (1 + MAX_LINGERING_SHARE)) return false;
    const isEvicted = this.budget.evictStalled();
    if (isEvicted) this.closed += 1;
    return isEvicted;
  }

  private close(socket: net.Socket): void {
    this.pacers.delete(socket);
    this.idle.delete(socket);
    this.closed += 1;
    socket.destroy();
  }
}
