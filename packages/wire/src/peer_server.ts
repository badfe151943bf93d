/** The listener for other VMs. */

import {createServer, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {WebSocketServer} from 'ws';
import {PeerLink, PeerLinkHandler, PeerLinkOptions} from './peer_link.js';

/** Far above the contacts of a VM; more are somebody else's. */
const MAX_CONNECTIONS = 512;

export class PeerServer {
  private readonly http: Server;
  private readonly sockets: WebSocketServer;
  private readonly links = new Set<PeerLink>();

  constructor(options: PeerLinkOptions, handler: PeerLinkHandler) {
    this.http = createServer((_, res) => {
      res.writeHead(426, {connection: 'close'}).end();
    });
    this.http.maxConnections = MAX_CONNECTIONS;
    this.sockets = new WebSocketServer({
      server: this.http,
      maxPayload: options.maxMessageBytes,
      perMessageDeflate: false,
    });
    const watched = this.watch(handler);
    this.sockets.on('connection', socket => {
      this.links.add(new PeerLink(socket, 'server', options, watched));
    });
    this.sockets.on('error', () => {});
  }

  /** Resolves to the address taken, `ip:port`. */
  listen(address: string): Promise<string> {
    const at = address.lastIndexOf(':');
    // Node wants IPv6 numbers without the brackets.
    const host = address.slice(0, at).replace(/^\[|\]$/g, '');
    const port = Number(address.slice(at + 1));
    return new Promise((resolve, reject) => {
      this.http.once('error', reject);
      this.http.listen(port, host, () => {
        const {port: taken} = this.http.address() as AddressInfo;
        resolve(`${address.slice(0, at)}:${taken}`);
      });
    });
  }

  async close(): Promise<void> {
    for (const link of [...this.links]) link.close();
    this.sockets.close();
    this.http.closeAllConnections();
    await new Promise<void>(resolve => this.http.close(() => resolve()));
  }

  private watch(handler: PeerLinkHandler): PeerLinkHandler {
    return {
      opened: (link, peer) => handler.opened(link, peer),
      received: (link, message) => handler.received(link, message),
      ended: (link, end) => {
        this.links.delete(link);
        handler.ended(link, end);
      },
    };
  }
}
