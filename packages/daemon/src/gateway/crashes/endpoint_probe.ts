/** Finds out whether an endpoint is still there after a connection to it broke. */

import net from 'node:net';

/** Where to look. */
export interface ProbeTarget {
  readonly host: string;
  readonly port: number;
}

/** No connection in this time: the endpoint is gone, ms; distances are a few ms. */
const CONNECT_TIMEOUT_MS = 250;
/** A connection that stays open for this long has an endpoint behind it, ms: something in between may take it and close it at once. */
const MIN_OPEN_MS = 60;

/** Opens a connection and sends nothing; false where none can be made or kept. */
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
    // An end without an error is no less of one.
    for (const event of ['error', 'end', 'close'] as const) {
      socket.once(event, () => finish(false));
    }
  });
}
