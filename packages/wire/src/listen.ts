/** Opens the HTTP listeners of a VM. */

import type http from 'node:http';
import type {AddressInfo} from 'node:net';

/**
 * Listens at `address` (`ip:port`, IPv6 in brackets; port 0 selects a free port).
 * Resolves to the bound address; rejects if it cannot be bound.
 */
export function listenAt(
  server: http.Server,
  address: string,
): Promise<string> {
  const lastColon = address.lastIndexOf(':');
  // Node.js expects IPv6 addresses without brackets.
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
