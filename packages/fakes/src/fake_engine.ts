/**
 * A model engine over loopback HTTP, as docs/PROTOCOLS.md specifies it: drives
 * `EngineModel` by the system clock and sends its streams as server-sent events.
 */

import type http from 'node:http';
import {
  decodeCompletion,
  decodeKvState,
  decodeOrder,
} from './completion_request.js';
import type {EngineRun} from './run_history.js';
import type {EngineEvent} from './engine_event.js';
import {EngineModel} from './engine_model.js';
import {DEFAULT_ENGINE_OPTIONS, EngineOptions} from './engine_options.js';
import {EngineReaders} from './engine_readers.js';
import {FaultPlan, TransportFault} from './fault_plan.js';
import {
  createNotFound,
  FaultyHttpServer,
  HttpFailure,
  HttpStandIn,
  readBody,
  readCount,
  readJsonObject,
  sendJson,
  splitPath,
} from './http_server.js';
import type {SwapFailure} from './weight_loader.js';

export type EngineFault =
  | TransportFault
  /** Takes `factor` times as long to generate. */
  | {readonly kind: 'slow'; readonly factor: number}
  /** Accepts requests but generates nothing. */
  | {readonly kind: 'hang'}
  /** Crashes after this many more generated tokens. */
  | {readonly kind: 'crash_after_tokens'; readonly tokens: number}
  /** Fails to load versions: answers 500, or fails after it has answered 202. */
  | {readonly kind: 'fail_swap'; readonly when?: SwapFailure}
  /** Accepts orders with old fencing numbers. */
  | {readonly kind: 'ignore_fencing'}
  /** Reports that it is leaving. */
  | {readonly kind: 'leaving'};

/** A running engine. */
export interface FakeEngine extends HttpStandIn {
  readonly faults: FaultPlan<EngineFault>;
  /** Lists the runs of all accepted requests, with the weight versions of their tokens. */
  listRuns(): readonly EngineRun[];
  /** Counts the runs that `listRuns` no longer has; 0 until there are `2 * maxRuns`. */
  countDroppedRuns(): number;
  /** Returns the weight version that it generates with now. */
  readWeightVersion(): number;
  /** Crashes it; it accepts requests again after `restartAfterMs`. */
  crash(): void;
}

/** Options to start an engine with; port 0 picks a free port. */
export interface FakeEngineOptions extends Partial<EngineOptions> {
  readonly port?: number;
  readonly model?: string;
  /** `ip:port` of the weight store; if undefined, fetches are only simulated. */
  readonly weightStoreAddress?: string;
}

const DEFAULT_MODEL = 'tutor';
const WEIGHT_FETCH_TIMEOUT_MS = 30_000;
const MAX_TIMER_MS = 60_000;

export async function startFakeEngine(
  options: FakeEngineOptions = {},
): Promise<FakeEngine> {
  const engine = new Engine(options);
  await engine.start();
  return engine;
}

class Engine implements FakeEngine {
  readonly faults = new FaultPlan<EngineFault>();
  private readonly model: EngineModel;
  private readonly readers: EngineReaders;
  private server!: FaultyHttpServer;
  private timer: NodeJS.Timeout | undefined;
  private closed = false;

  constructor(private readonly options: FakeEngineOptions) {
    const fetchMs = options.weightStoreAddress ? 'external' : options.fetchMs;
    this.model = new EngineModel(
      fetchMs === undefined ? options : {...options, fetchMs},
      Date.now(),
    );
    this.readers = new EngineReaders(this.model);
    this.faults.onChange(fault => this.applyFaults(fault));
  }

  async start(): Promise<void> {
    this.server = await FaultyHttpServer.start(
      async (req, res, url) => {
        await this.serve(req, res, url);
        this.processEvents();
      },
      this.faults.asTransport(),
      this.options.port,
    );
  }

  get address(): string {
    return this.server.address;
  }

  async close(): Promise<void> {
    this.closed = true;
    clearTimeout(this.timer);
    await this.server.close();
  }

  listRuns(): readonly EngineRun[] {
    return this.model.listRuns();
  }

  countDroppedRuns(): number {
    return this.model.countDroppedRuns();
  }

  readWeightVersion(): number {
    return this.model.describeOrders(Date.now()).weightVersion;
  }

  crash(): void {
    this.model.crash(Date.now());
    this.processEvents();
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    url: URL,
  ): Promise<void> {
    const [first, second, third] = splitPath(url);
    switch (`${req.method} ${first}`) {
      case 'GET health':
        return sendJson(res, 200, {});
      case 'GET load':
        return sendJson(res, 200, this.model.reportLoad(Date.now()));
      case 'GET cache':
        return this.sendCacheEvents(url, res);
      case 'GET orders':
        return sendJson(res, 200, this.model.describeOrders(Date.now()));
      case 'POST orders':
        return this.handleOrder(req, res);
      case 'GET kv':
        return this.exportKv(second, res);
      case 'PUT kv':
        if (!second) throw createNotFound();
        this.model.importKv(decodeKvState(second, await readBody(req)));
        return void res.writeHead(204).end();
      case 'POST v1':
        if (second !== 'completions') throw createNotFound();
        return this.complete(req, res);
      case 'GET v1':
        if (second !== 'streams') throw createNotFound();
        return this.resume(third, readCount(url, 'from', 0), res);
      case 'DELETE v1':
        if (second !== 'streams') throw createNotFound();
        this.readers.cancel(third);
        return void res.writeHead(204).end();
      default:
        throw createNotFound();
    }
  }

