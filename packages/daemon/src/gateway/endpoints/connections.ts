/** What all callers of outgoing HTTP share about their connections. */

import type {Agent, ClientRequest} from 'node:http';

/** What a request is told of its connection. */
export interface ConnectionEvents {
  /** From here on the request may have reached the other side. */
  onConnected(): void;
  /** No connection came in time. */
  onTimeout?(): void;
}

/** Watches `req` until it has a connection, a kept one or a new one made within `timeoutMs`. */
export function watchConnection(
  req: ClientRequest,
  events: ConnectionEvents,
  timeoutMs?: number,
): void {
  req.on('socket', socket => {
    if (!socket.connecting) {
      events.onConnected();
      return;
    }
    const timer =
      timeoutMs === undefined
        ? undefined
        : setTimeout(() => events.onTimeout?.(), timeoutMs);
    socket.once('close', () => clearTimeout(timer));
    socket.once('connect', () => {
      clearTimeout(timer);
      events.onConnected();
    });
  });
}

/**
 * Closes the connections that `agent` keeps for later.
 *
 * Something between the two ends can lose track of connections: they go silent
 * for good while new ones work. A request that met one takes all idle ones with
 * it, so that no other request meets the next.
 */
export function closeIdleConnections(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
