/**
 * The HTTP server that all stand-ins share: listens on loopback, injects the
 * transport faults of a plan and answers 400 to malformed requests.
 */

import http from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {FaultPlan, consumeLostAnswer, TransportFault} from './fault_plan.js';

const HOST = '127.0.0.1';
const BODY_LIMIT_BYTES = 16 * 1024 * 1024;
const KEEP_ALIVE_MS = 60_000;
const RELISTEN_RETRY_MS = 20;

/** Answers one request; a thrown `HttpFailure` determines the answer. */
export type Handler = (
  req: http.IncomingMessage,
  res: http.ServerResponse,
  url: URL,
) => void | Promise<void>;

/** An error with the status and body to answer with. */
export class HttpFailure extends Error {
  constructor(
    readonly status: number,
    readonly body: object,
  ) {
    super(`answered ${status}`);
  }
}

/** A running stand-in's server. */
export interface HttpStandIn {
  /** `127.0.0.1:port`. */
  readonly address: string;
  close(): Promise<void>;
}

/** An HTTP server that can stop and listen again on the same port. */
export class FaultyHttpServer implements HttpStandIn {
  private readonly sockets = new Set<net.Socket>();
  private readonly silenced = new WeakSet<net.Socket>();
  private port = 0;
  private closed = false;

  private constructor(
    private readonly server: http.Server,
    private readonly faults: FaultPlan<TransportFault>,
  ) {}

  /** Listens on `port` of the loopback interface; 0 picks a free port. */
  static async start(
    handler: Handler,
    faults: FaultPlan<TransportFault>,
    port = 0,
  ): Promise<FaultyHttpServer> {
    const server = http.createServer({keepAliveTimeout: KEEP_ALIVE_MS});
    const self = new FaultyHttpServer(server, faults);
    server.on('connection', socket => self.addSocket(socket));
    server.on('request', (req, res) => self.serve(handler, req, res));
    faults.onChange(fault => {
      if (fault?.kind === 'silent') self.silenceOpenSockets();
    });
    await self.listen(port);
    return self;
  }

  get address(): string {
    return `${HOST}:${this.port}`;
  }

  async close(): Promise<void> {
    this.closed = true;
    await this.stopListening();
  }

  /** Breaks all connections and refuses new ones, like a crashed process. */
  async stopListening(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    // `destroy` is replaced on silenced sockets, so the prototype's is called.
    for (const socket of this.sockets)
      net.Socket.prototype.destroy.call(socket);
    await closed;
  }

  /** Accepts connections on the same port again. */
  async listenAgain(): Promise<void> {
    while (!this.closed) {
      try {
        return await this.listen(this.port);
      } catch (err) {
        if ((err as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw err;
        await sleep(RELISTEN_RETRY_MS);
      }
    }
  }

  private listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, HOST, () => {
        this.server.off('error', reject);
        this.port = (this.server.address() as net.AddressInfo).port;
        resolve();
      });
    });
  }

  private addSocket(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => {});
    if (this.faults.find('silent')?.connections === 'all') this.silence(socket);
  }

  private silenceOpenSockets(): void {
    for (const socket of this.sockets) this.silence(socket);
  }

  private silence(socket: net.Socket): void {
    this.silenced.add(socket);
    socket.write = () => true;
    socket.end = () => socket;
    socket.destroy = () => socket;
  }

  private async serve(
    handler: Handler,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    try {
      const delay = this.faults.find('delay');
      if (delay) await sleep(delay.delayMs);
      if (this.silenced.has(req.socket)) return;
      if (this.faults.find('unreachable')) return void req.socket.destroy();
      if (this.faults.find('outage')) return sendError(res, 503, 'outage');
      if (consumeLostAnswer(this.faults, req.method!))
        breakInsteadOfAnswer(res);
      await handler(req, res, readUrl(req));
    } catch (err) {
      answerFailure(res, err);
    }
  }
}

function readUrl(req: http.IncomingMessage): URL {
  try {
    return new URL(`http://stand-in${req.url}`);
  } catch {
    throw new HttpFailure(400, {error: 'bad_url'});
  }
}

/** Makes the first write of the answer break the connection instead. */
function breakInsteadOfAnswer(res: http.ServerResponse): void {
  res.write = () => {
    res.destroy();
    return false;
  };
  res.end = () => res.destroy();
  res.flushHeaders = () => {};
}

function answerFailure(res: http.ServerResponse, err: unknown): void {
  if (res.headersSent) return void res.destroy();
  if (err instanceof HttpFailure) return sendJson(res, err.status, err.body);
  sendError(res, 500, String(err));
}

function sendError(
  res: http.ServerResponse,
  status: number,
  error: string,
): void {
  sendJson(res, status, {error});
}

export function sendJson(
  res: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
}

/** Reads a complete body; throws 413 above the size limit. */
export async function readBody(req: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > BODY_LIMIT_BYTES)
      throw new HttpFailure(413, {error: 'too_large'});
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Reads a body that must be a JSON object; throws 400 otherwise. */
export async function readJsonObject(
  req: http.IncomingMessage,
): Promise<Readonly<Record<string, unknown>>> {
  const body = (await readBody(req)).toString('utf8');
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    throw new HttpFailure(400, {error: 'not_json'});
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value))
    throw new HttpFailure(400, {error: 'not_an_object'});
  return value as Readonly<Record<string, unknown>>;
}

/** Reads a non-negative integer from the query; throws 400 if it is malformed. */
export function readCount(url: URL, name: string, fallback: number): number {
  const text = url.searchParams.get(name);
  if (text === null) return fallback;
  const value = Number(text);
  if (!/^\d+$/.test(text) || !Number.isSafeInteger(value))
    throw new HttpFailure(400, {error: `bad_${name}`});
  return value;
}

/** Returns the decoded segments of the path. */
export function splitPath(url: URL): readonly string[] {
  try {
    return url.pathname.split('/').slice(1).map(decodeURIComponent);
  } catch {
    throw new HttpFailure(400, {error: 'bad_path'});
  }
}

/** Creates the answer to an unknown path or method. */
export function createNotFound(): HttpFailure {
  return new HttpFailure(404, {error: 'not_found'});
}
