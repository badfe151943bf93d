/**
 * Connections to endpoints, on which a reset is told from an orderly end.
 *
 * An answer without a length ends with its connection. Node.js reports the end
 * without a further read if the connection has hung up while bytes were read, so
 * a reset that arrives with the last bytes looks like an orderly end. A
 * connection that stops reading after each piece, and goes on in a later turn of
 * the event loop, makes that read and gets the error.
 */

import http from 'node:http';
import net from 'node:net';
import type {Duplex} from 'node:stream';
import {closeIdleConnections} from './connections.js';

/** A connection that can read each piece in a turn of the event loop of its own. */
class StepwiseSocket extends net.Socket {
  /** Whether it does so from now on. */
  isStepwise = false;
  private isHeld = false;
  /** Whether a read was asked for while it was held. */
  private isReadHeld = false;

  /** Adds what was read; reading stops if it returns false. */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    const mayReadOn = super.push(chunk, encoding);
    if (!this.isStepwise || chunk === null) return mayReadOn;
    this.isHeld = true;
    setImmediate(() => this.release());
    return false;
  }

  override _read(size: number): void {
    if (this.isHeld) this.isReadHeld = true;
    else super._read(size);
  }

  private release(): void {
    this.isHeld = false;
    if (!this.isReadHeld) return;
    this.isReadHeld = false;
    super._read(0);
  }
}

/** An agent whose connections can show a reset, see `detectReset`, and which can be retired. */
export class EndpointAgent extends http.Agent {
  private isRetired = false;

  /**
   * Keeps no connection from now on: idle ones close at once, each other one
   * after the request in flight on it, which its own time limit bounds.
   */
  retire(): void {
    this.isRetired = true;
    closeIdleConnections(this);
  }

  /** Whether requests are in flight. */
  get isBusy(): boolean {
    return Object.keys(this.sockets).length > 0;
  }

  override keepSocketAlive(socket: Duplex): boolean {
    if (this.isRetired) return false;
    // Returns whether the connection was kept, unlike its declared type says.
    return super.keepSocketAlive(socket) as unknown as boolean;
  }

  override createConnection(options: http.ClientRequestArgs): net.Socket {
    const socket = new StepwiseSocket(options as net.SocketConstructorOpts);
    if (options.timeout !== undefined) socket.setTimeout(options.timeout);
    return socket.connect(options as net.TcpNetConnectOpts);
  }
}

/** Whether only the end of its connection ends the answer. */
function isCloseDelimited({headers}: http.IncomingMessage): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Makes the error of a reset reach `res`, an answer that has just begun on a
 * connection of an `EndpointAgent`, if it is close-delimited. Other answers state
 * their end and are read as usual.
 */
export function detectReset(res: http.IncomingMessage): void {
  const {socket} = res;
  if (socket instanceof StepwiseSocket)
    socket.isStepwise = isCloseDelimited(res);
}
