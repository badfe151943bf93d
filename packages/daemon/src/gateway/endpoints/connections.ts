/** Connection handling that all outgoing HTTP requests share. */

import type {Agent, ClientRequest} from 'node:http';

/** Events of the connection that a request is sent on. */
export interface ConnectionEvents {
  /** The request may have reached the other side from now on. */
  onConnected(): void;
  /** No connection was made in time. */
  onTimeout?(): void;
}

/** Describes why Node.js did not make a request; nothing was sent. */
export function describeUnmade(err: unknown): string {
  return `the request can not be made: ${String(err)}`;
}

/** Reports when `req` has a connection, either a reused one or a new one made within `timeoutMs`. */
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

/** Interim answers (1xx) that are accepted before the answer. */
const MAX_INTERIM_ANSWERS = 8;

/** Calls `onFlood` if interim answers to `req` come without end. */
export function watchInterimAnswers(
  req: ClientRequest,
  onFlood: () => void,
): void {
  let count = 0;
  req.on('information', () => {
    count += 1;
    if (count > MAX_INTERIM_ANSWERS) onFlood();
  });
}

/**
 * Closes the idle connections of `agent`.
 *
 * A network device between the two ends can lose track of connections, which then stay
 * silent while new ones work. When a request meets such a connection, all idle ones are
 * closed so that no further request is sent on another of them.
 */
export function closeIdleConnections(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
