/**
 * Connections on which a reset is told from an orderly end.
 *
 * An answer without a length ends with its connection. Node.js reports the end
 * without a further read if the connection has hung up while bytes were read, so
 * a reset that arrives with the last bytes looks like an orderly end. A
 * connection that stops reading after each piece, and goes on in a later turn of
 * the event loop, makes that read and gets the error.
 */

import http from 'node:http';
import net from 'node:net';

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

/** An agent whose connections can show a reset, see `detectReset`. */
export class EndpointAgent extends http.Agent {
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
