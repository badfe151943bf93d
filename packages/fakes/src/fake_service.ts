/**
 * A plain service over loopback HTTP: answers any method and path, and counts
 * the calls per request id, so that tests can detect duplicate runs.
 */

import {createHash} from 'node:crypto';
import type http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {HEADERS} from '@radishyoke/shared/header';
import {FaultPlan, TransportFault} from './fault_plan.js';
import {
  FaultyHttpServer,
  HttpFailure,
  HttpStandIn,
  readBody,
  sendJson,
} from './http_server.js';

const MAX_COUNTED_IDS = 100_000;
const RATE_WINDOW_MS = 1000;

export type ServiceFault =
  | TransportFault
  /** Takes `factor` times as long. */
  | {readonly kind: 'slow'; readonly factor: number}
  /** Answers 500 after the call has run. */
  | {readonly kind: 'fail_calls'}
  /** Reports that it is leaving. */
  | {readonly kind: 'leaving'};

/** A running plain service. */
export interface FakeService extends HttpStandIn {
  readonly faults: FaultPlan<ServiceFault>;
  /** Counts the calls that ran with this request id. */
  countCalls(id: string): number;
  /** Maps each request id to the number of calls that ran with it. */
  listCalls(): ReadonlyMap<string, number>;
}

/** Options to start a service with; port 0 picks a free port. */
export interface FakeServiceOptions {
  readonly port?: number;
  /** Duration of one call. */
  readonly serviceTimeMs?: number;
  /** Name of the request id header, lower case; `HEADERS.requestId` by default. */
  readonly requestIdHeader?: string;
}

export async function startFakeService(
  options: FakeServiceOptions = {},
): Promise<FakeService> {
  const faults = new FaultPlan<ServiceFault>();
  const service = new Service(options, faults);
  const server = await FaultyHttpServer.start(
    (req, res, url) => service.serve(req, res, url),
    faults.asTransport(),
    options.port,
  );
  return {
    faults,
    address: server.address,
    close: () => server.close(),
    countCalls: id => service.calls.get(id) ?? 0,
    listCalls: () => service.calls,
  };
}

class Service {
  readonly calls = new Map<string, number>();
  private running = 0;
  private finishedAtMs: number[] = [];

  constructor(
    private readonly options: FakeServiceOptions,
    private readonly faults: FaultPlan<ServiceFault>,
  ) {}

  async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    url: URL,
  ): Promise<void> {
    if (url.pathname === '/health') return sendJson(res, 200, {});
    if (url.pathname === '/load') return sendJson(res, 200, this.reportLoad());
    this.running++;
    try {
      await this.call(req, res, url);
    } finally {
      this.running--;
      this.finishedAtMs = [...this.listRecent(), Date.now()];
    }
  }

  private async call(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    url: URL,
  ): Promise<void> {
    const body = await readBody(req);
    this.count(req.headers[this.options.requestIdHeader ?? HEADERS.requestId]);
    const factor = this.faults.find('slow')?.factor ?? 1;
    const durationMs = (this.options.serviceTimeMs ?? 0) * factor;
    if (durationMs > 0) await sleep(durationMs);
    if (this.faults.find('fail_calls'))
      throw new HttpFailure(500, {error: 'failed'});
    sendJson(res, 200, {
      method: req.method,
      path: url.pathname + url.search,
      headers: req.headers,
      bodyBytes: body.length,
      bodyDigest: createHash('sha256').update(body).digest('hex'),
    });
  }

  private count(id: string | string[] | undefined): void {
    if (typeof id !== 'string') return;
    if (!this.calls.has(id) && this.calls.size >= MAX_COUNTED_IDS)
      throw new HttpFailure(507, {error: 'books_full'});
    this.calls.set(id, (this.calls.get(id) ?? 0) + 1);
  }

  private listRecent(): number[] {
    const fromMs = Date.now() - RATE_WINDOW_MS;
    return this.finishedAtMs.filter(atMs => atMs > fromMs);
  }

  private reportLoad(): object {
    return {
      running: this.running,
      waiting: 0,
      waitingPromptTokens: 0,
      tokensPerSecond: this.listRecent().length,
      weightVersion: 0,
      leaving: this.faults.find('leaving') !== undefined,
      measuredAtMs: Date.now(),
    };
  }
}
