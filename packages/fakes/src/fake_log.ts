/** The platform's log over loopback HTTP, as docs/PROTOCOLS.md specifies it. */

import type http from 'node:http';
import {FaultPlan, TransportFault} from './fault_plan.js';
import {
  createNotFound,
  FaultyHttpServer,
  HttpFailure,
  HttpStandIn,
  readCount,
  readJsonObject,
  sendJson,
  splitPath,
} from './http_server.js';
import {DEFAULT_LOG_OPTIONS, LogModel, LogOptions} from './log_model.js';

const MAX_RECORDS_PER_READ = 10_000;
const MAX_RECORDS_PER_APPEND = 10_000;
const MAX_WAIT_MS = 60_000;
const STREAM_NAMES: readonly string[] = ['config', 'state', 'audit'];

export type LogFault =
  | TransportFault
  /** Replaces the limit on appends. */
  | {readonly kind: 'append_limit'; readonly appendsPerSecond: number}
  /** Replaces the retention limits; records once dropped stay dropped. */
  | {
      readonly kind: 'retention';
      readonly retainMs?: number;
      readonly retainRecords?: number;
    };

/** A running log. */
export interface FakeLog extends HttpStandIn {
  readonly faults: FaultPlan<LogFault>;
  /** The log without its HTTP interface, for tests that access the records directly. */
  readonly model: LogModel;
}

/** Options to start a log with; port 0 picks a free port. */
export interface FakeLogOptions extends Partial<LogOptions> {
  readonly port?: number;
}

export async function startFakeLog(
  options: FakeLogOptions = {},
): Promise<FakeLog> {
  const model = new LogModel(options);
  const faults = new FaultPlan<LogFault>();
  faults.onChange(() => model.configure(chooseOptions(options, faults)));
  const waiters = new Waiters();
  const server = await FaultyHttpServer.start(
    async (req, res, url) => {
      const [root, name, leaf] = splitPath(url);
      if (root !== 'streams' || leaf !== 'records') throw createNotFound();
      if (!STREAM_NAMES.includes(name)) throw createNotFound();
      if (req.method === 'POST') return append(model, waiters, name, req, res);
      if (req.method === 'GET') return read(model, waiters, name, url, res);
      throw createNotFound();
    },
    faults.asTransport(),
    options.port,
  );
  return {
    faults,
    model,
    address: server.address,
    close: async () => {
      waiters.wakeAll();
      await server.close();
    },
  };
}

/** Returns the log's options, with the values that active faults replace. */
function chooseOptions(
  options: FakeLogOptions,
  faults: FaultPlan<LogFault>,
): LogOptions {
  const baseOptions = {...DEFAULT_LOG_OPTIONS, ...options};
  const limit = faults.find('append_limit');
  const retention = faults.find('retention');
  return {
    appendsPerSecond: limit?.appendsPerSecond ?? baseOptions.appendsPerSecond,
    retainMs: retention?.retainMs ?? baseOptions.retainMs,
    retainRecords: retention?.retainRecords ?? baseOptions.retainRecords,
  };
}

async function append(
  model: LogModel,
  waiters: Waiters,
  name: string,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const {records} = await readJsonObject(req);
  const isValid =
    Array.isArray(records) &&
    records.length > 0 &&
    records.length <= MAX_RECORDS_PER_APPEND;
  if (!isValid) throw new HttpFailure(400, {error: 'bad_records'});
  const answer = model.append(name, records, Date.now());
  if (answer.kind === 'limited') {
    const seconds = String(Math.ceil(answer.retryAfterMs / 1000));
    return sendJson(res, 429, {error: 'limited'}, {'retry-after': seconds});
  }
  waiters.wake(name);
  sendJson(res, 200, {first: answer.first, next: answer.next});
}

async function read(
  model: LogModel,
  waiters: Waiters,
  name: string,
  url: URL,
  res: http.ServerResponse,
): Promise<void> {
  const from = readCount(url, 'from', 0);
  const max = Math.min(readCount(url, 'max', 1000), MAX_RECORDS_PER_READ);
  const waitMs = Math.min(readCount(url, 'waitMs', 0), MAX_WAIT_MS);
  const untilMs = Date.now() + waitMs;
  for (;;) {
    const answer = model.read(name, from, max, Date.now());
    if (answer.kind === 'expired')
      return sendJson(res, 410, {oldest: answer.oldest});
    const leftMs = untilMs - Date.now();
    if (answer.records.length > 0 || leftMs <= 0 || res.destroyed) {
      const {oldest, next, records} = answer;
      return sendJson(res, 200, {oldest, next, records});
    }
    await waiters.wait(name, leftMs, res);
  }
}

/** Readers that wait for the next record of a stream. */
class Waiters {
  private readonly wakers = new Map<string, Set<() => void>>();

  /** Resolves on the next `wake`, after `timeoutMs`, or when the reader disconnects. */
  wait(
    name: string,
    timeoutMs: number,
    res: http.ServerResponse,
  ): Promise<void> {
    return new Promise(resolve => {
      const wakers = this.wakers.get(name) ?? new Set();
      this.wakers.set(name, wakers);
      const wake = () => {
        clearTimeout(timer);
        res.off('close', wake);
        wakers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      res.once('close', wake);
      wakers.add(wake);
    });
  }

  wake(name: string): void {
    for (const waker of [...(this.wakers.get(name) ?? [])]) waker();
  }

  wakeAll(): void {
    for (const name of this.wakers.keys()) this.wake(name);
  }
}
