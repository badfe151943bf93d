/**
 * Compares the processor time of the service with that of a bare proxy, per plain
 * request and per streamed token. Both are measured in the same run, as a ratio.
 */

import {fork} from 'node:child_process';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {pipeline} from 'node:stream';
import {fileURLToPath} from 'node:url';
import {Agent, Dispatcher} from 'undici';

/** Processor time of a measured process per request and per token, in microseconds. */
interface Cost {
  readonly requestUs: number;
  readonly tokenUs: number;
}

/** Figures of one run. */
export interface OverheadFigures {
  readonly baseline: Cost;
  readonly service: Cost;
  readonly requestRatio: number;
  readonly tokenRatio: number;
}

const rounds = 5;
const plainRequests = 3000;
const streamRequests = 40;
const tokensPerStream = 400;
const concurrency = 16;

/** Query from the parent to a measured process. */
type WorkerQuery = 'address' | 'cpu';

/** Measures the service and the proxy alternately and compares the medians of all rounds. */
export async function measureOverhead(): Promise<OverheadFigures> {
  const backEnd = await startBackEnd();
  const baseline = await startMeasuredProcess('baseline', backEnd.address);
  const service = await startMeasuredProcess('service', backEnd.address);
  const costs = {baseline: [] as Cost[], service: [] as Cost[]};
  await measureCost(baseline);
  await measureCost(service);
  for (let round = 0; round < rounds; round++) {
    costs.baseline.push(await measureCost(baseline));
    costs.service.push(await measureCost(service));
  }
  await Promise.all([baseline.close(), service.close()]);
  backEnd.close();
  const baselineMedian = pickMedian(costs.baseline);
  const serviceMedian = pickMedian(costs.service);
  return {
    baseline: baselineMedian,
    service: serviceMedian,
    requestRatio: serviceMedian.requestUs / baselineMedian.requestUs,
    tokenRatio: serviceMedian.tokenUs / baselineMedian.tokenUs,
  };
}

interface MeasuredProcess {
  readonly address: string;
  readCpuUs(): Promise<number>;
  close(): Promise<void>;
}

async function startMeasuredProcess(
  kind: 'baseline' | 'service',
  backEnd: string,
): Promise<MeasuredProcess> {
  const file = fileURLToPath(new URL('./overhead_worker.js', import.meta.url));
  const child = fork(file, [kind, backEnd]);
  const query = <T>(message: WorkerQuery) =>
    new Promise<T>(resolve => {
      child.once('message', answer => resolve(answer as T));
      child.send(message);
    });
  const address = await query<string>('address');
  return {
    address,
    readCpuUs: () => query<number>('cpu'),
    close: async () => {
      child.kill();
    },
  };
}

async function measureCost(measured: MeasuredProcess): Promise<Cost> {
  const agent = new Agent({connections: concurrency});
  const requestUs = await measureCalls(
    measured,
    agent,
    '/plain',
    plainRequests,
  );
  const streamUs = await measureCalls(
    measured,
    agent,
    `/stream?tokens=${tokensPerStream}`,
    streamRequests,
  );
  await agent.close();
  return {requestUs, tokenUs: (streamUs - requestUs) / tokensPerStream};
}

async function measureCalls(
  measured: MeasuredProcess,
  agent: Dispatcher,
  path: string,
  count: number,
): Promise<number> {
  const before = await measured.readCpuUs();
  let left = count;
  const call = async () => {
    while (left-- > 0) {
      const res = await agent.request({
        origin: `http://${measured.address}`,
        path,
        method: 'GET',
        headers: {'x-radishyoke-tenant': 'app'},
      });
      if (res.statusCode !== 200) throw new Error(await res.body.text());
      await res.body.dump();
    }
  };
  await Promise.all(Array.from({length: concurrency}, call));
  return ((await measured.readCpuUs()) - before) / count;
}

function pickMedian(costs: readonly Cost[]): Cost {
  const median = (read: (cost: Cost) => number) =>
    costs.map(read).sort((a, b) => a - b)[Math.floor(costs.length / 2)];
  return {
    requestUs: median(cost => cost.requestUs),
    tokenUs: median(cost => cost.tokenUs),
  };
}

/** Starts a service that responds at once or streams tokens, one per write. */
async function startBackEnd() {
  const server = http.createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://back');
    if (url.pathname === '/load') return answerLoad(res);
    if (url.pathname !== '/stream') {
      res.end('{"lesson":7}');
      return;
    }
    void streamTokens(res, Number(url.searchParams.get('tokens')));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function answerLoad(res: http.ServerResponse): void {
  const report = {
    running: 0,
    waiting: 0,
    waitingPromptTokens: 0,
    tokensPerSecond: 0,
    weightVersion: 0,
    leaving: false,
    measuredAtMs: Date.now(),
  };
  res.end(JSON.stringify(report));
}

async function streamTokens(
  res: http.ServerResponse,
  tokens: number,
): Promise<void> {
  res.writeHead(200, {'content-type': 'text/event-stream'});
  for (let i = 0; i < tokens; i++) {
    res.write(`data: {"choices":[{"text":" t${i}"}],"tokens":1}\n\n`);
    // Yields to the event loop, so that each token is sent as a separate chunk.
    await new Promise(resolve => setImmediate(resolve));
  }
  res.end('data: [DONE]\n\n');
}

/** Creates the bare proxy that the service is compared with. */
export function createPassThrough(backEnd: string): http.Server {
  const agent = new Agent({connections: 512});
  return http.createServer((req, res) => {
    agent
      .request({
        origin: `http://${backEnd}`,
        method: req.method as Dispatcher.HttpMethod,
        path: req.url ?? '/',
        headers: req.headers,
        body: req.method === 'GET' ? null : req,
      })
      .then(answer => {
        res.writeHead(answer.statusCode, answer.headers);
        pipeline(answer.body, res, () => undefined);
      })
      .catch(() => res.destroy());
  });
}
