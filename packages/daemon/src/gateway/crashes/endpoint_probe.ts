/** Checks whether an endpoint is still reachable after a connection to it broke. */

import net from 'node:net';

export interface ProbeTarget {
  readonly host: string;
  readonly port: number;
}

/** Without a connection within this time the endpoint counts as unreachable, ms; network latency is a few ms. */
const CONNECT_TIMEOUT_MS = 250;
/** A connection that stays open this long is one to the endpoint, ms: a proxy in between may accept a connection and close it at once. */
const MIN_OPEN_MS = 60;

/** Opens a connection and sends nothing; resolves to false if it can not be made or does not stay open. */
export function probeEndpoint({host, port}: ProbeTarget): Promise<boolean> {
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    let timer = setTimeout(() => finish(false), CONNECT_TIMEOUT_MS);
    const finish = (isReachable: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isReachable);
    };
    socket.once('connect', () => {
      clearTimeout(timer);
      timer = setTimeout(() => finish(true), MIN_OPEN_MS);
    });
    // A connection that ends without an error was not kept open either.
    for (const event of ['error', 'end', 'close'] as const) {
      socket.once(event, () => finish(false));
    }
  });
}