  private async complete(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const body = await readJsonObject(req);
    const completion = decodeCompletion(body);
    const model = this.options.model ?? DEFAULT_MODEL;
    if (body.model !== model) throw new HttpFailure(404, {error: 'bad_model'});
    const answer = this.model.submit(completion, Date.now());
    switch (answer.kind) {
      case 'accepted':
        return this.readers.add(completion, answer.weightVersion, res);
      case 'full':
        return sendJson(
          res,
          429,
          {error: 'full'},
          {'retry-after': String(Math.ceil(answer.retryAfterMs / 1000))},
        );
      case 'duplicate':
        throw new HttpFailure(409, {error: 'duplicate'});
      case 'down':
        return void res.destroy();
    }
  }

  private resume(id: string, from: number, res: http.ServerResponse): void {
    const nowMs = Date.now();
    this.processEvents(nowMs);
    this.readers.resume(id, from, res, nowMs);
  }

  private async handleOrder(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const order = decodeOrder(await readJsonObject(req));
    const answer = this.model.order(order, Date.now());
    if (answer.kind === 'begun') return sendJson(res, 202, {});
    if (answer.kind === 'failed')
      return sendJson(res, 500, {error: answer.detail});
    const {highest} = answer;
    sendJson(res, 409, {error: 'stale_fencing', highest});
  }

  private exportKv(id: string, res: http.ServerResponse): void {
    const state = this.model.exportKv(id, Date.now());
    if (!state) throw createNotFound();
    res.writeHead(200, {'content-type': 'application/octet-stream'});
    res.end(JSON.stringify(state));
  }

  private sendCacheEvents(url: URL, res: http.ServerResponse): void {
    if (url.pathname !== '/cache/events') throw createNotFound();
    const from = readCount(url, 'from', 0);
    sendJson(res, 200, this.model.listCacheEvents(from, Date.now()));
  }

  private applyFaults(newFault: EngineFault | undefined): void {
    const {faults, model} = this;
    const nowMs = Date.now();
    if (newFault?.kind === 'crash_after_tokens')
      model.crashAfterTokens(newFault.tokens);
    const swap = faults.find('fail_swap');
    model.setSwapFailure(swap && (swap.when ?? 'at_once'));
    const checksFencing =
      this.options.checksFencing ?? DEFAULT_ENGINE_OPTIONS.checksFencing;
    model.setChecksFencing(checksFencing && !faults.find('ignore_fencing'));
    model.setSlowFactor(faults.find('slow')?.factor ?? 1);
    model.setHung(faults.find('hang') !== undefined, nowMs);
    model.setLeaving(faults.find('leaving') !== undefined, nowMs);
    this.processEvents();
  }

  /** Handles the model's events until `nowMs` and sets a timer for its next one. */
  private processEvents(nowMs = Date.now()): void {
    clearTimeout(this.timer);
    if (this.closed) return;
    for (const event of this.model.advance(nowMs)) this.handleEvent(event);
    const waitMs = this.model.nextEventAtMs() - Date.now();
    if (waitMs === Infinity) return;
    const timerMs = Math.min(MAX_TIMER_MS, Math.max(0, waitMs));
    this.timer = setTimeout(() => this.processEvents(), timerMs);
  }

  private handleEvent(event: EngineEvent): void {
    switch (event.kind) {
      case 'chunk':
        return this.readers.send(event);
      case 'crashed':
        this.readers.clear();
        return void this.server.stopListening();
      case 'restarted':
        return void this.server.listenAgain();
      case 'fetch_weights':
        return void this.fetchWeights(event.version);
      case 'abandoned':
      case 'swapped':
      case 'swap_failed':
        return;
    }
  }

  private async fetchWeights(version: number): Promise<void> {
    const error = await this.tryFetch(version);
    this.model.endFetch(version, error, Date.now());
    this.processEvents();
  }

  /** Fetches the complete weights; returns the error, undefined on success. */
  private async tryFetch(version: number): Promise<string | undefined> {
    const {weightStoreAddress, model = DEFAULT_MODEL} = this.options;
    const path = `/models/${encodeURIComponent(model)}/versions/${version}`;
    try {
      const res = await fetch(`http://${weightStoreAddress}${path}`, {
        signal: AbortSignal.timeout(WEIGHT_FETCH_TIMEOUT_MS),
      });
      await res.arrayBuffer();
      return res.ok ? undefined : `the weight store answered ${res.status}`;
    } catch (err) {
      return `the weight store failed: ${(err as Error).message}`;
    }
  }
}
