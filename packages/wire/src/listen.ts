/** Opens the listeners of a VM, all in the same way. */

import type http from 'node:http';
import type {AddressInfo} from 'node:net';

/**
 * Listens at `address` (`ip:port`, IPv6 in brackets; port 0 takes a free one).
 * Resolves to the address taken, rejects when it can not be had.
 */
export function listenAt(
  server: http.Server,
  address: string,
): Promise<string> {
  const lastColon = address.lastIndexOf(':');
  // Node wants IPv6 numbers without the brackets.
  const host = address.slice(0, lastColon).replace(/^\[|\]$/g, '');
  const port = Number(address.slice(lastColon + 1));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const {port: boundPort} = server.address() as AddressInfo;
      resolve(`${address.slice(0, lastColon)}:${boundPort}`);
    });
  });
}
