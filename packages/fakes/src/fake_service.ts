/**
 * A plain service over loopback HTTP: answers any method and path, and counts
 * the calls of each caller's request id to show what ran more than once.
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
  /** Takes this many times as long. */
  | {readonly kind: 'slow'; readonly factor: number}
  /** Answers 500 after the call has run. */
  | {readonly kind: 'fail_calls'}
  /** Reports that it leaves. */
  | {readonly kind: 'leaving'};

/** A running plain service. */
export interface FakeService extends HttpStandIn {
  readonly faults: FaultPlan<ServiceFault>;
  /** Calls that ran with this id in the request id header. */
  countCalls(id: string): number;
  /** Ids of calls that ran, with the number of times each did. */
  listCalls(): ReadonlyMap<string, number>;
}

/** What a service is started with; port 0 takes a free one. */
export interface FakeServiceOptions {
  readonly port?: number;
  /** Time one call takes. */
  readonly serviceTimeMs?: number;
  /** Header with the caller's request id, lower case; the service's own by default. */
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
