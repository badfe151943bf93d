/** The WebSocket listener for other VMs. */

import {createServer, Server} from 'node:http';
import {WebSocketServer} from 'ws';
import {listenAt} from './listen.js';
import {PeerLink, PeerLinkHandler, PeerLinkOptions} from './peer_link.js';

/**
 * Far above the number of peers of a VM; more connections can only come from other
 * clients.
 */
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
    const trackingHandler = this.trackLinks(handler);
    this.sockets.on('connection', socket => {
      this.links.add(new PeerLink(socket, 'server', options, trackingHandler));
    });
    this.sockets.on('error', () => {});
  }

  /** Resolves to the bound address, `ip:port`. */
  listen(address: string): Promise<string> {
    return listenAt(this.http, address);
  }

  async close(): Promise<void> {
    for (const link of [...this.links]) link.close();
    this.sockets.close();
    this.http.closeAllConnections();
    await new Promise<void>(resolve => this.http.close(() => resolve()));
  }

  private trackLinks(handler: PeerLinkHandler): PeerLinkHandler {
    return {
      onOpened: (link, peer) => handler.onOpened(link, peer),
      onMessage: (link, message) => handler.onMessage(link, message),
      onEnded: (link, end) => {
        this.links.delete(link);
        handler.onEnded(link, end);
      },
    };
  }
}
